package balance

// This file defines the retry budget of a box for one service. The invariant: in each window, at
// most Ratio retries per request of that window or of the previous one, whichever has more, plus
// Slack arrive at the service from all boxes together; this holds however boxes restart, however
// requests move between them, and however long retries take to arrive.
//
// A box does not know what the others spend, so each keeps to a bound that adds up over all
// boxes: in any window it spends at most a fixed part of the ratio on the requests of that
// window, the rest of the ratio on the requests of the previous window, and its share of the
// slack. A box that has just started has no previous window, and none of the slack in windows that
// began before its start: the process that ran before it may have used its share, or, on the first
// start of a deployment, the boxes do not all know of each other.
//
// Windows are those of arrivals at the upstreams, which a box does not see. A retry therefore
// counts in every window from the time it is taken until it is known to have arrived or to be
// unable to arrive any more. A request may have been sent by its caller up to Transit before the
// box counts it, and a window that begins up to Transit after a retry is sent must allow it as well.

import (
	"math"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	Ratio  float64       // retries per request
	Slack  float64       // additional retries per window, summed over all boxes
	Window time.Duration // time span over which requests and retries are counted
	// Transit is the longest time that a request is assumed to take from its caller to the box, and a
	// retry from the box to its upstream. A retry that takes longer can exceed the bound only if the
	// requests that allowed it have left the windows meanwhile.
	Transit time.Duration
}

const (
	// bucketsPerWindow is the resolution of the sliding window.
	bucketsPerWindow = 40
	// bucketsKept covers the two windows of requests that a window of retries depends on, and one
	// window ahead, in which retries may still arrive.
	bucketsKept = 3 * bucketsPerWindow
	// previousWindowShare is the part of the ratio that is granted for the requests of the
	// previous window. It lets a box answer a burst of failures after a quiet period. The rest is
	// all that is available to a box that has just started or whose load has just grown.
	previousWindowShare = 0.25
)

// Budget counts the requests that one box received for a service and the retries that it sent. It
// is not safe for concurrent use.
type Budget struct {
	cfg      BudgetConfig
	start    time.Duration
	requests [bucketsKept]int // by bucket number modulo bucketsKept
	arrivals [bucketsKept]int // retries by the bucket in which they arrived at the latest
	open     int              // retries that have not ended
	newest   int              // number of the newest bucket, counted from the start
}

// NewBudget returns the budget of a box that starts now.
func NewBudget(cfg BudgetConfig, now time.Duration) *Budget {
	return &Budget{cfg: cfg, start: now}
}

// Retry is a retry that was taken from a budget and may still arrive at its upstream. Each is
// ended with Arrived or Cancel; nil and an ended Retry ignore further calls. It is not safe for
// concurrent use.
type Retry struct {
	budget *Budget // nil once ended
}

// Take takes a retry from the budget; nil if none is left. The slack is divided evenly among
// boxes; 0 means that this box has no share of it.
func (b *Budget) Take(now time.Duration, boxes int) *Retry {
	if b.Remaining(now, boxes) < 1 {
		return nil
	}
	b.open++
	return &Retry{b}
}

// Arrived records that the retry, if it reached its upstream at all, did so before latest, which
// is at most one window from now.
func (r *Retry) Arrived(now, latest time.Duration) {
	if r == nil || r.budget == nil {
		return
	}
	b := r.budget
	n := b.advance(now)
	b.arrivals[min(b.bucketOf(latest), n+bucketsPerWindow)%bucketsKept]++
	b.open--
	r.budget = nil
}

// Cancel returns the retry to the budget: it was not sent.
func (r *Retry) Cancel() {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.open--
	r.budget = nil
}

// MayBeSent reports whether a retry that was taken some time ago is still within the budget.
func (r *Retry) MayBeSent(now time.Duration, boxes int) bool {
	return r != nil && r.budget != nil && r.budget.remaining(now, boxes) >= 0
}

// bucketOf returns the number of the bucket that contains a time.
func (b *Budget) bucketOf(at time.Duration) int {
	return int((at - b.start) / (b.cfg.Window / bucketsPerWindow))
}

