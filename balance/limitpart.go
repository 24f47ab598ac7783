package balance

// This file defines how a limit that an upstream names is divided among boxes. It is a
// sum over all boxes and may lie far below a request a second each, so it is divided without anybody
// counting, like what cold upstreams bear: each failure domain has a part that does not depend on who is heard,
// and within it a few boxes, the first by rendezvous, have one or more requests each in any span. The invariant: boxes that know
// of each other have what the limit lets through in any span, and half of the bound at the most; the other half
// is for those that know of others, as after a cut within a domain.

import "time"

// LimitBounds is how far a limit that an upstream names may be passed.
type LimitBounds struct {
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
func (b LimitBounds) lets(perSecond float64) (requests int, span time.Duration) {
	span = b.Span + mostOnWay
	bound := max(b.Overshoot, 1)*perSecond*b.Span.Seconds() + b.Slack
	requests = int(min(perSecond*span.Seconds(), bound/2))
	if requests > 0 {
		return requests, span
	}
	return 1, time.Duration(min(float64(time.Second)/perSecond, float64(lookEvery)))
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

// binds reports whether a limit may be less than an upstream is sent without one, by what this box sent of
// late to all upstreams of the service. Only then is what was sent before too much.
func (f *Fleet) binds(now time.Duration, m *member, perSecond float64) bool {
	requests, span := f.cfg.Named.lets(perSecond)
	sum := 0
	for _, other := range f.byService[m.Service] {
		sum += other.history.within(now, span)
	}
	usual := float64(sum*max(f.boxCount, 1)) / float64(max(len(f.byService[m.Service]), 1))
	return unevenly*usual >= float64(requests)
}
