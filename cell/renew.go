package cell

// This file defines the holder's renewal of its leases and bids: a sum for each
// owner, and the full list where the owner asks. The invariant: all that the box
// holds or waits for is in exactly one sum.

import (
	"maps"
	"slices"

	"github.com/doormast/doormast/decide"
)

// holdingKey names the leases of one set at one owner.
type holdingKey struct{ owner, set string }

// emptySums is how often it is still said that nothing is held.
const emptySums = 3

// tickHolding renews the leases at each owner by their sum.
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
	for _, l := range n.locals {
		n.addToSum(sums, l)
	}
	n.addKept(sums)
	if !all {
		// In between only owners that have a bid of this box are told: a bid that
		// was lost is found soon, and leases live long enough.
		maps.DeleteFunc(sums, func(_ holdingKey, h *Holding) bool { return h.WaitingCount == 0 })
	}
	for key := range n.empties {
		if all && sums[key] == nil {
			sums[key] = &Holding{Set: key.set}
			if n.empties[key]--; n.empties[key] <= 0 {
				delete(n.empties, key)
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
		n.empties[key] = emptySums
	}
	if key.owner == n.cfg.Box {
		if p := n.pools[key.set]; p != nil {
			p.Renew(n.now, key.owner, decide.LeaseSummary{Count: h.Count, Digest: h.Digest, WaitingCount: h.WaitingCount, WaitingDigest: h.WaitingDigest})
		}
		return
	}
	n.send(key.owner, h)
}

func (n *Node) addToSum(sums map[holdingKey]*Holding, l *local) {
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

// heldIn lists the slots that this box holds in a set at an owner.
func (n *Node) heldIn(set, owner string) []decide.HeldLease {
	var out []decide.HeldLease
	for _, l := range n.sorted(func(l *local) bool { return l.set == set && l.upstream != "" && !l.visiting }) {
		if l.owner == owner || owner == n.cfg.Box {
			out = append(out, l.held())
		}
	}
	return append(out, n.keptIn(set)...)
}

// held describes the request's lease to an owner.
func (l *local) held() decide.HeldLease {
	return decide.HeldLease{ID: l.slot, Upstream: l.upstream, Class: l.req.Class, Customer: l.req.Customer, Work: l.work, Attempt: l.slotAttempt}
}

func (n *Node) onHoldingAsk(from string, m *HoldingAsk) {
	n.sendFull(m.Set, from)
	for _, l := range n.sorted(func(l *local) bool {
		return l.set == m.Set && l.owner == from && l.state == stateWaiting
	}) {
		n.sendBid(l)
	}
}

// sendFull lists to an owner all that this box holds and waits for in a set.
func (n *Node) sendFull(set, owner string) {
	h := &Holding{Set: set, Full: true}
	for _, l := range n.sorted(func(l *local) bool { return l.set == set && l.owner == owner }) {
		n.addToSum(map[holdingKey]*Holding{{owner, set}: h}, l)
		switch {
		case l.state == stateWaiting:
			h.Waiting = append(h.Waiting, l.req.ID)
		case l.upstream != "":
			h.Held = append(h.Held, l.held())
		}
	}
	if owner == n.owners[set] {
		h.Held = append(h.Held, n.keptIn(set)...)
	}
	n.send(owner, h)
}
