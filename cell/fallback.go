package cell

// This file defines what a box does while the owner of a set is silent but not yet
// given up: it uses its own part of the slots. The invariant: the parts of all
// boxes add up to the slots.

import (
	"slices"
)

// tickFallback lets requests run in this box's own share of the slots while the
// owner is silent but not yet given up. The shares of all boxes add up to the
// slots, so the overshoot is bounded by what the others already hold.
func (n *Node) tickFallback() {
	for _, set := range n.sets() {
		owner := n.owners[set]
		p := n.members.peers[owner]
		if p == nil || n.now-p.direct < n.timing.OwnerSilent {
			continue
		}
		n.fallbackIn(set)
	}
}

func (n *Node) fallbackIn(set string) {
	// In a large domain news of the owner takes a while; only what has waited as
	// long as the owner was silent counts as unanswered.
	waiting := n.sorted(func(l *local) bool {
		return l.set == set && l.state == stateWaiting && !l.visiting && n.now-l.firstBid >= n.timing.OwnerSilent
	})
	if len(waiting) == 0 {
		return
	}
	held := make(map[string]int)
	for _, h := range n.heldIn(set, n.owners[set]) {
		held[h.Upstream]++
	}
	slices.SortStableFunc(waiting, func(a, b *local) int { return a.rule.Tier - b.rule.Tier })
	for _, b := range n.backends(set) {
		part := n.splitPart(b.Name, b.Slots)
		for !b.Leaving && !n.isQuiet(b.Name) && held[b.Name] < part && len(waiting) > 0 {
			l := waiting[0]
			waiting = waiting[1:]
			held[b.Name]++
			l.fallback, l.slot, l.slotAttempt = true, l.req.ID, l.attempt
			n.lease(l, b.Name, n.now+n.timing.StartBy)
		}
	}
}
