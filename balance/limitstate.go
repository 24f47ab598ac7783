package balance

// This file tracks the rate limits that upstreams advertise in their answers: the number of
// requests per second that an upstream accepts from all boxes together. Answers may overtake each
// other, and other boxes report what they received along with its age. The invariants: a limit is
// in force until an answer without one arrives whose request certainly began later; and of two
// values that cannot be ordered in time the lower one applies. limitgate.go decides who may send
// how much, and limitreport.go defines the reports between boxes.

import (
	"maps"
	"time"
)

const (
	// NoLimit is the number of requests per second from which on a limit has no effect.
	NoLimit = 1e6
	// significantDrop is the part of its earlier value to which a limit must fall before the
	// requests already sent exceed it.
	significantDrop = 0.75
	// limitRetention is how long a limit that has ended is remembered, so that boxes without a
	// report of the end still get one, and how long the limit of an unlisted upstream is
	// remembered, since entries may be removed and return.
	limitRetention = time.Minute
	// minLimits is the number of limits that may always be stored, and limitsPerUpstream the
	// number per listed upstream if that gives more: its own limit and that of the previous
	// incarnation.
	minLimits, limitsPerUpstream = 1 << 13, 2
)

// LimitStatement is what an answer of an upstream says about its limit.
type LimitStatement struct {
	Named     bool          // it advertises one
	PerSecond float64       // requests per second
	Sent      time.Duration // when the request was sent
	Read      time.Duration // when the header of the answer was read
}

// limitState is what is known about the limit of an upstream incarnation.
type limitState struct {
	perSecond  float64
	droppedAt  time.Duration  // when it was first advertised, or last dropped significantly
	droppedTo  float64        // value at that time
	baseline   float64        // baseline for the next significant drop
	lastRead   time.Duration  // when an answer that advertises it was last read
	endedAt    time.Duration  // when the latest request was sent whose answer advertises none
	prior      *priorRequests // nil until this box has counted its own
	quota      int            // requests that this box may send within the time span
	firstQuota int            // the same in the first span under the limit
}

// inForce reports whether the limit applies: no answer without a limit has certainly begun after
// the last answer that advertises one.
func (x *limitState) inForce() bool { return x.lastRead > x.endedAt }

// set applies a value that was first advertised at since.
func (x *limitState) set(perSecond float64, since time.Duration) {
	x.perSecond = perSecond
	if perSecond < significantDrop*x.baseline {
		x.droppedAt, x.droppedTo, x.baseline = since, perSecond, perSecond
	}
	x.baseline = max(x.baseline, perSecond)
}

// LimitChange reports that a limit was added, changed or removed.
type LimitChange struct {
	Life      uint32 // incarnation key
	Named     bool   // a limit is in force
	PerSecond float64
	Before    float64       // previous value; 0 if there was none
	Reported  bool          // reported by another box
	Age       time.Duration // since the answer that the change is based on
}

// limitTable holds the limits of all upstream incarnations by key, as one box knows them; the
// zero value is empty.
type limitTable struct {
	byIncarnation map[uint32]*limitState
	pending       map[uint32]bool // to report to other boxes; true: observed by this box
	listed        int             // number of listed upstreams
}

// active returns the limit of an incarnation if it is in force, or nil.
func (l *limitTable) active(incarnation uint32) *limitState {
	if x := l.byIncarnation[incarnation]; x != nil && x.inForce() {
		return x
	}
	return nil
}

// observe records what an answer says.
func (l *limitTable) observe(incarnation uint32, s LimitStatement) (LimitChange, bool) {
	x := l.byIncarnation[incarnation]
	if x == nil && !s.Named {
		return LimitChange{}, false
	}
	return l.update(incarnation, 0, false, func(x *limitState) {
		switch certainlyLater := s.Sent >= x.lastRead; {
		case !s.Named && certainlyLater:
			x.endedAt = max(x.endedAt, s.Sent)
		case !s.Named:
		case !x.inForce():
			*x = limitState{perSecond: s.PerSecond, baseline: s.PerSecond, droppedTo: s.PerSecond, droppedAt: s.Read, lastRead: s.Read, endedAt: x.endedAt}
		case certainlyLater || s.PerSecond < x.perSecond:
			x.set(s.PerSecond, s.Read)
		}
		if s.Named {
			x.lastRead = max(x.lastRead, s.Read)
		}
	})
}

// update applies do to the state of an incarnation's limit, and returns the resulting change.
func (l *limitTable) update(incarnation uint32, age time.Duration, reported bool, do func(x *limitState)) (LimitChange, bool) {
	x := l.byIncarnation[incarnation]
	if x == nil {
		if len(l.byIncarnation) >= max(minLimits, limitsPerUpstream*l.listed) {
			return LimitChange{}, false
		}
		if l.byIncarnation == nil {
			l.byIncarnation, l.pending = make(map[uint32]*limitState), make(map[uint32]bool)
		}
		x = &limitState{lastRead: longAgo, endedAt: longAgo}
		l.byIncarnation[incarnation] = x
	}
	held, before := x.inForce(), x.perSecond
	do(x)
	if held == x.inForce() && (!held || before == x.perSecond) {
		return LimitChange{}, false
	}
	l.pending[incarnation] = l.pending[incarnation] || !reported
	c := LimitChange{Life: incarnation, Named: x.inForce(), Reported: reported, Age: age}
	if held {
		c.Before = before
	}
	if c.Named {
		c.PerSecond = x.perSecond
	}
	return c, true
}

// expire drops limits that ended long ago, and old limits of incarnations that are not listed.
func (l *limitTable) expire(now time.Duration, isListed func(incarnation uint32) bool) {
	maps.DeleteFunc(l.byIncarnation, func(incarnation uint32, x *limitState) bool {
		if x.inForce() {
			return !isListed(incarnation) && now-x.lastRead >= limitRetention
		}
		return now-x.endedAt >= limitRetention
	})
}
