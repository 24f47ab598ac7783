package group

// This file defines which box leads a failure domain.
// The invariant: boxes that know the same boxes choose the same lead.

import "github.com/doormast/doormast/wire"

// LeaderName is the name of the box that leads the domain.
func (n *Node) LeaderName() string { return n.lead().Name }

// IsLeader reports whether this box leads its domain.
func (n *Node) IsLeader() bool { return n.lead() == n.cfg.Self }

// lead is the best box of the domain that is not known to be silent. It is looked for
// anew when what it depends on has changed: each message and each look at who reads asks.
func (n *Node) lead() *wire.GroupBox {
	if n.chosen == nil {
		n.chosen = n.chooseLead()
	}
	return n.chosen
}

// chooseLead looks for the lead; a box that is leaving leads only where no other can.
func (n *Node) chooseLead() *wire.GroupBox {
	best := n.cfg.Self
	for _, p := range n.peers {
		if p.box.Domain != best.Domain || p.silent || p.leaving {
			continue
		}
		resigns := n.leaving && best == n.cfg.Self
		if resigns || better(p.box, best) {
			best = p.box
		}
	}
	return best
}

// better orders the boxes of a domain: the stronger first.
func better(a, b *wire.GroupBox) bool {
	if a.Strength != b.Strength {
		return a.Strength > b.Strength
	}
	return a.Name < b.Name
}

// place is how many boxes of the domain go before this one.
func (n *Node) place() int {
	place := 0
	for _, p := range n.peers {
		if n.sameDomain(p) && better(p.box, n.cfg.Self) {
			place++
		}
	}
	return place
}
