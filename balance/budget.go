package balance

// This file defines the budget for sending requests again. The invariant: within
// any window, a box sends at most its share of the slack, plus the ratio of the
// requests it took, a second time. A box that has just started has no share of the
// slack for a whole window, since its predecessor may have used it.

import "time"

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	Ratio  float64       // requests sent again for each request taken
	Slack  float64       // requests sent again besides, summed over all boxes
	Window time.Duration // the span over which both are counted
}

// bucketsPerWindow is how finely a window slides; a count stays in it for up to
// one bucket too long, which errs on the safe side for what was spent.
const bucketsPerWindow = 10

// Budget counts what one box took for a service and sent again. It is not safe for several
// goroutines.
type Budget struct {
	cfg   BudgetConfig
	whole time.Duration // when a whole window has passed since the start
	taken [bucketsPerWindow + 1]int
	spent [bucketsPerWindow + 1]int
	last  int64 // number of the newest bucket
}

// NewBudget returns a budget of a box that starts now. first says that no box ran
// before, so that nothing of the slack can have been used.
func NewBudget(cfg BudgetConfig, now time.Duration, first bool) *Budget {
	b := &Budget{cfg: cfg, whole: now + cfg.Window}
	if first {
		b.whole = now
	}
	b.last = b.bucket(now)
	return b
}

func (b *Budget) bucket(now time.Duration) int64 {
	return int64(now / (b.cfg.Window / bucketsPerWindow))
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Duration) int {
	n := b.bucket(now)
	for i := max(b.last+1, n-bucketsPerWindow); i <= n; i++ {
		at := i % (bucketsPerWindow + 1)
		b.taken[at], b.spent[at] = 0, 0
	}
	b.last = max(b.last, n)
	return int(b.last % (bucketsPerWindow + 1))
}

// Take counts a request that was taken from a caller.
func (b *Budget) Take(now time.Duration) { b.taken[b.advance(now)]++ }

// Spend reports whether a request may be sent again, and counts it if so. The
// slack is divided by the number of boxes.
func (b *Budget) Spend(now time.Duration, boxes int) bool {
	at := b.advance(now)
	if float64(b.sum(&b.spent)+1) > b.allowed(now, boxes) {
		return false
	}
	b.spent[at]++
	return true
}

// BudgetUse is what a budget goes by at a moment.
type BudgetUse struct {
	Taken int // requests that count
	Spent int // those sent again that count
	Boxes int // among which the slack is divided
}

// Use returns what the budget goes by now.
func (b *Budget) Use(now time.Duration, boxes int) BudgetUse {
	b.advance(now)
	return BudgetUse{Taken: b.sum(&b.taken), Spent: b.sum(&b.spent), Boxes: boxes}
}

// idle reports whether nothing counts any more.
func (b *Budget) idle(now time.Duration) bool {
	use := b.Use(now, 0)
	return use.Taken == 0 && use.Spent == 0
}

// Left is how many more requests may be sent again now.
func (b *Budget) Left(now time.Duration, boxes int) int {
	b.advance(now)
	return max(0, int(b.allowed(now, boxes))-b.sum(&b.spent))
}

func (b *Budget) allowed(now time.Duration, boxes int) float64 {
	allowed := b.cfg.Ratio * float64(b.sum(&b.taken))
	if now >= b.whole {
		allowed += b.cfg.Slack / float64(max(boxes, 1))
	}
	return allowed
}

func (b *Budget) sum(buckets *[bucketsPerWindow + 1]int) int {
	n := 0
	for _, v := range buckets {
		n += v
	}
	return n
}
