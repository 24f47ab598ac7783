package decide

// This file defines how leases and bids are renewed: a holder sums up what it has,
// and lists it where the sums differ. The invariant: what a holder lists is true,
// but for what is on its way.

import (
	"cmp"
	"slices"
	"time"
)

// ledger sums up the leases of one box, for comparison with its own count.
type ledger struct {
	count         int
	digest        uint64
	waiting       int
	waitingDigest uint64
	mismatch      int
	heard         Time // when the box last gave a sign of its leases
}

// Learn makes the pool grant only what the upstreams' own reports show free,
// until each of the boxes has said what it holds or the time for it is over. It
// is called when the ownership of the pool comes to this box.
func (p *Pool) Learn(now Time, boxes []string) {
	p.learnEnd = now + p.cfg.Learn
	clear(p.unheard)
	for _, b := range boxes {
		p.unheard[b] = true
	}
}

func (p *Pool) learning(now Time) bool {
	return len(p.unheard) > 0 && now < p.learnEnd
}

func (p *Pool) ledger(box string) *ledger {
	g := p.ledgers[box]
	if g == nil {
		g = new(ledger)
		p.ledgers[box] = g
	}
	return g
}

// Expire ends the leases and drops the bids of boxes that have not renewed them
// for life, and returns those boxes.
func (p *Pool) Expire(now Time, life time.Duration) []string {
	var gone []string
	for box, g := range p.ledgers {
		if now-g.heard > life && !p.unheard[box] {
			gone = append(gone, box)
		}
	}
	slices.Sort(gone)
	for _, box := range gone {
		p.RemoveBox(box)
	}
	return gone
}

func (g *ledger) add(id uint64) {
	g.count++
	g.digest ^= id
}

func (g *ledger) remove(id uint64) {
	g.count--
	g.digest ^= id
}

// HeldLease is a lease as its holder lists it.
type HeldLease struct {
	ID       uint64
	Upstream string
	Class    string
	Customer string
	Work     float64
	Attempt  uint32
}

// LeaseSummary is a holder's own account of its leases and bids in a pool.
type LeaseSummary struct {
	Count         int
	Digest        uint64 // exclusive-or of the ids
	WaitingCount  int
	WaitingDigest uint64
}

// Renew renews a holder's leases and reports whether it should send the full
// list, because its account differs from the pool's. One difference may be a
// message on its way; two are not.
func (p *Pool) Renew(now Time, box string, sum LeaseSummary) bool {
	g := p.ledger(box)
	g.heard = now
	if p.unheard[box] {
		return true
	}
	if (LeaseSummary{g.count, g.digest, g.waiting, g.waitingDigest}) == sum {
		g.mismatch = 0
		return false
	}
	g.mismatch++
	return g.mismatch >= 2
}

// Adopt takes a holder's full list as the truth about its leases.
func (p *Pool) Adopt(now Time, box string, list []HeldLease, waiting []uint64) {
	listed := make(map[uint64]bool, len(list))
	for _, h := range list {
		listed[h.ID] = true
		p.adoptOne(now, box, h)
	}
	for _, l := range p.sortedLeases(box) {
		if !listed[l.id] && now-l.granted > settleTime {
			p.end(l)
		}
	}
	wanted := make(map[uint64]bool, len(waiting))
	for _, id := range waiting {
		wanted[id] = true
	}
	for _, w := range p.sortedWaiting(box) {
		if !wanted[w.bid.ID] && now-w.offered > settleTime {
			w.class.forget(w)
			p.drop(w)
		}
	}
	g := p.ledger(box)
	g.mismatch, g.heard = 0, now
	delete(p.unheard, box)
}

func (p *Pool) adoptOne(now Time, box string, h HeldLease) {
	class, b := p.byClass[h.Class], p.byName[h.Upstream]
	if l := p.leases[h.ID]; l != nil && h.Attempt > l.attempt {
		p.end(l)
	}
	if p.leases[h.ID] != nil || class == nil || b == nil {
		return
	}
	if w := p.waiting[h.ID]; w != nil {
		if w.bid.Attempt > h.Attempt {
			return // the list is older than the bid
		}
		class.forget(w)
		p.drop(w)
	}
	l := &lease{id: h.ID, box: box, class: class, customer: h.Customer, backend: b, work: h.Work, granted: now, attempt: h.Attempt}
	class.running++
	p.learnt = now
	p.hold(now, l)
}

// RemoveBox drops what a dead box held and waited for. Its connections to the
// upstreams died with it.
func (p *Pool) RemoveBox(box string) {
	for _, l := range p.sortedLeases(box) {
		p.end(l)
	}
	for _, w := range p.sortedWaiting(box) {
		w.class.forget(w)
		p.drop(w)
	}
	delete(p.ledgers, box)
	delete(p.unheard, box)
}

// sortedLeases lists the leases of a box by their ids: sums of work come out the
// same in every run only if they are added in one order.
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

// sortedWaiting lists what waits of a box, or of all if box is empty, by id.
func (p *Pool) sortedWaiting(box string) []*waiter {
	var out []*waiter
	for _, w := range p.waiting {
		if box == "" || w.bid.Box == box {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *waiter) int { return cmp.Compare(a.bid.ID, b.bid.ID) })
	return out
}
