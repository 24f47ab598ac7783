package decide

// This file defines when a holder may retain a slot for its next request instead of
// asking the pool again. The invariant: no slot is retained while slots are scarce.

import (
	"slices"
	"time"
)

// RetainedSlotLifetime is how long a retained slot may be reused before it goes back
// to the pool. The limit makes the owner place requests by its current view of the
// upstreams, not by past decisions.
const RetainedSlotLifetime = time.Minute

// retention returns how long a slot granted now may be retained after its answer.
// In a large pool a request to the owner for each slot costs more than idle slots
// do. A retained slot is out of reach of higher tiers until it is recalled, so
// nothing is retained when slots are scarce, nor for a class with a concurrency
// limit.
func (p *Pool) retention(c *classQueue) time.Duration {
	busy := float64(len(p.leases)) > maxRetainUtilization*float64(p.slots)
	if p.cfg.RetainAbove == 0 || len(p.leases) < p.cfg.RetainAbove || busy || c.rule.Concurrency != 0 {
		return 0
	}
	return retainTime
}

// ShouldRecall reports whether the holders should return their retained slots:
// requests wait and no slot is free, or an upstream stopped taking requests. For
// waiting requests it reports true at most once every recallInterval.
func (p *Pool) ShouldRecall(now Time) bool {
	short := len(p.waiting) > 0 && now-p.lastRecall >= recallInterval
	if now > p.retainedUntil || !short && !p.recallPending {
		return false // no slot can be retained, or there is no reason to recall any
	}
	p.recallPending = false
	p.lastRecall = now
	return true
}

// Holders returns the boxes that hold leases, sorted by name.
func (p *Pool) Holders() []string {
	var out []string
	for box, g := range p.ledgers {
		if g.count > 0 {
			out = append(out, box)
		}
	}
	slices.Sort(out)
	return out
}
