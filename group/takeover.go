package group

// This file defines the loads that a new domain leader uses until the boxes whose loads it sums
// have reported them. The invariant: the loads it knew as a member count until the other boxes
// have reported theirs, or have had the member timeout to do so, and no incomplete sum is sent
// on.
//
// Without this, the successor of a failed leader and all its members would assume for one
// heartbeat that hardly any requests are in progress.

import (
	"maps"
	"time"
)

// inheritedLoads holds the loads that a leader knew as a member.
type inheritedLoads struct {
	since time.Duration // when it became leader
	loads Loads         // of all other boxes
	// Whether all expected reports were received: from the members, from the leaders of the
	// region's other domains, and about other regions.
	domainKnown, regionKnown, otherRegionsKnown bool
}

// becomeLeader starts to act as leader, if this box does not do so yet.
func (n *Node) becomeLeader(now time.Duration) {
	if n.actsAsLeader {
		return
	}
	n.actsAsLeader = true
	n.loadSums, n.regionLeaderName = loadSums{}, ""
	if !n.hasFollowed {
		return // it has just started
	}
	n.announcesLeadership, n.lastHeartbeat = true, never // the boxes that report to this one must learn of it at once
	n.inherited = &inheritedLoads{since: now, loads: maps.Clone(n.otherLoads)}
}

// stepDown stops acting as leader.
func (n *Node) stepDown() {
	n.actsAsLeader, n.hasFollowed = false, true
	n.announcesLeadership, n.inherited = false, nil
	n.recipients = recipientGroups{}
}

// updateInherited records which reports were received, and discards the inherited loads once all
// were.
func (n *Node) updateInherited(now time.Duration) {
	h := n.inherited
	if h == nil {
		return
	}
	h.domainKnown = n.membersReported(now, h.since)
	h.regionKnown = n.eachReported(now, domainOf,
		func(p *peer) bool { return n.sameRegion(p.box) }, func(p *peer) bool { return p.loadsAt >= h.since })
	h.otherRegionsKnown = n.otherRegionsReported(now, h.since)
	if h.domainKnown && h.regionKnown && h.otherRegionsKnown || now-h.since >= n.cfg.Timing.MemberTimeout {
		n.inherited = nil
	}
}

// recentlySeen reports whether a peer was heard or listed recently enough to wait for it.
func recentlySeen(now time.Duration, p *peer) bool {
	return now-max(p.lastHeard, p.lastListed) < recentPeerWindow
}

// membersReported reports whether all members have sent their loads since the given time.
func (n *Node) membersReported(now, since time.Duration) bool {
	for _, p := range n.peers {
		if n.sameDomain(p) && !p.timedOut && !p.leaving && recentlySeen(now, p) && p.loadsAt < since {
			return false
		}
	}
	return true
}

// eachReported reports whether at least one leader of each group has reported, among the leaders
// accepted by fits.
func (n *Node) eachReported(now time.Duration, group func(*peer) string, fits, reported func(*peer) bool) bool {
	missing := make(map[string]bool)
	for _, p := range n.peers {
		if n.sameDomain(p) || !p.isLeader || p.leaving || !recentlySeen(now, p) || !fits(p) {
			continue
		}
		before, known := missing[group(p)]
		missing[group(p)] = !reported(p) && (before || !known)
	}
	for _, w := range missing {
		if w {
			return false
		}
	}
	return true
}

// otherRegionsReported reports whether the loads of other regions were received since the given
// time.
func (n *Node) otherRegionsReported(now, since time.Duration) bool {
	foreign := func(p *peer) bool { return !n.sameRegion(p.box) }
	leader := n.peers[n.regionLeader(now).Name]
	return n.eachReported(now, regionOf, foreign, func(p *peer) bool {
		if leader != nil {
			return leader.otherRegionLoadsAt >= since
		}
		return p.regionLoadsAt >= since
	})
}

// canSendTo reports whether the loads for a group are complete.
func (n *Node) canSendTo(now time.Duration, g *recipientGroup) bool {
	h := n.inherited
	switch {
	case g == n.recipients.regionRelay && n.awaitsOtherRegions(now):
		return false
	case h == nil || g == n.recipients.members:
		return true
	case g == n.recipients.nearLeaders:
		return h.domainKnown
	case g == n.recipients.otherRegionLeaders:
		return h.domainKnown && h.regionKnown
	}
	return h.otherRegionsKnown
}

// hasReported reports whether a member has sent its loads to a new leader. The inherited loads
// include those of such members; a member that subtracted loads it has not sent would get a wrong
// result, so it is sent nothing before.
func (n *Node) hasReported(p *peer) bool { return n.inherited == nil || p.loadsAt >= n.inherited.since }
