package balance

// This file defines when this box may send a request to an upstream that names a limit; which part of the limit is its
// own stands in limitpart.go. The invariants: whatever a request is sent for, it counts; and of two requests that find no
// place the more urgent is served first.

import (
	"math"
	"slices"
	"time"
)

// Says takes in what an answer of a life says of its limit.
func (f *Fleet) Says(now time.Duration, life Incarnation, s LimitStatement) (LimitChange, bool) {
	c, changed := f.limits.says(life.Key(), s)
	f.noteLimits(now, c)
	return c, changed
}

// TakeNamed takes in what other boxes told of limits.
func (f *Fleet) TakeNamed(now time.Duration, list []LimitReport) []LimitChange {
	changes := f.limits.take(now, list)
	f.noteLimits(now, changes...)
	return changes
}

// noteLimits works out what limits that have changed mean for this box.
func (f *Fleet) noteLimits(now time.Duration, changes ...LimitChange) {
	for _, c := range changes {
		x, m := f.limits.of(c.Life), f.byKey[c.Life]
		if x != nil {
			f.rationsStale = true
			x.binds = m == nil || f.binds(now, m, x.perSecond)
		}
	}
}

// NamedNews returns, once, what others are to be told of limits.
func (f *Fleet) NamedNews(now time.Duration) []LimitReport { return f.limits.newsOf(now) }

// NamedAll lists all that is known of limits, and those that hold alone.
func (f *Fleet) NamedAll(now time.Duration) (known, inForce []LimitReport) { return f.limits.all(now) }

// ForgetNamed forgets limits that are of no concern any more.
func (f *Fleet) ForgetNamed(now time.Duration) {
	f.limits.forget(now, func(life uint32) bool { return f.byKey[life] != nil })
}

// LimitOf is an upstream's limit as this box keeps to it.
type LimitOf struct {
	PerSecond float64
	Age       time.Duration // since it was named last, as far as is known here
	Ration    int           // requests that this box may send
	Span      time.Duration // within so long
}

// limitOf is the limit of a member; nil where it names none, or limits are not kept to.
func (f *Fleet) limitOf(m *member) *named {
	if len(f.limits.byLife) == 0 || f.cfg.Off[Limits] {
		return nil
	}
	return f.limits.of(m.key)
}

// Limit is the limit that an upstream names; false where it names none.
func (f *Fleet) Limit(now time.Duration, id string) (LimitOf, bool) {
	m := f.byID[id]
	if m == nil || f.limitOf(m) == nil {
		return LimitOf{}, false
	}
	f.shareAnew(now)
	x := f.limitOf(m)
	_, span := f.cfg.Named.lets(x.perSecond)
	return LimitOf{PerSecond: x.perSecond, Age: now - x.read, Ration: x.ration, Span: span}, true
}

// TakesNoMore reports whether an upstream names a limit that lets this box send it nothing now.
func (f *Fleet) TakesNoMore(now time.Duration, id string) bool {
	m := f.byID[id]
	if m == nil {
		return false
	}
	x := f.limitOf(m)
	return x != nil && f.limitLeft(now, m, x) > 0
}

// allows reports whether this box may send a request to an upstream, as far as its limit and the pause that it asked for go.
func (f *Fleet) allows(now time.Duration, m *member, r Request) bool {
	if !f.mayReturn(now, m, r) {
		return false
	}
	x := f.limitOf(m)
	if x == nil {
		return true
	}
	return f.limitLeft(now, m, x) == 0 && !f.serviceOf(m.Service).keptFor(now, r.urgencyLevel())
}

// passedOver counts the upstreams that a request may not go to for their limits and pauses alone.
func (f *Fleet) passedOver(now time.Duration, r Request, tried []string) int {
	if len(f.limits.byLife) == 0 && len(f.pauses) == 0 {
		return 0
	}
	n := 0
	for _, m := range f.byService[r.Service] {
		if f.isEligible(now, m, r, tried) && !f.allows(now, m, r) {
			n++
		}
	}
	return n
}

// limitLeft is how long it takes until this box may send another request to an upstream; 0: it may now. While
// the first span under a limit lasts, what was sent before is too much already.
func (f *Fleet) limitLeft(now time.Duration, m *member, x *named) time.Duration {
	f.shareAnew(now)
	var left time.Duration
	if x.binds { // boxes that were not told yet have sent more meanwhile
		left = max(0, x.since+f.cfg.Named.Span+mostOnWay-now)
	}
	_, span := f.cfg.Named.lets(x.perSecond)
	switch over := m.history.within(now, span) - x.ration; {
	case x.ration == 0:
		return max(left, span) // all places are other boxes'
	case over >= 0:
		return max(left, m.history.sent[len(m.history.sent)-x.ration]+span-now)
	}
	return left
}

// LimitLeft is how long it takes until a request has a place at an upstream of a service that names a limit,
// at this box or, as far as can be expected, at another one; 0 where none does.
func (f *Fleet) LimitLeft(now time.Duration, service string) time.Duration {
	own, all := time.Duration(math.MaxInt64), 0.0
	for _, m := range f.byService[service] {
		if x := f.limitOf(m); x != nil && !m.closed() {
			own = min(own, f.limitLeft(now, m, x))
			all += x.perSecond
		}
	}
	switch {
	case own == math.MaxInt64:
		return 0
	case all == 0:
		return own
	}
	return min(own, time.Duration(float64(time.Second)/all))
}

// wanted is until when places are kept for requests of each urgency; 0: they are not.
type wanted [Levels]time.Duration

// keepForUrgent notes that a request of an urgency got no place since upstreams take no more: until a
// place has come free and a caller that was refused may be back, the few that there are are kept from those that are less urgent.
func (f *Fleet) keepForUrgent(now time.Duration, r Request) {
	f.serviceOf(r.Service).wanted[r.urgencyLevel()] = now + f.cfg.Named.Span + 2*mostOnWay
}

// keptFor reports whether places are kept from requests of an urgency for more urgent ones.
func (s *service) keptFor(now time.Duration, level int) bool {
	return slices.ContainsFunc(s.wanted[:level], func(until time.Duration) bool { return now < until })
}

// limitedOf lists the upstreams of a service that name a limit; none where all do, since what they take is then all there is.
func (f *Fleet) limitedOf(s *service) []*member {
	var list []*member
	for life := range f.limits.byLife {
		if m := f.byKey[life]; m != nil && m.service == s && f.limitOf(m) != nil {
			list = append(list, m)
		}
	}
	if len(list) == s.listed {
		return nil
	}
	return list
}

// MayGo reports whether the request may still be sent, now that there is a connection: its upstream may
// have come to name a limit meanwhile. Where it may not, it was not sent.
func (t *Ticket) MayGo(now time.Duration) bool {
	if t.closed || t.moved {
		return true
	}
	x := t.fleet.limitOf(t.member)
	if x == nil {
		return true
	}
	t.member.history.undo(t.opened)
	if t.fleet.limitLeft(now, t.member, x) > 0 {
		return false
	}
	t.member.history.note(now)
	return true
}
