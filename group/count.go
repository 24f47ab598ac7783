package group

// This file defines the number of boxes and the divisor for shared budgets. The invariants:
// neither value decreases while a box runs, so that its share of a common limit only shrinks. The
// shares of all boxes that have run long enough to hear of each other add up to at most the
// whole, even if some of them restarted during a network partition between domains.

import (
	"slices"
	"time"
)

// BoxCount returns the largest number of boxes known so far.
func (n *Node) BoxCount() int { return max(n.maxBoxes, 1) }

// Divisor returns the number by which this box divides a budget that all boxes share. It is 0 if
// the box has no share yet, because its seeds name other boxes and it has heard none since its
// start. A box that hears no other domain assumes that each has as many boxes as its own.
func (n *Node) Divisor() int {
	if !n.heardPeer && n.hasOtherSeeds() {
		return 0
	}
	return max(n.maxBoxes, n.cfg.DomainCount*n.maxDomainBoxes, 1)
}

// hasOtherSeeds reports whether the seeds name a box other than this one.
func (n *Node) hasOtherSeeds() bool {
	return slices.ContainsFunc(n.cfg.Seeds, func(seed string) bool { return seed != n.cfg.Self.Address })
}

// SizeKnown reports whether the box has learned the size of the group.
func (n *Node) SizeKnown() bool { return n.maxBoxes > 0 }

// KnowsOtherLoads reports whether this box knows the loads of the others. That holds if there are
// no others, or if it has run long enough to receive them and hears a box that sends them. A new
// leader must also have received the loads of all boxes whose loads it sums.
func (n *Node) KnowsOtherLoads(now time.Duration) bool {
	if n.maxBoxes <= 1 && n.hasNoSeeds() {
		return true
	}
	if now-n.started < n.cfg.Timing.StartupSettle || n.inherited != nil {
		return false
	}
	for _, p := range n.peers {
		if sends := n.IsLeader() || p.box.Name == n.leader().Name; sends && !n.isGone(now, p) {
			return true
		}
	}
	return false
}

// domainBoxes counts the live boxes of this domain, including this one.
func (n *Node) domainBoxes(now time.Duration) int {
	count := 1
	for _, p := range n.peers {
		if n.sameDomain(p) && now-p.lastHeard < n.cfg.Timing.MemberTimeout {
			count++
		}
	}
	return count
}

// allBoxes adds the counts last reported by the leaders of other domains. If two boxes act as
// leader of a domain, the larger count is used.
func (n *Node) allBoxes(now time.Duration) int {
	domains := make(map[string]int)
	for _, p := range n.peers {
		if !n.sameDomain(p) {
			domains[p.box.Domain] = max(domains[p.box.Domain], p.domainBoxes)
		}
	}
	count := n.domainBoxes(now)
	for _, boxes := range domains {
		count += boxes
	}
	return count
}
