package balance

// This file defines the retry budget of a box for one service. The invariant: in each window, all
// boxes together send at most Ratio retries per request of that window or of the previous one,
// whichever has more, plus Slack; this holds however boxes restart and however requests move
// between them.
//
// A box does not know what the others spend, so each keeps to a bound that adds up over all
// boxes: in any window it spends at most a fixed part of the ratio on the requests of that
// window, the rest of the ratio on the requests of the previous window, and its share of the
// slack. A box that has just started has no previous window, and the process that ran before it
// may have used the box's share of the slack in any window that began before the start.

import (
	"math"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	Ratio  float64       // retries per request
	Slack  float64       // additional retries per window, summed over all boxes
	Window time.Duration // time span over which requests and retries are counted
}

const (
	// bucketsPerWindow is the resolution of the sliding window. The bucket in which a window
	// begins counts in full toward the retries of that window, and not at all toward its
	// requests.
	bucketsPerWindow = 40
	// bucketsKept is the number of buckets kept: those of two windows.
	bucketsKept = 2 * bucketsPerWindow
	// previousWindowShare is the part of the ratio that is granted for the requests of the
	// previous window. It lets a box answer a burst of failures after a quiet period. The rest is
	// all that is available to a box that has just started or whose load has just grown.
	previousWindowShare = 0.25
)

// Budget counts the requests that one box received for a service and the retries that it sent. It
// is not safe for concurrent use.
type Budget struct {
	cfg        BudgetConfig
	start      time.Duration
	firstStart bool
	requests   [bucketsKept]int // by bucket number modulo bucketsKept
	retries    [bucketsKept]int
	newest     int // number of the newest bucket, counted from the start
}

// NewBudget returns the budget of a box that starts now. firstStart says that no process ran on
// this box before, so that none of its slack can have been used.
func NewBudget(cfg BudgetConfig, now time.Duration, firstStart bool) *Budget {
	return &Budget{cfg: cfg, start: now, firstStart: firstStart}
}

// advance clears the buckets that have expired and returns the number of the newest one.
func (b *Budget) advance(now time.Duration) int {
	n := int((now - b.start) / (b.cfg.Window / bucketsPerWindow))
	for i := max(b.newest+1, n-bucketsKept+1); i <= n; i++ {
		b.requests[i%bucketsKept], b.retries[i%bucketsKept] = 0, 0
	}
	b.newest = max(b.newest, n)
	return b.newest
}

// CountRequest counts a request that was received from a caller.
func (b *Budget) CountRequest(now time.Duration) { b.requests[b.advance(now)%bucketsKept]++ }

// Spend reports whether a retry is allowed and, if so, counts it. The slack is divided evenly
// among boxes; 0 means that this box has no share of it.
func (b *Budget) Spend(now time.Duration, boxes int) bool {
	if b.Remaining(now, boxes) < 1 {
		return false
	}
	b.retries[b.newest%bucketsKept]++
	return true
}

// BudgetUsage is the state of a budget at one moment.
type BudgetUsage struct {
	Taken int // requests within the last window
	Spent int // retries within the last window
	Boxes int // number of boxes that share the slack; 0: this box has no share
}

// Use returns the requests and retries of the window that ends now.
func (b *Budget) Use(now time.Duration, boxes int) BudgetUsage {
	n := b.advance(now)
	usage := BudgetUsage{Boxes: boxes}
	for i := n - bucketsPerWindow; i <= n; i++ {
		usage.Taken += countAt(&b.requests, i)
		usage.Spent += countAt(&b.retries, i)
	}
	return usage
}

// idle reports whether all buckets are empty.
func (b *Budget) idle(now time.Duration) bool {
	b.advance(now)
	return b.requests == [bucketsKept]int{} && b.retries == [bucketsKept]int{}
}

// Remaining returns how many more retries are allowed now: the minimum over all windows that
// include the present moment.
func (b *Budget) Remaining(now time.Duration, boxes int) int {
	n := b.advance(now)
	remaining := math.Inf(1)
	retries, requestsSince, requestsBefore := 0, 0, 0
	for i := n - bucketsPerWindow + 1; i < n; i++ {
		requestsBefore += countAt(&b.requests, i)
	}
	for begin := n; begin >= n-bucketsPerWindow; begin-- {
		retries += countAt(&b.retries, begin)
		remaining = min(remaining, b.allowance(begin, boxes, requestsSince, requestsBefore)-float64(retries))
		requestsSince += countAt(&b.requests, begin)
		requestsBefore += countAt(&b.requests, begin-bucketsPerWindow) - countAt(&b.requests, begin-1)
	}
	return max(0, int(remaining))
}

// allowance returns how many retries are allowed in a window that begins within bucket begin,
// given the number of requests since and in the window before.
func (b *Budget) allowance(begin, boxes, since, before int) float64 {
	allowed := b.cfg.Ratio * ((1-previousWindowShare)*float64(since) + previousWindowShare*float64(before))
	if boxes > 0 && (b.firstStart || begin >= 0) {
		allowed += b.cfg.Slack / float64(boxes)
	}
	return allowed
}

// countAt returns the count of bucket i; 0 for buckets before the start.
func countAt(buckets *[bucketsKept]int, i int) int {
	if i < 0 {
		return 0
	}
	return buckets[i%bucketsKept]
}
