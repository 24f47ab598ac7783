package decide

// This file defines which slots holders may keep for their next requests. The
// invariant: nothing is kept while slots are short.

import (
	"slices"
	"time"
)

// RetainedSlotLifetime is how long a slot may be used again before it goes back, so that the
// owner's view of the upstreams, and not the past, decides where requests run.
const RetainedSlotLifetime = time.Minute

// keep is how long a slot granted now may be kept after its answer. In a large
// pool asking for each costs more than the slots that lie idle; but
// what is kept is out of the tiers' reach until it is recalled, so nothing is
// kept when slots are short, nor of a class whose concurrency is limited.
func (p *Pool) keep(c *classQueue) time.Duration {
	busy := float64(len(p.leases)) > keepBusy*float64(p.slots)
	if p.cfg.RetainAbove == 0 || len(p.leases) < p.cfg.RetainAbove || busy || c.rule.Concurrency != 0 {
		return 0
	}
	return keepTime
}

// ShouldRecall reports whether kept slots are wanted back: something waits and no slot
// is free, or an upstream is leaving. It says so at most every recallEvery.
func (p *Pool) ShouldRecall(now Time) bool {
	short := len(p.waiting) > 0 && now-p.recalled >= recallEvery
	if now > p.keptUntil || !short && !p.recallNow {
		return false // nothing can be kept, or nothing is wanted
	}
	p.recallNow = false
	p.recalled = now
	return true
}

// Holders lists the boxes that hold slots, sorted.
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
