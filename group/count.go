package group

// This file defines how many boxes there are, and by how many a box divides what all of them share. The invariants:
// neither falls within one life of a box, so that shares of a common limit only shrink; and the shares of boxes that have
// run for longer than they need to hear of each other do not add up to more than the whole, also where some of them
// started again within a cut between domains.

import (
	"slices"
	"time"
)

// BoxCount is how many boxes there are, at the most that was ever known.
func (n *Node) BoxCount() int { return max(n.most, 1) }

// Divisor is by how many this box divides what all boxes share; 0: it has no part, since its seeds name others and it has
// heard of nobody in this life. A box that hears of no other domain takes each to have as many boxes as its own.
func (n *Node) Divisor() int {
	if !n.heardOthers && n.namesOthers() {
		return 0
	}
	return max(n.most, n.cfg.DomainCount*n.mostHere, 1)
}

// namesOthers reports whether the seeds name another box than this one.
func (n *Node) namesOthers() bool {
	return slices.ContainsFunc(n.cfg.Seeds, func(seed string) bool { return seed != n.cfg.Self.Address })
}

// SizeKnown reports whether the box has heard of the group's size.
func (n *Node) SizeKnown() bool { return n.most > 0 }

// KnowsOtherLoads reports whether this box knows what the others have under way: there are none, or it has
// run for long enough to be told and hears of one who tells it; one that has just begun to lead has
// been told by all whose loads it adds up.
func (n *Node) KnowsOtherLoads(now time.Duration) bool {
	if n.most <= 1 && n.alone() {
		return true
	}
	if now-n.started < n.cfg.Timing.Settle || n.inherits != nil {
		return false
	}
	for _, p := range n.peers {
		if tells := n.IsLeader() || p.box.Name == n.lead().Name; tells && !n.gone(now, p) {
			return true
		}
	}
	return false
}

// domainBoxes counts the boxes of this domain that live, this one included.
func (n *Node) domainBoxes(now time.Duration) int {
	count := 1
	for _, p := range n.peers {
		if n.sameDomain(p) && now-p.heard < n.cfg.Timing.Member {
			count++
		}
	}
	return count
}

// allBoxes adds what the leads of the other domains said last. Where two boxes took
// themselves for a domain's lead, the greater count is the better one.
func (n *Node) allBoxes(now time.Duration) int {
	domains := make(map[string]int)
	for _, p := range n.peers {
		if !n.sameDomain(p) {
			domains[p.box.Domain] = max(domains[p.box.Domain], p.boxes)
		}
	}
	count := n.domainBoxes(now)
	for _, boxes := range domains {
		count += boxes
	}
	return count
}
