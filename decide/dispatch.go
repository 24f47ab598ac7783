package decide

// This file defines which request gets the next free slot. Overdue floor shares are
// served first, then the highest tier. Within a tier the most urgent request goes
// first, among the classes that are not too far ahead of their shares.

import (
	"time"
)

// Decide makes all decisions that are possible now. The returned slice is valid
// until the next call of any method.
func (p *Pool) Decide(now Time) []Verdict {
	p.refreshIfStale(now)
	p.expire(now)
	for len(p.waiting) > 0 {
		w := p.next(now)
		if w == nil {
			break
		}
		b := p.chooseBackend(now, &w.bid)
		if b == nil {
			p.pauseForWaiting(now)
			break
		}
		p.grant(now, w, b)
	}
	out := p.verdicts
	p.verdicts = p.verdicts[:0]
	return out
}

// next returns the request that gets the next free slot, or nil: one whose class
// is owed the slot by its floor, or else the most urgent one of the highest tier
// that has a request to run.
func (p *Pool) next(now Time) *waiter {
	if w := p.nextByFloor(); w != nil {
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

// nextByFloor returns the first request of the class with the largest floor credit
// that covers the request's work, or nil.
func (p *Pool) nextByFloor() *waiter {
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

// mostUrgent returns the request with the earliest target among the first requests
// of the classes of one tier, or nil. Classes too far ahead of their shares are
// skipped. Requests that have missed their target rank after those that can still
// meet it, and requests from other failure domains rank after local ones.
func mostUrgent(now Time, classes []*classQueue) *waiter {
	least := minVirtualTime(classes)
	var best *waiter
	for _, c := range classes {
		if !c.backlogged() || c.virtualTime > least+maxLeadTokens {
			continue
		}
		w := c.head()
		if w != nil && (best == nil || moreUrgent(now, w, best)) {
			best = w
		}
	}
	return best
}

// moreUrgent reports whether a ranks before b.
func moreUrgent(now Time, a, b *waiter) bool {
	if a.bid.FromOtherDomain != b.bid.FromOtherDomain {
		return b.bid.FromOtherDomain
	}
	lateA, lateB := now >= a.target, now >= b.target
	if lateA != lateB {
		return lateB
	}
	return a.target < b.target
}

// minVirtualTime returns the least virtual time among the backlogged classes, or 0
// if there are none.
func minVirtualTime(classes []*classQueue) float64 {
	least, found := 0.0, false
	for _, c := range classes {
		if c.backlogged() && (!found || c.virtualTime < least) {
			least, found = c.virtualTime, true
		}
	}
	return least
}

// minVirtualTimeOfPeers returns the least virtual time of the other classes of the
// same tier that have waiting requests. A class that was idle resumes from there,
// so that it gains no advantage from having been idle.
func (p *Pool) minVirtualTimeOfPeers(class *classQueue) float64 {
	least, found := class.virtualTime, false
	for _, c := range p.classes {
		if c != class && c.rule.Tier == class.rule.Tier && c.waiting > 0 && (!found || c.virtualTime < least) {
			least, found = c.virtualTime, true
		}
	}
	return least
}

// grant removes w from the queue and leases a slot of b to it.
func (p *Pool) grant(now Time, w *waiter, b *backend) {
	p.accrue(w)
	w.class.chargeGrant(w)
	p.removeWaiter(w)
	l := p.newLease()
	*l = lease{id: w.bid.ID, box: w.bid.Box, class: w.class, customer: w.bid.Customer,
		backend: b, work: w.bid.Work, granted: now, queued: now - w.offered, attempt: w.bid.Attempt}
	p.addLease(now, l)
	p.addPrefix(b, w.bid.Prefix)
	if l.retainFor = p.retention(w.class); l.retainFor > 0 {
		p.retainedUntil = now + RetainedSlotLifetime
	}
	p.emitGrant(l)
}

// accrue credits each class that has waiting requests with its floor's share of
// the work granted to w, and debits the class of w. A class with floor f whose
// next request needs w tokens gets a slot at the latest when w/f tokens have been
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

// emitGrant queues the verdict that tells the holder about its lease.
func (p *Pool) emitGrant(l *lease) {
	p.verdicts = append(p.verdicts, Verdict{Kind: GrantSlot, ID: l.id, Box: l.box,
		Class: l.class.rule.Class, Tier: l.class.rule.Tier, Upstream: l.backend.Name, Queued: l.queued, RetainFor: l.retainFor, Attempt: l.attempt})
}

// TakeSurplus removes and returns the bids at the front of the order that have
// waited for at least patience and for whose tier room reports capacity in another
// failure domain. The caller sends them to the pool there.
func (p *Pool) TakeSurplus(now Time, patience time.Duration, room func(tier int) bool) []Bid {
	var out []Bid
	for {
		w := p.next(now)
		if w == nil || w.bid.FromOtherDomain || w.bid.Resume != "" || now-w.offered < patience || !room(w.class.rule.Tier) {
			break
		}
		out = append(out, w.bid)
		w.class.removeWaiter(w)
		p.removeWaiter(w)
	}
	return out
}
