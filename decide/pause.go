package decide

// This file defines when a running answer is paused for a higher tier. The
// invariants: only for a higher tier, never below a floor, never what may run only
// once; an order ends with its reason.

import (
	"math"
	"slices"
)

// pausable counts the running leases of tiers lower than tier, beyond what
// their floors protect.
func (p *Pool) pausable(tier int) int {
	if p.cfg.NoPause {
		return 0
	}
	n := 0
	for _, c := range p.classes {
		if c.rule.Tier > tier {
			n += max(0, c.running-c.pausing-p.protected(c))
		}
	}
	return n
}

// protected is how many running leases of a class its floor keeps from being
// paused. A class that may run only once may not be paused at all.
func (p *Pool) protected(c *classQueue) int {
	if !c.rule.Repeatable {
		return c.running
	}
	return max(1, int(c.rule.Floor*float64(p.slots)))
}

// pauseFor pauses running requests of lower tiers for waiting ones that would
// otherwise miss their target.
func (p *Pool) pauseFor(now Time) {
	if p.cfg.NoPause {
		return
	}
	underWay := p.orderAgain(now)
	wanted := 0
	for _, c := range p.classes {
		if !c.backlogged() {
			continue
		}
		wanted += c.urgent(now, 0, pausesAtOnce)
		for underWay < wanted && p.pauseOne(now, c.rule.Tier) {
			underWay++
		}
	}
}

// pauseOne pauses the newest lease of the lowest tier below tier.
func (p *Pool) pauseOne(now Time, tier int) bool {
	for i := len(p.classes) - 1; i >= 0 && p.classes[i].rule.Tier > tier; i-- {
		c := p.classes[i]
		if c.running-c.pausing <= p.protected(c) {
			continue
		}
		for j := len(c.leases) - 1; j >= 0; j-- {
			if l := c.leases[j]; !l.gone && !l.pausing && l.backend.CanPause {
				l.pausing, l.pausedAt = true, now
				c.pausing++
				p.pausing = append(p.pausing, l)
				p.orderPause(now, l)
				return true
			}
		}
	}
	return false
}

// orderAgain repeats the orders to pause that may have been lost, and counts
// those that can be expected to take effect. A holder that does not answer must
// not stand in the way of others.
func (p *Pool) orderAgain(now Time) int {
	p.dropOrders()
	underWay := 0
	for _, l := range p.pausing {
		if now-l.pausedAt < 2*pauseRepeat {
			underWay++
		}
		if now-l.ordered >= pauseRepeat {
			p.orderPause(now, l)
		}
	}
	return underWay
}

// dropOrders forgets the orders to pause whose reason is gone: nothing of a higher
// tier waits any more. The holder may have paused already, which does no harm.
func (p *Pool) dropOrders() {
	highest := math.MaxInt
	for _, c := range p.classes {
		if c.backlogged() {
			highest = min(highest, c.rule.Tier)
		}
	}
	p.pausing = slices.DeleteFunc(p.pausing, func(l *lease) bool {
		if l.class.rule.Tier > highest {
			return false
		}
		l.pausing = false
		l.class.pausing--
		return true
	})
}

func (p *Pool) orderPause(now Time, l *lease) {
	l.ordered = now
	p.verdicts = append(p.verdicts, Verdict{Kind: PauseLease, ID: l.id, Box: l.box,
		Class: l.class.rule.Class, Tier: l.class.rule.Tier, Upstream: l.backend.Name})
}

// recent counts the leases of lower tiers that were granted so lately, by a floor
// as a rule, that they could not have given way yet.
func (p *Pool) recent(now Time, tier int) int {
	n := 0
	for _, c := range p.classes {
		if c.rule.Tier <= tier {
			continue
		}
		for i := len(c.leases) - 1; i >= 0 && now-c.leases[i].granted < giveWayTime; i-- {
			if l := c.leases[i]; !l.gone && !l.pausing {
				n++
			}
		}
	}
	return n
}
