package group

// This file defines which box leads a failure domain. The invariant: boxes that know the same set
// of boxes choose the same leader.

import "github.com/doormast/doormast/wire"

// LeaderName returns the name of the box that leads the domain.
func (n *Node) LeaderName() string { return n.leader().Name }

// IsLeader reports whether this box leads its domain.
func (n *Node) IsLeader() bool { return n.leader() == n.cfg.Self }

// leader returns the strongest box of the domain that has not timed out. The result is cached
// until one of its inputs changes, since it is needed for each message and each read decision.
func (n *Node) leader() *wire.GroupBox {
	if n.chosenLeader == nil {
		n.chosenLeader = n.chooseLeader()
	}
	return n.chosenLeader
}

// chooseLeader selects the leader. A box that is leaving leads only if no other box can.
func (n *Node) chooseLeader() *wire.GroupBox {
	best := n.cfg.Self
	for _, p := range n.peers {
		if p.box.Domain != best.Domain || p.timedOut || p.leaving {
			continue
		}
		resigns := n.leaving && best == n.cfg.Self
		if resigns || stronger(p.box, best) {
			best = p.box
		}
	}
	return best
}

// stronger orders the boxes of a domain, the stronger first.
func stronger(a, b *wire.GroupBox) bool {
	if a.Strength != b.Strength {
		return a.Strength > b.Strength
	}
	return a.Name < b.Name
}

// rank returns the number of boxes of the domain that are stronger than this one.
func (n *Node) rank() int {
	rank := 0
	for _, p := range n.peers {
		if n.sameDomain(p) && stronger(p.box, n.cfg.Self) {
			rank++
		}
	}
	return rank
}
