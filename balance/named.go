package balance

// This file defines which limits upstreams name: how many requests a second one takes from all boxes
// together, as its answers say. Answers overtake each other, and others tell what they read with an age. The
// invariants: a limit holds until an answer that certainly began later names none; and of two values
// that cannot be put in order the lower holds. Who may send how much stands in allowed.go, what boxes tell each other
// in namednews.go.

import (
	"maps"
	"time"
)

const (
	// NoLimit is from how many requests a second on a limit bounds nothing that boxes send.
	NoLimit = 1e6
	// fallsMuch is the part of itself to which a limit must fall for what was sent under it to be too much.
	fallsMuch = 0.75
	// namedFor is how long a limit that has ended is remembered, so that who was not told yet learns of
	// it, and how long one is of an upstream that is listed no more: entries go and come back.
	namedFor = time.Minute
	// leastNamed is how many limits may be known at least, and namedEach how many for each upstream that is listed, where
	// that is more: its own, and that of the life before.
	leastNamed, namedEach = 1 << 13, 2
)

// LimitStatement is what an answer of an upstream says of its limit.
type LimitStatement struct {
	Named     bool          // it names one
	PerSecond float64       // requests
	Sent      time.Duration // when the request was sent
	Read      time.Duration // when the answer's head was read
}

// named is what is known of the limit of a life.
type named struct {
	perSecond float64
	since     time.Duration // when it was first named, or had fallen much
	from      float64       // its value then
	read      time.Duration // when an answer that names it was last read
	ended     time.Duration // when a request was last sent whose answer names none
	binds     bool          // it is no more than upstreams of its service are sent without one
	ration    int           // requests that this box may send within its span
}

// holds reports whether it is in force: no answer that names none has certainly begun after the last that names it.
func (x *named) holds() bool { return x.read > x.ended }

// set takes a value, named since a moment.
func (x *named) set(perSecond float64, since time.Duration) {
	x.perSecond = perSecond
	if perSecond < fallsMuch*x.from {
		x.since, x.from = since, perSecond
	}
	x.from = max(x.from, perSecond)
}

// LimitChange is a limit that has come, changed or gone.
type LimitChange struct {
	Life      uint32 // Key of it
	Named     bool   // there is one
	PerSecond float64
	Before    float64       // 0 where there was none
	Told      bool          // another box told of it
	Age       time.Duration // since the answer that says so
}

// limits are the limits of all lives, by their Keys, as one box knows them; the zero limits knows of none.
type limits struct {
	byLife map[uint32]*named
	news   map[uint32]bool // others are to be told of; true: seen here
	listed int             // upstreams
}

// of is the limit of a life that holds, or nil.
func (l *limits) of(life uint32) *named {
	if x := l.byLife[life]; x != nil && x.holds() {
		return x
	}
	return nil
}

// says takes in what an answer says.
func (l *limits) says(life uint32, s LimitStatement) (LimitChange, bool) {
	x := l.byLife[life]
	if x == nil && !s.Named {
		return LimitChange{}, false
	}
	return l.change(life, 0, false, func(x *named) {
		switch certainlyLater := s.Sent >= x.read; {
		case !s.Named && certainlyLater:
			x.ended = max(x.ended, s.Sent)
		case !s.Named:
		case !x.holds():
			*x = named{perSecond: s.PerSecond, from: s.PerSecond, since: s.Read, read: s.Read, ended: x.ended}
		case certainlyLater || s.PerSecond < x.perSecond:
			x.set(s.PerSecond, s.Read)
		}
		if s.Named {
			x.read = max(x.read, s.Read)
		}
	})
}

// change changes what is known of a life, and returns what that makes of its limit.
func (l *limits) change(life uint32, age time.Duration, told bool, do func(x *named)) (LimitChange, bool) {
	x := l.byLife[life]
	if x == nil {
		if len(l.byLife) >= max(leastNamed, namedEach*l.listed) {
			return LimitChange{}, false
		}
		if l.byLife == nil {
			l.byLife, l.news = make(map[uint32]*named), make(map[uint32]bool)
		}
		x = &named{read: longAgo, ended: longAgo}
		l.byLife[life] = x
	}
	held, before := x.holds(), x.perSecond
	do(x)
	if held == x.holds() && (!held || before == x.perSecond) {
		return LimitChange{}, false
	}
	l.news[life] = l.news[life] || !told
	c := LimitChange{Life: life, Named: x.holds(), Told: told, Age: age}
	if held {
		c.Before = before
	}
	if c.Named {
		c.PerSecond = x.perSecond
	}
	return c, true
}

// forget forgets what is over, and what is old of lives that are not listed.
func (l *limits) forget(now time.Duration, isListed func(life uint32) bool) {
	maps.DeleteFunc(l.byLife, func(life uint32, x *named) bool {
		if x.holds() {
			return !isListed(life) && now-x.read >= namedFor
		}
		return now-x.ended >= namedFor
	})
}
