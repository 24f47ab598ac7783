package decide

// This file defines when a running answer is paused for a higher tier. The
// invariants: an answer is paused only for a higher tier, never below the floor of
// its class, and never if its class is not repeatable; a pause order is canceled
// when its reason no longer holds.

import (
	"math"
	"slices"
)

// pausable returns how many running leases of lower tiers than tier could be paused
// without going below their floors.
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

// protected returns how many running leases of a class must not be paused: those
// that its floor guarantees, or all if the class is not repeatable.
func (p *Pool) protected(c *classQueue) int {
	if !c.rule.Repeatable {
		return c.running
	}
	return max(1, int(c.rule.Floor*float64(p.slots)))
}

// pauseForWaiting pauses running requests of lower tiers for waiting requests that
// would otherwise miss their targets.
func (p *Pool) pauseForWaiting(now Time) {
	if p.cfg.NoPause {
		return
	}
	inProgress := p.repeatPauses(now)
	wanted := 0
	for _, c := range p.classes {
		if !c.backlogged() {
			continue
		}
		wanted += c.urgent(now, 0, maxPausesPerClass)
		for inProgress < wanted && p.pauseOne(now, c.rule.Tier) {
			inProgress++
		}
	}
}

// pauseOne pauses the newest pausable lease of the lowest tier below tier, and
// reports whether there was one.
func (p *Pool) pauseOne(now Time, tier int) bool {
	for i := len(p.classes) - 1; i >= 0 && p.classes[i].rule.Tier > tier; i-- {
		c := p.classes[i]
		if c.running-c.pausing <= p.protected(c) {
			continue
		}
		for j := len(c.leases) - 1; j >= 0; j-- {
			if l := c.leases[j]; !l.ended && !l.pausing && l.backend.CanPause {
				l.pausing, l.pausedAt = true, now
				c.pausing++
				p.pausing = append(p.pausing, l)
				p.emitPause(now, l)
				return true
			}
		}
	}
	return false
}

// repeatPauses sends pause orders again that may have been lost, and returns how many
// are recent enough to be expected to take effect. Older ones do not count, so that
// a holder that does not answer cannot block pauses by others.
func (p *Pool) repeatPauses(now Time) int {
	p.cancelPauses()
	inProgress := 0
	for _, l := range p.pausing {
		if now-l.pausedAt < 2*pauseRepeatInterval {
			inProgress++
		}
		if now-l.lastOrdered >= pauseRepeatInterval {
			p.emitPause(now, l)
		}
	}
	return inProgress
}

// cancelPauses drops the pause orders for which no request of a higher tier waits any
// more. A holder may have paused the answer already, which is harmless.
func (p *Pool) cancelPauses() {
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

// emitPause queues the verdict that tells the holder to pause.
func (p *Pool) emitPause(now Time, l *lease) {
	l.lastOrdered = now
	p.verdicts = append(p.verdicts, Verdict{Kind: PauseLease, ID: l.id, Box: l.box,
		Class: l.class.rule.Class, Tier: l.class.rule.Tier, Upstream: l.backend.Name})
}

// recentlyGranted returns how many leases of lower tiers are too recent to have been
// paused in time. Usually they were granted because of a floor.
func (p *Pool) recentlyGranted(now Time, tier int) int {
	n := 0
	for _, c := range p.classes {
		if c.rule.Tier <= tier {
			continue
		}
		for i := len(c.leases) - 1; i >= 0 && now-c.leases[i].granted < preemptTime; i-- {
			if l := c.leases[i]; !l.ended && !l.pausing {
				n++
			}
		}
	}
	return n
}
