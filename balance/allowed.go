package balance

// This file defines how many requests this box may send to an upstream that names a limit. The limit is a
// sum over all boxes and may lie far below a request a second each, so it is divided without anybody
// counting, like what cold upstreams bear: each failure domain has a part that does not depend on who is heard,
// and within it a few boxes, the first by rendezvous, have one or more requests each in any span. The invariant: boxes that know
// of each other send what the limit lets them in any span, and half of the bound at the most; the other half
// is for those that know of others, as after a cut within a domain.

import (
	"slices"
	"time"
)

// NamedBounds is how far a limit that an upstream names may be passed.
type NamedBounds struct {
	Span      time.Duration // over which requests are counted
	Overshoot float64       // times what the limit lets through in the span
	Slack     float64       // and so many requests besides
}

const (
	// mostOnWay is the longest that a request which was placed takes to its upstream: DialWait, and what a busy
	// box and upstream take. By so much longer than the bound's is the span over which boxes count.
	mostOnWay = time.Second
	// lookEvery is how often a request is sent where the limit lets none through, or fewer: without
	// it nobody would see that it has ended. One in 10 s is far within any bound.
	lookEvery = 10 * time.Second
	// unevenly is how many times the mean of its service an upstream may be sent for a limit to be known not to bind.
	unevenly = 2
)

// lets is what all boxes together may send under a limit: so many requests within a span.
func (b NamedBounds) lets(perSecond float64) (requests int, span time.Duration) {
	span = b.Span + mostOnWay
	bound := max(b.Overshoot, 1)*perSecond*b.Span.Seconds() + b.Slack
	requests = int(min(perSecond*span.Seconds(), bound/2))
	if requests > 0 {
		return requests, span
	}
	return 1, time.Duration(min(float64(time.Second)/perSecond, float64(lookEvery)))
}

// Says takes in what an answer of a life says of its limit.
func (f *Fleet) Says(now time.Duration, life Life, s Statement) (LimitChange, bool) {
	c, changed := f.limits.says(life.Key(), s)
	f.noteLimits(now, c)
	return c, changed
}

// TakeNamed takes in what other boxes told of limits.
func (f *Fleet) TakeNamed(now time.Duration, list []Named) []LimitChange {
	changes := f.limits.take(now, list)
	f.noteLimits(now, changes...)
	return changes
}

// noteLimits works out what limits that have changed mean for this box.
func (f *Fleet) noteLimits(now time.Duration, changes ...LimitChange) {
	for _, c := range changes {
		x, m := f.limits.of(c.Life), f.byKey[c.Life]
		if x != nil {
			f.sharedAnew = true
			x.binds = m == nil || f.binds(now, m, x.perSecond)
		}
	}
}

// NamedNews returns, once, what others are to be told of limits.
func (f *Fleet) NamedNews(now time.Duration) []Named { return f.limits.newsOf(now) }

// NamedAll lists all that is known of limits, and those that hold alone.
func (f *Fleet) NamedAll(now time.Duration) (known, inForce []Named) { return f.limits.all(now) }

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

// binds reports whether a limit may be less than an upstream is sent without one, by what this box sent of
// late to all upstreams of the service. Only then is what was sent before too much.
func (f *Fleet) binds(now time.Duration, m *member, perSecond float64) bool {
	requests, span := f.cfg.Named.lets(perSecond)
	sum := 0
	for _, other := range f.byService[m.Service] {
		sum += other.history.within(now, span)
	}
	usual := float64(sum*max(f.boxes, 1)) / float64(max(len(f.byService[m.Service]), 1))
	return unevenly*usual >= float64(requests)
}

// shareLimits works out this box's part of each limit.
func (f *Fleet) shareLimits() {
	for life, x := range f.limits.byLife {
		if m := f.byKey[life]; m != nil && x.holds() {
			requests, _ := f.cfg.Named.lets(x.perSecond)
			x.ration = f.sharers.ration(m.ID, f.partOfDomain(m, requests))
		}
	}
}

// partOfDomain is what the boxes of this box's domain share of so many requests. All domains have the same
// part, since each takes a part of the requests; the upstream's own has what is left over, and all where there is less than one
// for each.
func (f *Fleet) partOfDomain(m *member, requests int) int {
	domains := map[string]bool{f.cfg.Domain: true}
	for domain := range f.cfg.Regions {
		domains[domain] = true
	}
	for _, other := range f.byService[m.Service] {
		domains[other.Domain] = true
	}
	each := requests / len(domains)
	if m.Domain != f.cfg.Domain {
		return each
	}
	return requests - each*(len(domains)-1)
}

// allows reports whether this box may send a request to an upstream, as far as its limit goes.
func (f *Fleet) allows(now time.Duration, m *member, r Request) bool {
	x := f.limitOf(m)
	if x == nil {
		return true
	}
	return f.limitLeft(now, m, x) == 0 && !f.serviceOf(m.Service).keptFor(now, r.level())
}

// passedOver counts the upstreams that a request may not go to for their limits alone.
func (f *Fleet) passedOver(now time.Duration, r Request, tried []string) int {
	if len(f.limits.byLife) == 0 {
		return 0
	}
	n := 0
	for _, m := range f.byService[r.Service] {
		if f.isOpen(now, m, r, tried) && !f.allows(now, m, r) {
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
	if x.binds {
		left = max(0, x.since+f.cfg.Named.Span-now)
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
	var own time.Duration
	var all float64
	for _, m := range f.byService[service] {
		x := f.limitOf(m)
		if x == nil || m.closed() {
			continue
		}
		left := f.limitLeft(now, m, x)
		if all == 0 || left < own {
			own = left
		}
		all += x.perSecond
	}
	if all == 0 {
		return own
	}
	return min(own, time.Duration(float64(time.Second)/all))
}

// wanted is until when places are kept for requests of each urgency; 0: they are not.
type wanted [Levels]time.Duration

// keepForUrgent notes that a request of an urgency got no place since upstreams take no more: until a
// place has come free and a caller that was refused may be back, the few that there are are kept from those that are less urgent.
func (f *Fleet) keepForUrgent(now time.Duration, r Request) {
	f.serviceOf(r.Service).wanted[r.level()] = now + f.cfg.Named.Span + 2*mostOnWay
}

// keptFor reports whether places are kept from requests of an urgency for more urgent ones.
func (s *service) keptFor(now time.Duration, level int) bool {
	return slices.ContainsFunc(s.wanted[:level], func(until time.Duration) bool { return now < until })
}

// unlimited is the upstreams that name no limit; all where each does. What those take that do is no measure
// of what there is.
func (f *Fleet) unlimited(all []*member) []*member {
	if len(f.limits.byLife) == 0 {
		return all
	}
	list := slices.DeleteFunc(slices.Clone(all), func(m *member) bool { return f.limitOf(m) != nil })
	if len(list) == 0 {
		return all
	}
	return list
}

// MayGo reports whether the request may still be sent, now that there is a connection: its upstream may
// have come to name a limit meanwhile. Where it may not, it was not sent.
func (t *Ticket) MayGo(now time.Duration) bool {
	x := t.fleet.limitOf(t.member)
	if t.closed || t.moved || x == nil {
		return true
	}
	t.member.history.undo(t.opened)
	if t.fleet.limitLeft(now, t.member, x) > 0 {
		return false
	}
	t.member.history.note(now)
	return true
}
