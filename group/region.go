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

// regionLeads are the strongest leads that are heard, one of each other region.
func (n *Node) regionLeads(now time.Duration) []*peer {
	return n.onePer(now, regionOf, alike, func(p *peer) bool { return !n.sameRegion(p.box) && n.leadIsHeard(now, p) })
}

// regionTellers are those leads of other regions that go for what these have under way, one of each.
func (n *Node) regionTellers(now time.Duration) []*peer {
	return n.onePer(now, regionOf, func(p *peer) bool { return p.regionAt != never },
		func(p *peer) bool { return !n.sameRegion(p.box) && p.leads && !n.gone(now, p) && p.region != nil })
}

func regionOf(p *peer) string { return p.box.Region }

func domainOf(p *peer) string { return p.box.Domain }

func alike(*peer) bool { return true }

// domainLeads are the leads of the other domains of this box's region, one of each: where one
// has taken over from another that was heard a moment ago, both still tell the domain's sum.
func (n *Node) domainLeads(now time.Duration) []*peer {
	return n.onePer(now, domainOf, func(p *peer) bool { return p.loadsAt != never },
		func(p *peer) bool { return !n.sameDomain(p) && n.sameRegion(p.box) && p.leads && !n.gone(now, p) })
}

// onePer picks of each group the strongest that is heard, or where none is, was heard lately; but
// first one that has told a list whole, since changes alone are next to nothing of a sum.
func (n *Node) onePer(now time.Duration, group func(*peer) string, whole, fits func(*peer) bool) []*peer {
	best := make(map[string]*peer)
	goesFirst := func(a, b *peer) bool {
		if told := whole(a); told != whole(b) {
			return told
		}
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

// noteSpeaker notes who speaks for the region, and since when.
func (n *Node) noteSpeaker(now time.Duration) {
	lead := n.regionLead(now)
	if lead.Name == n.speaker {
		return
	}
	n.speaker, n.speaksFrom = lead.Name, now
	if p := n.peers[lead.Name]; p != nil && now-p.beyondAt > n.cfg.Timing.Member {
		p.beyondAt = never // told when it spoke before
	}
}

// awaitsRegions reports whether this box has begun to speak for its region, and not all other
// regions have told it theirs yet.
func (n *Node) awaitsRegions(now time.Duration) bool {
	return n.speaker == n.cfg.Self.Name && now-n.speaksFrom < n.cfg.Timing.Member &&
		!n.eachTold(now, regionOf, func(p *peer) bool { return !n.sameRegion(p.box) }, func(p *peer) bool { return p.regionAt >= n.speaksFrom })
}

// formerBeyond is what the one that spoke for the region before told of other regions.
func (n *Node) formerBeyond(now time.Duration) Loads {
	var last *peer
	for _, p := range n.nearLeads(now) {
		if now-p.beyondAt < wholeMost+n.cfg.Timing.Member && (last == nil || p.beyondAt > last.beyondAt) {
			last = p
		}
	}
	if last == nil {
		return nil
	}
	return last.beyond
}

// beyondSources are the loads of other regions: what the lead of each told, or this region's.
// Where that one has told nothing whole yet, the one before it goes.
func (n *Node) beyondSources(now time.Duration) []Loads {
	lead := n.peers[n.speaker]
	if lead != nil && lead.beyondAt != never {
		return []Loads{lead.beyond}
	}
	if lead != nil || n.awaitsRegions(now) {
		if l := n.formerBeyond(now); l != nil {
			return []Loads{l}
		}
	}
	var list []Loads
	for _, p := range n.regionTellers(now) {
		list = append(list, p.region)
	}
	return list
}
