package cell

// This file defines how a holder renews its leases and bids: it sends a sum
// to each owner, and the full list if the owner asks for it. Invariant: each
// slot that the box holds and each bid that it has waiting is in exactly one
// sum.

import (
	"maps"
	"slices"

	"github.com/doormast/doormast/decide"
)

// holdingKey identifies the leases of one set at one owner.
type holdingKey struct{ owner, set string }

// emptySums is the number of times an empty sum is sent after the last slot
// was returned.
const emptySums = 3

// tickHolding sends each owner the sum that renews the leases there.
func (n *Node) tickHolding() {
	if n.now < n.nextHolding {
		return
	}
	n.nextHolding = n.now + n.timing.Holding
	all := n.now >= n.nextRenew
	if all {
		n.nextRenew = n.now + n.timing.Renew
	}
	sums := make(map[holdingKey]*Holding)
	for _, l := range n.requests {
		n.addToSum(sums, l)
	}
	n.addKeptToSums(sums)
	if !all {
		// In between, only owners with a waiting bid of this box get a sum:
		// this finds a lost bid soon, and leases live long enough without
		// it.
		maps.DeleteFunc(sums, func(_ holdingKey, h *Holding) bool { return h.WaitingCount == 0 })
	}
	for key := range n.emptySumsLeft {
		if all && sums[key] == nil {
			sums[key] = &Holding{Set: key.set}
			if n.emptySumsLeft[key]--; n.emptySumsLeft[key] <= 0 {
				delete(n.emptySumsLeft, key)
			}
		}
	}
	keys := make([]holdingKey, 0, len(sums))
	for key := range sums {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b holdingKey) int {
		if a.owner+a.set < b.owner+b.set {
			return -1
		}
		return 1
	})
	for _, key := range keys {
		n.sendSum(key, sums[key])
	}
}

func (n *Node) sendSum(key holdingKey, h *Holding) {
	if h.Count > 0 || h.WaitingCount > 0 {
		n.emptySumsLeft[key] = emptySums
	}
	if key.owner == n.cfg.Box {
		if p := n.pools[key.set]; p != nil {
			p.Renew(n.now, key.owner, decide.LeaseSummary{Count: h.Count, Digest: h.Digest, WaitingCount: h.WaitingCount, WaitingDigest: h.WaitingDigest})
		}
		return
	}
	n.send(key.owner, h)
}

func (n *Node) addToSum(sums map[holdingKey]*Holding, l *localRequest) {
	if l.owner == "" {
		return
	}
	key := holdingKey{l.owner, l.set}
	h := sums[key]
	if h == nil {
		h = &Holding{Set: l.set}
		sums[key] = h
	}
	switch {
	case l.state == stateWaiting:
		h.WaitingCount++
		h.WaitingDigest ^= l.req.ID
	case l.upstream != "":
		h.Count++
		h.Digest ^= l.slot
	}
}

// heldIn returns the slots of a set that this box holds at an owner.
func (n *Node) heldIn(set, owner string) []decide.HeldLease {
	var out []decide.HeldLease
	for _, l := range n.sortedRequests(func(l *localRequest) bool { return l.set == set && l.upstream != "" && !l.inOtherDomain }) {
		if l.owner == owner || owner == n.cfg.Box {
			out = append(out, l.held())
		}
	}
	return append(out, n.heldKeptSlots(set)...)
}

// held describes the request's lease to an owner.
func (l *localRequest) held() decide.HeldLease {
	return decide.HeldLease{ID: l.slot, Upstream: l.upstream, Class: l.req.Class, Customer: l.req.Customer, Work: l.work, Attempt: l.slotAttempt}
}

func (n *Node) onHoldingAsk(from string, m *HoldingAsk) {
	n.sendFullHolding(m.Set, from)
	for _, l := range n.sortedRequests(func(l *localRequest) bool {
		return l.set == m.Set && l.owner == from && l.state == stateWaiting
	}) {
		n.sendBid(l)
	}
}

// sendFullHolding sends an owner the list of all slots that this box holds
// and bids that it has waiting in a set.
func (n *Node) sendFullHolding(set, owner string) {
	h := &Holding{Set: set, Full: true}
	for _, l := range n.sortedRequests(func(l *localRequest) bool { return l.set == set && l.owner == owner }) {
		n.addToSum(map[holdingKey]*Holding{{owner, set}: h}, l)
		switch {
		case l.state == stateWaiting:
			h.Waiting = append(h.Waiting, l.req.ID)
		case l.upstream != "":
			h.Held = append(h.Held, l.held())
		}
	}
	if owner == n.owners[set] {
		h.Held = append(h.Held, n.heldKeptSlots(set)...)
	}
	n.send(owner, h)
}
