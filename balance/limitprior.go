package balance

// This file tracks how many requests boxes sent to an upstream before they knew its limit. These
// requests arrive during the first span of the limit and use up part of what it allows. A box
// cannot infer their number from its own requests, since load is spread unevenly over boxes. The
// invariant: in the first span, a box sends nothing to the upstream until it knows the total over
// all boxes, and then all boxes together send at most what the total leaves of the bound.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxStartDifference is how far two boxes may differ on when a limit began, because reports take
// time to arrive. If they differ by more, they refer to two successive limits.
const maxStartDifference = 250 * time.Millisecond

// LimitStart identifies a limit from its start, or its last significant drop, to the next one.
type LimitStart struct {
	PerSecond float64       // the limit as it began
	At        time.Duration // when it began
}

// Matches reports whether two boxes refer to the same limit of an incarnation.
func (s LimitStart) Matches(o LimitStart) bool {
	return s.PerSecond == o.PerSecond && max(s.At-o.At, o.At-s.At) <= maxStartDifference
}

// PriorCount is the number of requests sent to an upstream by one or more boxes before they knew
// its limit.
type PriorCount struct {
	Life  uint32 // incarnation key
	Start LimitStart
	Sent  int
}

// maxTotalWait is how long after the start of a limit a request may wait for the total. Boxes add it
// up in two round trips, and each of them sends after at most one tick of 100 ms.
const maxTotalWait = 200 * time.Millisecond

// priorRequests holds the requests that boxes sent to an upstream before they knew its limit.
type priorRequests struct {
	start      LimitStart
	own        int  // sent by this box
	all        int  // sent by all boxes
	totalKnown bool // all is valid
}

// start returns what identifies the limit.
func (x *limitState) start() LimitStart { return LimitStart{x.droppedTo, x.droppedAt} }

// firstSpanEnd returns when the last request sent without knowledge of a limit is no longer
// counted by the upstream.
func (f *Fleet) firstSpanEnd(x *limitState) time.Duration {
	return x.droppedAt + f.cfg.LimitBounds.Span + maxTransit
}

// countPrior records this box's requests before a limit, when the box has learned of it.
func (f *Fleet) countPrior(now time.Duration, incarnation uint32) {
	x := f.limits.active(incarnation)
	if x == nil || x.prior != nil && x.prior.start.Matches(x.start()) {
		return
	}
	x.prior = &priorRequests{start: x.start()}
	if h := f.histories[incarnation]; h != nil {
		x.prior.own = h.within(now, f.cfg.LimitBounds.Span+maxTransit)
	}
	f.priorsStale, f.quotasStale = true, true
}

// TakePriorCounts returns this box's counts for all limits in their first span, sorted by
// incarnation key. It returns false if they are the same as at the last call.
func (f *Fleet) TakePriorCounts(now time.Duration) ([]PriorCount, bool) {
	if !f.priorsStale && now < f.priorsUntil {
		return nil, false
	}
	f.priorsStale, f.priorsUntil = false, math.MaxInt64
	var list []PriorCount
	for _, incarnation := range slices.Sorted(maps.Keys(f.limits.byIncarnation)) {
		x := f.limits.active(incarnation)
		if x == nil || x.prior == nil || now >= f.firstSpanEnd(x) {
			continue
		}
		list = append(list, PriorCount{Life: incarnation, Start: x.start(), Sent: x.prior.own})
		f.priorsUntil = min(f.priorsUntil, f.firstSpanEnd(x))
	}
	return list, true
}

// NotePriorTotals records counts over all boxes, and returns those that it did not know. What was
// sent stays sent: a smaller count lacks boxes that have ended since.
func (f *Fleet) NotePriorTotals(totals []PriorCount) (changed []PriorCount) {
	for _, c := range totals {
		x := f.limits.active(c.Life)
		if x == nil || x.prior == nil || !x.start().Matches(c.Start) {
			continue
		}
		before := *x.prior
		x.prior.all, x.prior.totalKnown = max(c.Sent, x.prior.own, x.prior.all), true
		if *x.prior != before {
			f.quotasStale = true
			changed = append(changed, c)
		}
	}
	return changed
}

// PriorTotalWait returns how long a request that found no capacity may wait for a total that could
// let this box send it; 0 if none is due.
func (f *Fleet) PriorTotalWait(now time.Duration, service string) time.Duration {
	f.refreshQuotas(now)
	var longest time.Duration
	for _, m := range f.byService[service] {
		x := f.limitOf(m)
		if x == nil || m.closed() || x.prior == nil || x.prior.totalKnown || x.quota == 0 {
			continue
		}
		longest = max(longest, x.droppedAt+maxTotalWait-now)
	}
	return longest
}

// firstSpanAllowance returns how many requests all boxes together may still send in the first
// span of a limit; 0 if the earlier ones use it up or their number is unknown.
func (f *Fleet) firstSpanAllowance(x *limitState) int {
	if x.prior == nil || !x.prior.totalKnown {
		return 0
	}
	requests, _ := f.cfg.LimitBounds.allowance(x.perSecond)
	return max(0, min(requests, int(f.cfg.LimitBounds.maxRequests(x.perSecond))-x.prior.all))
}