// transitBuckets returns the number of buckets that Transit extends over.
func (b *Budget) transitBuckets() int {
	width := b.cfg.Window / bucketsPerWindow
	return int((b.cfg.Transit + width - 1) / width)
}

// advance clears the buckets that have expired and returns the number of the newest one.
func (b *Budget) advance(now time.Duration) int {
	n := b.bucketOf(now)
	for i := max(b.newest+1, n-bucketsKept+1); i <= n; i++ {
		b.requests[i%bucketsKept] = 0
		b.arrivals[(i+bucketsPerWindow)%bucketsKept] = 0
	}
	b.newest = max(b.newest, n)
	return b.newest
}

// requestsIn returns the requests of a bucket; 0 for one that is not kept.
func (b *Budget) requestsIn(i int) int {
	if i < 0 || i > b.newest || i <= b.newest-bucketsKept {
		return 0
	}
	return b.requests[i%bucketsKept]
}

// arrivalsIn returns the retries that arrived in a bucket at the latest; 0 for one that is not
// kept.
func (b *Budget) arrivalsIn(i int) int {
	if i < 0 || i > b.newest+bucketsPerWindow || i < b.newest-bucketsPerWindow {
		return 0
	}
	return b.arrivals[i%bucketsKept]
}

// CountRequest counts a request that was received from a caller.
func (b *Budget) CountRequest(now time.Duration) { b.requests[b.advance(now)%bucketsKept]++ }

// BudgetUsage is the state of a budget at one moment.
type BudgetUsage struct {
	Taken int // requests within the last window
	Spent int // retries that arrived within the last window or may still arrive
	Boxes int // number of boxes that share the slack; 0: this box has no share
}

// Use returns the requests and retries of the window that ends now.
func (b *Budget) Use(now time.Duration, boxes int) BudgetUsage {
	n := b.advance(now)
	usage := BudgetUsage{Spent: b.open, Boxes: boxes}
	for i := n - bucketsPerWindow; i <= n+bucketsPerWindow; i++ {
		usage.Taken += b.requestsIn(i)
		usage.Spent += b.arrivalsIn(i)
	}
	return usage
}

// idle reports whether all buckets are empty and no retry is open.
func (b *Budget) idle(now time.Duration) bool {
	b.advance(now)
	return b.open == 0 && b.requests == [bucketsKept]int{} && b.arrivals == [bucketsKept]int{}
}

// Remaining returns how many more retries are allowed now.
func (b *Budget) Remaining(now time.Duration, boxes int) int {
	return max(0, int(b.remaining(now, boxes)))
}

// remaining returns the minimum, over all windows in which a retry that is sent now may arrive, of
// the retries that are left; negative if a window has too many.
func (b *Budget) remaining(now time.Duration, boxes int) float64 {
	n := b.advance(now)
	transit := b.transitBuckets()
	retries, since, before := b.open, 0, 0
	for i := n + transit + 1; i <= n+bucketsPerWindow; i++ {
		retries += b.arrivalsIn(i)
	}
	last := n + transit // the last bucket in which such a window begins
	for i := last + transit + 2 - bucketsPerWindow; i <= n; i++ {
		before += b.requestsIn(i)
	}
	remaining := math.Inf(1)
	for begin := last; begin >= n-bucketsPerWindow; begin-- {
		retries += b.arrivalsIn(begin)
		next := begin + transit + 1 // the first bucket whose requests were all sent since the window began
		since += b.requestsIn(next)
		before += b.requestsIn(next-bucketsPerWindow) - b.requestsIn(next)
		remaining = min(remaining, b.allowance(begin, boxes, since, before)-float64(retries))
	}
	return remaining
}

// allowance returns how many retries are allowed in a window that begins within bucket begin,
// given the number of requests since then and in the window before.
func (b *Budget) allowance(begin, boxes, since, before int) float64 {
	allowed := b.cfg.Ratio * ((1-previousWindowShare)*float64(since) + previousWindowShare*float64(before))
	// Retries of the process that ran before may arrive for Transit after its end. Where none ran before,
	// the box may not have heard of all others yet.
	if boxes > 0 && begin >= b.transitBuckets() {
		allowed += b.cfg.Slack / float64(boxes)
	}
	return allowed
}
