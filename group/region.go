package group

// This file defines which box speaks for a region. The invariant: a lead speaks for its region
// only while it hears of no stronger one there, so that at the edge of a region each thing
// passes once. Where two take themselves for it, the others go by the stronger.

import (
	"maps"
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
	return n.onePer(now, func(p *peer) string { return p.box.Region },
		func(p *peer) bool { return !n.sameRegion(p.box) && n.leadIsHeard(now, p) && fits(p) })
}

// domainLeads are the leads of the other domains of this box's region, one of each: where one
// has taken over from another that was heard a moment ago, both still tell the domain's sum.
func (n *Node) domainLeads(now time.Duration) []*peer {
	return n.onePer(now, func(p *peer) string { return p.box.Domain },
		func(p *peer) bool { return !n.sameDomain(p) && n.sameRegion(p.box) && p.leads && !n.gone(now, p) })
}

// onePer picks of each group the strongest that is heard, or where none is, was heard lately.
func (n *Node) onePer(now time.Duration, group func(*peer) string, fits func(*peer) bool) []*peer {
	best := make(map[string]*peer)
	goesFirst := func(a, b *peer) bool {
		if heard := n.leadIsHeard(now, a); heard != n.leadIsHeard(now, b) {
			return heard
		}
		return better(a.box, b.box)
	}
	for _, p := range n.peers {
		if !fits(p) {
			continue
		}
		if b := best[group(p)]; b == nil || goesFirst(p, b) {
			best[group(p)] = p
		}
	}
	list := slices.Collect(maps.Values(best))
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
