package decide

// This file defines who gets the next free slot: tiers first, but for what floors
// are owed, then urgency within bounded shares.

import (
	"time"
)

// Decide settles all that can be settled now. The verdicts are valid until the
// next call of any method.
func (p *Pool) Decide(now Time) []Verdict {
	p.freshen(now)
	p.expire(now)
	for len(p.waiting) > 0 {
		w := p.next(now)
		if w == nil {
			break
		}
		b := p.choose(now, &w.bid)
		if b == nil {
			p.pauseFor(now)
			break
		}
		p.grant(now, w, b)
	}
	out := p.verdicts
	p.verdicts = p.verdicts[:0]
	return out
}

// next returns the request that is to have the next free slot, or nil: one that
// a floor owes its slot, or else the first of the highest tier.
func (p *Pool) next(now Time) *waiter {
	if w := p.owed(); w != nil {
		return w
	}
	for i := 0; i < len(p.classes); {
		j := i
		for j < len(p.classes) && p.classes[j].rule.Tier == p.classes[i].rule.Tier {
			j++
		}
		if w := mostUrgent(now, p.classes[i:j]); w != nil {
			return w
		}
		i = j
	}
	return nil
}

// owed returns the head of the class whose floor is furthest behind, or nil.
func (p *Pool) owed() *waiter {
	var best *waiter
	most := 0.0
	for _, c := range p.classes {
		if c.credit <= most || !c.backlogged() {
			continue
		}
		if w := c.head(); w != nil && c.credit >= w.bid.Work {
			best, most = w, c.credit
		}
	}
	return best
}

// mostUrgent picks among the classes of one tier: of those not too far ahead of
// their share, the one whose head has the least slack. Heads that have missed
// their target come after those that can still meet it. A visitor comes after
// the domain's own.
func mostUrgent(now Time, classes []*classQueue) *waiter {
	least := leastOf(classes)
	var best *waiter
	for _, c := range classes {
		if !c.backlogged() || c.vtime > least+leadTokens {
			continue
		}
		w := c.head()
		if w != nil && (best == nil || before(now, w, best)) {
			best = w
		}
	}
	return best
}

func before(now Time, a, b *waiter) bool {
	if a.bid.FromOtherDomain != b.bid.FromOtherDomain {
		return b.bid.FromOtherDomain
	}
	lateA, lateB := now >= a.target, now >= b.target
	if lateA != lateB {
		return lateB
	}
	return a.target < b.target
}

// leastOf is the least virtual time of the classes that have something to run.
func leastOf(classes []*classQueue) float64 {
	least, found := 0.0, false
	for _, c := range classes {
		if c.backlogged() && (!found || c.vtime < least) {
			least, found = c.vtime, true
		}
	}
	return least
}

// leastVtime is the least virtual time of the other classes of its tier that
// wait; a class that comes back after a while starts from there.
func (p *Pool) leastVtime(class *classQueue) float64 {
	least, found := class.vtime, false
	for _, c := range p.classes {
		if c != class && c.rule.Tier == class.rule.Tier && c.waiting > 0 && (!found || c.vtime < least) {
			least, found = c.vtime, true
		}
	}
	return least
}

// grant gives a slot of b to w.
func (p *Pool) grant(now Time, w *waiter, b *backend) {
	p.accrue(w)
	w.class.granted(w)
	p.drop(w)
	l := p.newLease()
	*l = lease{id: w.bid.ID, box: w.bid.Box, class: w.class, customer: w.bid.Customer,
		backend: b, work: w.bid.Work, granted: now, queued: now - w.offered, attempt: w.bid.Attempt}
	p.hold(now, l)
	p.cache(b, w.bid.Prefix)
	if l.keep = p.keep(w.class); l.keep > 0 {
		p.keptUntil = now + RetainedSlotLifetime
	}
	p.emitGrant(l)
}

// accrue credits the floors of the classes that wait with their share of the
// work granted, and debits the class that got it. So a class with floor f whose
// next request is w tokens long gets it at the latest when w/f tokens have been
// granted in the pool.
func (p *Pool) accrue(w *waiter) {
	for _, c := range p.classes {
		if c.waiting == 0 {
			c.credit = 0
			continue
		}
		c.credit += c.rule.Floor * w.bid.Work
	}
	w.class.credit = max(0, w.class.credit-w.bid.Work)
}

func (p *Pool) emitGrant(l *lease) {
	p.verdicts = append(p.verdicts, Verdict{Kind: GrantSlot, ID: l.id, Box: l.box,
		Class: l.class.rule.Class, Tier: l.class.rule.Tier, Upstream: l.backend.Name, Queued: l.queued, RetainFor: l.keep, Attempt: l.attempt})
}

// TakeSurplus takes out the requests that are next, have waited for at least
// patience, and for whose tier there is room elsewhere, so that they can bid in
// another failure domain.
func (p *Pool) TakeSurplus(now Time, patience time.Duration, room func(tier int) bool) []Bid {
	var out []Bid
	for {
		w := p.next(now)
		if w == nil || w.bid.FromOtherDomain || w.bid.Resume != "" || now-w.offered < patience || !room(w.class.rule.Tier) {
			break
		}
		out = append(out, w.bid)
		w.class.forget(w)
		p.drop(w)
	}
	return out
}
