package decide

// This file defines how leases and bids are renewed. A holder sends a summary of its
// leases and bids, and the full list if the summary differs from the pool's. The
// invariant: a holder's list is correct except for messages in transit.

import (
	"cmp"
	"slices"
	"time"
)

// ledger summarizes the leases and bids of one box, for comparison with the box's own
// summary.
type ledger struct {
	count         int
	digest        uint64
	waiting       int
	waitingDigest uint64
	mismatches    int  // consecutive summaries that differed
	lastRenewed   Time // when the box last confirmed its leases
}

// StartLearning starts the learning period when this box becomes the owner of the
// pool. Until all of the given boxes have listed their leases or PoolConfig.StartLearning has
// passed, the pool grants only slots that the upstreams' own reports show as free.
func (p *Pool) StartLearning(now Time, boxes []string) {
	p.learnUntil = now + p.cfg.LearnPeriod
	clear(p.pendingBoxes)
	for _, b := range boxes {
		p.pendingBoxes[b] = true
	}
}

// learning reports whether the learning period of a new owner is in progress.
func (p *Pool) learning(now Time) bool {
	return len(p.pendingBoxes) > 0 && now < p.learnUntil
}

// ledger returns the ledger of a box and creates it if necessary.
func (p *Pool) ledger(box string) *ledger {
	g := p.ledgers[box]
	if g == nil {
		g = new(ledger)
		p.ledgers[box] = g
	}
	return g
}

// Expire ends the leases and removes the bids of boxes that have not renewed them for
// life. It returns those boxes, sorted by name.
func (p *Pool) Expire(now Time, life time.Duration) []string {
	var expired []string
	for box, g := range p.ledgers {
		if now-g.lastRenewed > life && !p.pendingBoxes[box] {
			expired = append(expired, box)
		}
	}
	slices.Sort(expired)
	for _, box := range expired {
		p.RemoveBox(box)
	}
	return expired
}

func (g *ledger) add(id uint64) {
	g.count++
	g.digest ^= id
}

func (g *ledger) remove(id uint64) {
	g.count--
	g.digest ^= id
}

// HeldLease is a lease as listed by its holder.
type HeldLease struct {
	ID       uint64
	Upstream string
	Class    string
	Customer string
	Work     float64
	Attempt  uint32
}

// LeaseSummary summarizes a holder's leases and bids in a pool.
type LeaseSummary struct {
	Count         int
	Digest        uint64 // exclusive or of the lease IDs
	WaitingCount  int
	WaitingDigest uint64 // exclusive or of the bid IDs
}

// Renew renews a holder's leases and reports whether the holder should send the full
// list. A single difference from the pool's summary may be due to a message in transit,
// so the list is requested only after two consecutive ones, or while this pool is
// still learning the box's leases.
func (p *Pool) Renew(now Time, box string, sum LeaseSummary) bool {
	g := p.ledger(box)
	g.lastRenewed = now
	if p.pendingBoxes[box] {
		return true
	}
	if (LeaseSummary{g.count, g.digest, g.waiting, g.waitingDigest}) == sum {
		g.mismatches = 0
		return false
	}
	g.mismatches++
	return g.mismatches >= 2
}

// Adopt updates the leases and bids of a box to match the holder's full list. Recent
// ones that are missing in the list are kept for adoptGrace.
func (p *Pool) Adopt(now Time, box string, list []HeldLease, waiting []uint64) {
	listed := make(map[uint64]bool, len(list))
	for _, h := range list {
		listed[h.ID] = true
		p.adoptOne(now, box, h)
	}
	for _, l := range p.sortedLeases(box) {
		if !listed[l.id] && now-l.granted > adoptGrace {
			p.endLease(l)
		}
	}
	wanted := make(map[uint64]bool, len(waiting))
	for _, id := range waiting {
		wanted[id] = true
	}
	for _, w := range p.sortedWaiters(box) {
		if !wanted[w.bid.ID] && now-w.offered > adoptGrace {
			w.class.removeWaiter(w)
			p.removeWaiter(w)
		}
	}
	g := p.ledger(box)
	g.mismatches, g.lastRenewed = 0, now
	delete(p.pendingBoxes, box)
}

// adoptOne records a listed lease that the pool does not know.
func (p *Pool) adoptOne(now Time, box string, h HeldLease) {
	class, b := p.byClass[h.Class], p.byName[h.Upstream]
	if l := p.leases[h.ID]; l != nil && h.Attempt > l.attempt {
		p.endLease(l)
	}
	if p.leases[h.ID] != nil || class == nil || b == nil {
		return
	}
	if w := p.waiting[h.ID]; w != nil {
		if w.bid.Attempt > h.Attempt {
			return // the list is older than the bid
		}
		class.removeWaiter(w)
		p.removeWaiter(w)
	}
	l := &lease{id: h.ID, box: box, class: class, customer: h.Customer, backend: b, work: h.Work, granted: now, attempt: h.Attempt}
	class.running++
	p.lastAdopted = now
	p.addLease(now, l)
}

// RemoveBox ends the leases and removes the bids of a box that has died. Its connections
// to the upstreams are closed.
func (p *Pool) RemoveBox(box string) {
	for _, l := range p.sortedLeases(box) {
		p.endLease(l)
	}
	for _, w := range p.sortedWaiters(box) {
		w.class.removeWaiter(w)
		p.removeWaiter(w)
	}
	delete(p.ledgers, box)
	delete(p.pendingBoxes, box)
}

// sortedLeases returns the leases of a box, sorted by ID. A fixed order makes the sums
// of work reproducible.
func (p *Pool) sortedLeases(box string) []*lease {
	var out []*lease
	for _, l := range p.leases {
		if l.box == box {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *lease) int { return cmp.Compare(a.id, b.id) })
	return out
}

// sortedWaiters returns the waiters of a box, or of all boxes if box is empty, sorted by
// ID.
func (p *Pool) sortedWaiters(box string) []*waiter {
	var out []*waiter
	for _, w := range p.waiting {
		if box == "" || w.bid.Box == box {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *waiter) int { return cmp.Compare(a.bid.ID, b.bid.ID) })
	return out
}
