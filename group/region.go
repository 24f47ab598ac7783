package group

// This file defines which leader is the region leader. The invariant: a leader acts as region
// leader only while it hears no stronger leader of its region, so that information crosses a
// region boundary once. If two leaders act as region leader, the others use the stronger one.

import (
	"maps"
	"slices"
	"time"

	"github.com/doormast/doormast/wire"
)

// sameRegion reports whether a box belongs to this box's region.
func (n *Node) sameRegion(b *wire.GroupBox) bool { return b.Region == n.cfg.Self.Region }

// regionLeader returns the strongest active leader of this box's region. It is called on domain
// leaders.
func (n *Node) regionLeader(now time.Duration) *wire.GroupBox {
	return n.strongestLeaderWhere(now, func(p *peer) bool { return n.sameRegion(p.box) })
}

// otherRegionLeaders returns the strongest active leader of each other region.
func (n *Node) otherRegionLeaders(now time.Duration) []*peer {
	return n.strongestPerGroup(now, regionOf, always, func(p *peer) bool { return !n.sameRegion(p.box) && n.isActiveLeader(now, p) })
}

// otherRegionSources returns, for each other region, the leader whose report of that region's
// loads is used.
func (n *Node) otherRegionSources(now time.Duration) []*peer {
	return n.strongestPerGroup(now, regionOf, func(p *peer) bool { return p.regionLoadsAt != never },
		func(p *peer) bool {
			return !n.sameRegion(p.box) && p.isLeader && !n.isGone(now, p) && p.regionLoads != nil
		})
}

func regionOf(p *peer) string { return p.box.Region }

func domainOf(p *peer) string { return p.box.Domain }

func always(*peer) bool { return true }

// otherDomainLeaders returns one leader for each other domain of this box's region. Shortly after
// a change of leader, both the old and the new one still report the domain's sum.
func (n *Node) otherDomainLeaders(now time.Duration) []*peer {
	return n.strongestPerGroup(now, domainOf, func(p *peer) bool { return p.loadsAt != never },
		func(p *peer) bool { return !n.sameDomain(p) && n.sameRegion(p.box) && p.isLeader && !n.isGone(now, p) })
}

// strongestPerGroup selects one peer of each group. It prefers peers that have sent a complete
// list, since changes alone are a small part of a sum, then active leaders, then the strongest.
func (n *Node) strongestPerGroup(now time.Duration, group func(*peer) string, sentFullList, fits func(*peer) bool) []*peer {
	best := make(map[string]*peer)
	preferred := func(a, b *peer) bool {
		if complete := sentFullList(a); complete != sentFullList(b) {
			return complete
		}
		if active := n.isActiveLeader(now, a); active != n.isActiveLeader(now, b) {
			return active
		}
		return stronger(a.box, b.box)
	}
	for _, p := range n.peers {
		if !fits(p) {
			continue
		}
		if b := best[group(p)]; b == nil || preferred(p, b) {
			best[group(p)] = p
		}
	}
	list := slices.Collect(maps.Values(best))
	slices.SortFunc(list, func(a, b *peer) int { return strongestFirst(a.box, b.box) })
	return list
}

// nearLeaders returns the other leaders of this box's region that have not timed out.
func (n *Node) nearLeaders(now time.Duration) []*peer {
	var list []*peer
	for _, p := range n.peers {
		if !n.sameDomain(p) && n.sameRegion(p.box) && p.isLeader && !n.isGone(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// members returns the other boxes of this box's domain that have not timed out.
func (n *Node) members(now time.Duration) []*peer {
	var list []*peer
	for _, p := range n.peers {
		if n.sameDomain(p) && !n.isGone(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// updateRegionLeader records the region leader, and since when it is that.
func (n *Node) updateRegionLeader(now time.Duration) {
	leader := n.regionLeader(now)
	if leader.Name == n.regionLeaderName {
		return
	}
	n.regionLeaderName, n.regionLeaderSince = leader.Name, now
	if p := n.peers[leader.Name]; p != nil && now-p.otherRegionLoadsAt > n.cfg.Timing.MemberTimeout {
		p.otherRegionLoadsAt = never // sent in an earlier term
	}
}

// awaitsOtherRegions reports whether this box has recently become region leader and some other
// region has not reported its loads yet.
func (n *Node) awaitsOtherRegions(now time.Duration) bool {
	return n.regionLeaderName == n.cfg.Self.Name && now-n.regionLeaderSince < n.cfg.Timing.MemberTimeout &&
		!n.eachReported(now, regionOf, func(p *peer) bool { return !n.sameRegion(p.box) }, func(p *peer) bool { return p.regionLoadsAt >= n.regionLeaderSince })
}

// formerOtherRegionLoads returns the loads of other regions as the previous region leader
// reported them.
func (n *Node) formerOtherRegionLoads(now time.Duration) Loads {
	var last *peer
	for _, p := range n.nearLeaders(now) {
		if now-p.otherRegionLoadsAt < maxFullListInterval+n.cfg.Timing.MemberTimeout && (last == nil || p.otherRegionLoadsAt > last.otherRegionLoadsAt) {
			last = p
		}
	}
	if last == nil {
		return nil
	}
	return last.otherRegionLoads
}

// otherRegionLoadLists returns the loads of other regions: those that this region's leader
// reported, or on the region leader those that the leader of each region reported. Until a
// complete list was received, the previous region leader's report is used.
func (n *Node) otherRegionLoadLists(now time.Duration) []Loads {
	leader := n.peers[n.regionLeaderName]
	if leader != nil && leader.otherRegionLoadsAt != never {
		return []Loads{leader.otherRegionLoads}
	}
	if leader != nil || n.awaitsOtherRegions(now) {
		if l := n.formerOtherRegionLoads(now); l != nil {
			return []Loads{l}
		}
	}
	var list []Loads
	for _, p := range n.otherRegionSources(now) {
		list = append(list, p.regionLoads)
	}
	return list
}
