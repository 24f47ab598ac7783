package balance

// This file defines a box's budget for sending requests of a service again. The invariant: in each window, all boxes
// together send no more retries than the ratio times the requests of that window or of the one before, whichever
// has more, and the slack; whenever boxes start again, and however requests move between them.
//
// No box knows what the others take, so each keeps to a sum that adds up: in any window it spends at most a fixed part of
// the ratio for its requests of that window, the rest of it for its requests of the window before, and its share of the
// slack. A box that has just started knows no window before, and its predecessor may have used its share of the slack in
// any window that began before the start.

import (
	"math"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	Ratio  float64       // requests sent again for each request taken
	Slack  float64       // requests sent again besides, summed over all boxes
	Window time.Duration // the span over which both are counted
}

const (
	// bucketsPerWindow is how finely a window slides. The bucket in which a window begins counts in it for what
	// was spent, and for nothing for what was taken.
	bucketsPerWindow = 40
	// bucketsKept is how many buckets are kept: those of two windows.
	bucketsKept = 2 * bucketsPerWindow
	// savedPart is the part of the ratio that the requests of the window before allow. It lets a box answer a burst
	// of failures after a calm time; the other part is all that a box has which has just started, or whose load has grown.
	savedPart = 0.25
)

// Budget counts what one box took for a service and sent again. It is not safe for several
// goroutines.
type Budget struct {
	cfg   BudgetConfig
	start time.Duration
	first bool
	taken [bucketsKept]int // by bucket, modulo their number
	spent [bucketsKept]int
	last  int // the newest bucket, counted from the start
}

// NewBudget returns a budget of a box that starts now. first says that no box ran
// before, so that nothing of the slack can have been used.
func NewBudget(cfg BudgetConfig, now time.Duration, first bool) *Budget {
	return &Budget{cfg: cfg, start: now, first: first}
}

// advance clears the buckets that are no longer kept, and returns the newest one.
func (b *Budget) advance(now time.Duration) int {
	n := int((now - b.start) / (b.cfg.Window / bucketsPerWindow))
	for i := max(b.last+1, n-bucketsKept+1); i <= n; i++ {
		b.taken[i%bucketsKept], b.spent[i%bucketsKept] = 0, 0
	}
	b.last = max(b.last, n)
	return b.last
}

// Take counts a request that was taken from a caller.
func (b *Budget) Take(now time.Duration) { b.taken[b.advance(now)%bucketsKept]++ }

// Spend reports whether a request may be sent again, and counts it if so. The
// slack is divided by the number of boxes; 0: this one has no part of it.
func (b *Budget) Spend(now time.Duration, boxes int) bool {
	if b.Left(now, boxes) < 1 {
		return false
	}
	b.spent[b.last%bucketsKept]++
	return true
}

// BudgetUse is what a budget goes by at a moment.
type BudgetUse struct {
	Taken int // requests within the last window
	Spent int // those sent again within it
	Boxes int // among which the slack is divided; 0: this one has no part of it
}

// Use returns what the budget goes by now.
func (b *Budget) Use(now time.Duration, boxes int) BudgetUse {
	n := b.advance(now)
	use := BudgetUse{Boxes: boxes}
	for i := n - bucketsPerWindow; i <= n; i++ {
		use.Taken += at(&b.taken, i)
		use.Spent += at(&b.spent, i)
	}
	return use
}

// idle reports whether nothing counts any more.
func (b *Budget) idle(now time.Duration) bool {
	b.advance(now)
	return b.taken == [bucketsKept]int{} && b.spent == [bucketsKept]int{}
}

// Left is how many more requests may be sent again now: the fewest that any window allows which
// has begun and not ended.
func (b *Budget) Left(now time.Duration, boxes int) int {
	n := b.advance(now)
	left := math.Inf(1)
	spent, since, before := 0, 0, 0
	for i := n - bucketsPerWindow + 1; i < n; i++ {
		before += at(&b.taken, i)
	}
	for begin := n; begin >= n-bucketsPerWindow; begin-- {
		spent += at(&b.spent, begin)
		left = min(left, b.allowed(begin, boxes, since, before)-float64(spent))
		since += at(&b.taken, begin)
		before += at(&b.taken, begin-bucketsPerWindow) - at(&b.taken, begin-1)
	}
	return max(0, int(left))
}

// allowed is how many retries a window allows that begins within a bucket, for so many requests since and in
// the window before.
func (b *Budget) allowed(begin, boxes, since, before int) float64 {
	allowed := b.cfg.Ratio * ((1-savedPart)*float64(since) + savedPart*float64(before))
	if boxes > 0 && (b.first || begin >= 0) {
		allowed += b.cfg.Slack / float64(boxes)
	}
	return allowed
}

// at is a bucket's count; 0 for those from before the start.
func at(buckets *[bucketsKept]int, i int) int {
	if i < 0 {
		return 0
	}
	return buckets[i%bucketsKept]
}
