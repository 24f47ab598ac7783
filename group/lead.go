package group

// This file defines which box leads a failure domain, and who reads the publisher.
// The invariant: boxes that know the same boxes choose the same lead.

import (
	"time"

	"github.com/doormast/doormast/wire"
)

// Lead is the name of the box that leads the domain.
func (n *Node) Lead() string { return n.lead().Name }

// Leads reports whether this box leads its domain.
func (n *Node) Leads() bool { return n.lead() == n.cfg.Self }

// lead is the best box of the domain that is not known to be silent.
func (n *Node) lead() *wire.GroupBox {
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
		if p.box.Domain == n.cfg.Self.Domain && better(p.box, n.cfg.Self) {
			place++
		}
	}
	return place
}

// Reads reports whether this box should read what is published itself.
func (n *Node) Reads(now time.Duration) bool {
	t := n.cfg.Timing
	if !n.cfg.FirstStart && n.cfg.Mirror.Revision() == 0 {
		return true
	}
	if n.Leads() {
		return now-n.started >= t.Settle || n.alone()
	}
	if n.leadIsBlind() && now-n.readOK < t.Readback {
		return true
	}
	// After a start, the lead is given its own time to settle and as much to read.
	known := max(n.confirmed, n.started-t.Stale+2*t.Settle)
	return now-known > t.Stale+time.Duration(min(n.place(), maxStagger))*t.Stagger
}

// alone reports whether there is nobody to wait for.
func (n *Node) alone() bool { return len(n.cfg.Seeds) == 0 }

// leadIsBlind reports whether the lead says that it cannot read.
func (n *Node) leadIsBlind() bool {
	p := n.peers[n.Lead()]
	return p != nil && p.leads && !p.reads
}

// maxStagger bounds the places that delay a box's own reading.
const maxStagger = 5
