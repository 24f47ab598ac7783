package cell

// This file defines how a holder renews its leases and bids: it sends a summary
// to each owner, and the full list if the owner asks for it. Invariant: each
// slot that the box holds and each bid that it has waiting is in exactly one
// summary.

import (
	"maps"
	"slices"

	"github.com/doormast/doormast/decide"
)

// holdingKey identifies the leases of one set at one owner.
type holdingKey struct{ owner, set string }

// emptySummaries is the number of times an empty summary is sent after the last slot
// was returned.
const emptySummaries = 3

// tickHolding sends each owner the summary that renews the leases there.
func (n *Node) tickHolding() {
	if n.now < n.nextHolding {
		return
	}
	n.nextHolding = n.now + n.timing.WaitingRenewInterval
	all := n.now >= n.nextRenew
	if all {
		n.nextRenew = n.now + n.timing.RenewInterval
	}
	summaries := make(map[holdingKey]*Holding)
	for _, l := range n.requests {
		n.addToSummary(summaries, l)
	}
	n.addKeptToSummaries(summaries)
	if !all {
		// In between, only owners with a waiting bid of this box get a summary:
		// this finds a lost bid soon, and leases live long enough without
		// it.
		maps.DeleteFunc(summaries, func(_ holdingKey, h *Holding) bool { return h.WaitingCount == 0 })
	}
	for key := range n.emptySummariesLeft {
		if all && summaries[key] == nil {
			summaries[key] = &Holding{Set: key.set}
			if n.emptySummariesLeft[key]--; n.emptySummariesLeft[key] <= 0 {
				delete(n.emptySummariesLeft, key)
			}
		}
	}
	keys := make([]holdingKey, 0, len(summaries))
	for key := range summaries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b holdingKey) int {
		if a.owner+a.set < b.owner+b.set {
			return -1
		}
		return 1
	})
	for _, key := range keys {
		n.sendSummary(key, summaries[key])
	}
}

func (n *Node) sendSummary(key holdingKey, h *Holding) {
	if h.Count > 0 || h.WaitingCount > 0 {
		n.emptySummariesLeft[key] = emptySummaries
	}
	if key.owner == n.cfg.Box {
		if p := n.pools[key.set]; p != nil {
			p.Renew(n.now, key.owner, decide.LeaseSummary{Count: h.Count, Digest: h.Digest, WaitingCount: h.WaitingCount, WaitingDigest: h.WaitingDigest})
		}
		return
	}
	n.send(key.owner, h)
}

func (n *Node) addToSummary(summaries map[holdingKey]*Holding, l *localRequest) {
	if l.owner == "" {
		return
	}
	key := holdingKey{l.owner, l.set}
	h := summaries[key]
	if h == nil {
		h = &Holding{Set: l.set}
		summaries[key] = h
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
		n.addToSummary(map[holdingKey]*Holding{{owner, set}: h}, l)
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
