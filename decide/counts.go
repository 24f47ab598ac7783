package decide

// This file defines the summaries of a pool's load.

// Counts is a summary of a pool for status pages and for other failure domains.
type Counts struct {
	Waiting int
	Running int
	Slots   int
}

// Counts returns the number of waiting requests, of leases and of usable slots.
func (p *Pool) Counts(now Time) Counts {
	p.refreshIfStale(now)
	c := Counts{Waiting: len(p.waiting), Running: len(p.leases), Slots: p.slots}
	return c
}

// SpareFor returns how many slots the pool could give to requests of the tier from
// another failure domain: the free slots and those that lower tiers use beyond
// their floors, minus the local requests that wait in this tier and higher ones.
func (p *Pool) SpareFor(now Time, tier int) int {
	p.refreshIfStale(now)
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

// LowestTier returns the number of the lowest tier among the pool's classes, or 0
// if there are no classes.
func (p *Pool) LowestTier() int {
	if len(p.classes) == 0 {
		return 0
	}
	return p.classes[len(p.classes)-1].rule.Tier
}
