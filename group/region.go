package group

// This file defines which box speaks for a region. The invariant: a lead speaks for its region
// only while it hears of no stronger one there, so that at the edge of a region each thing
// passes once. Where two take themselves for it, the others go by the stronger.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/wire"
)

// sameRegion reports whether a box is of this box's region.
func (n *Node) sameRegion(b *wire.GroupBox) bool { return b.Region == n.cfg.Self.Region }

// regionLead is the strongest lead of this box's region that is heard; n leads its domain.
func (n *Node) regionLead(now time.Duration) *wire.GroupBox {
	return n.bestLead(now, func(p *peer) bool { return n.sameRegion(p.box) })
}

// regionLeads are the strongest leads that are heard and fit, one of each other region.
func (n *Node) regionLeads(now time.Duration, fits func(*peer) bool) []*peer {
	best := make(map[string]*peer)
	for _, p := range n.peers {
		if n.sameRegion(p.box) || !n.leadIsHeard(now, p) || !fits(p) {
			continue
		}
		if b := best[p.box.Region]; b == nil || better(p.box, b.box) {
			best[p.box.Region] = p
		}
	}
	list := make([]*peer, 0, len(best))
	for _, p := range best {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *peer) int { return strongestFirst(a.box, b.box) })
	return list
}

// nearLeads are the other leads of this box's region that are heard.
func (n *Node) nearLeads(now time.Duration) []*peer {
	var list []*peer
	for _, p := range n.peers {
		if !n.sameDomain(p) && n.sameRegion(p.box) && p.leads && !n.gone(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// members are the other boxes of this box's domain that are heard.
func (n *Node) members(now time.Duration) []*peer {
	var list []*peer
	for _, p := range n.peers {
		if n.sameDomain(p) && !n.gone(now, p) {
			list = append(list, p)
		}
	}
	return list
}
