package balance

// This file divides the rate limits that upstreams advertise among the boxes. A limit applies to
// all boxes together and may be far less than one request per second and box, so it is divided
// without coordination, like the limit of cold upstreams: each failure domain has a part that
// does not depend on which boxes are heard from, and within the domain the first few boxes by
// rendezvous rank may send one or more requests each in any time span. The invariant: boxes that
// know of each other together send what the limit allows in any span, and at most half of the
// bound; the other half covers boxes that know a different set, as after a partition within a
// domain.

import "time"

// LimitBounds is how far the limits that upstreams advertise may be exceeded.
type LimitBounds struct {
	Span      time.Duration // time span over which requests are counted
	Overshoot float64       // factor of what the limit allows in the span
	Slack     float64       // additional requests in the span
}

const (
	// maxTransit is the longest time from placing a request until it reaches its upstream:
	// DialWait, plus the delays of a busy box and upstream. Boxes count requests over a span that
	// is longer than that of the bound by this time.
	maxTransit = time.Second
	// probeInterval is how often a request is sent to an upstream whose limit allows none, or
	// fewer than that: otherwise the end of the limit would go unnoticed. One request in 10 s is
	// far within any bound.
	probeInterval = 10 * time.Second
)

// allowance returns how many requests all boxes together may send under a limit, and within which
// time span.
func (b LimitBounds) allowance(perSecond float64) (requests int, span time.Duration) {
	span = b.Span + maxTransit
	requests = int(min(perSecond*span.Seconds(), b.maxRequests(perSecond)/2))
	if requests > 0 {
		return requests, span
	}
	return 1, time.Duration(min(float64(time.Second)/perSecond, float64(probeInterval)))
}

// maxRequests returns how many requests an upstream may get under a limit within the span, from
// all boxes together.
func (b LimitBounds) maxRequests(perSecond float64) float64 {
	return max(b.Overshoot, 1)*perSecond*b.Span.Seconds() + b.Slack
}

// refreshLimitQuotas recomputes the quotas of this box for each limit.
func (f *Fleet) refreshLimitQuotas() {
	for incarnation, x := range f.limits.byIncarnation {
		if m := f.byKey[incarnation]; m != nil && x.inForce() {
			requests, _ := f.cfg.LimitBounds.allowance(x.perSecond)
			x.quota = f.quotaPeers.quota(m.ID, f.domainLimitShare(m, requests))
			x.firstQuota = f.quotaPeers.quota(m.ID, f.domainLimitShare(m, f.firstSpanAllowance(x)))
		}
	}
}

// domainLimitShare returns how many of the requests that a limit allows the boxes of this domain
// have together. All domains get the same part, since each of them carries a part of the
// requests, and the first ones by domainRank one of the remainder each. Fewer requests thus never
// leave a domain with more: boxes that differ on how many there are share out no more than the
// largest number.
func (f *Fleet) domainLimitShare(m *member, requests int) int {
	domains := map[string]bool{f.cfg.Domain: true}
	for domain := range f.cfg.Regions {
		domains[domain] = true
	}
	for _, other := range f.byService[m.Service] {
		domains[other.Domain] = true
	}
	share := requests / len(domains)
	if f.domainRank(m, domains) < requests%len(domains) {
		share++
	}
	return share
}

// domainRank returns how many domains precede this box's own for an upstream: the upstream's own
// one, and then the others in rendezvous order.
func (f *Fleet) domainRank(m *member, domains map[string]bool) int {
	if m.Domain == f.cfg.Domain {
		return 0
	}
	others := QuotaPeers{Box: f.cfg.Domain}
	for domain := range domains {
		if domain != m.Domain {
			others.Boxes = append(others.Boxes, domain)
		}
	}
	return 1 + others.rank(m.ID)
}
