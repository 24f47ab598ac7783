package decide

// This file defines what a pool tells of itself.

// Counts sums up a pool for status and for the summary between domains.
type Counts struct {
	Waiting int
	Running int
	Slots   int
}

// Counts returns the pool's state.
func (p *Pool) Counts(now Time) Counts {
	p.freshen(now)
	c := Counts{Waiting: len(p.waiting), Running: len(p.leases), Slots: p.slots}
	return c
}

// SpareFor counts the slots that a request of the tier from elsewhere could have:
// free ones, and those of lower tiers beyond what their floors protect, less what
// waits of its tier and higher ones here.
func (p *Pool) SpareFor(now Time, tier int) int {
	p.freshen(now)
	n := p.slots
	for _, c := range p.classes {
		if c.rule.Tier <= tier {
			n -= c.running + c.waiting
		} else {
			n -= min(c.running, p.protected(c))
		}
	}
	return max(0, n)
}

// LowestTier is the number of the lowest tier of the pool's classes.
func (p *Pool) LowestTier() int {
	if len(p.classes) == 0 {
		return 0
	}
	return p.classes[len(p.classes)-1].rule.Tier
}
