package cell

// This file defines what a box does while the owner of a set is silent but
// not yet considered dead: it uses its own share of the slots. Invariant:
// the shares of all boxes add up to the slots.

import (
	"slices"
)

// tickFallback runs requests in this box's own share of the slots while the
// owner is silent but not yet considered dead. The shares of all boxes add
// up to the slots, so the overshoot is bounded by what the other boxes
// already hold.
func (n *Node) tickFallback() {
	for _, set := range n.sets() {
		owner := n.owners[set]
		p := n.members.peers[owner]
		if p == nil || n.now-p.lastHeard < n.timing.OwnerSilent {
			continue
		}
		n.fallbackInSet(set)
	}
}

func (n *Node) fallbackInSet(set string) {
	// In a large domain, signs of life of the owner take a while to arrive.
	// Only a request that has waited for as long as the owner must be silent
	// counts as unanswered.
	waiting := n.sortedRequests(func(l *localRequest) bool {
		return l.set == set && l.state == stateWaiting && !l.inOtherDomain && n.now-l.firstBid >= n.timing.OwnerSilent
	})
	if len(waiting) == 0 {
		return
	}
	held := make(map[string]int)
	for _, h := range n.heldIn(set, n.owners[set]) {
		held[h.Upstream]++
	}
	slices.SortStableFunc(waiting, func(a, b *localRequest) int { return a.rule.Tier - b.rule.Tier })
	for _, b := range n.backends(set) {
		share := n.fixedPart(b.Name, b.Slots)
		for !b.Leaving && !n.isOwnShareBlocked(b.Name) && held[b.Name] < share && len(waiting) > 0 {
			l := waiting[0]
			waiting = waiting[1:]
			held[b.Name]++
			l.fallback, l.slot, l.slotAttempt = true, l.req.ID, l.attempt
			n.lease(l, b.Name, n.now+n.timing.StartBy)
		}
	}
}
