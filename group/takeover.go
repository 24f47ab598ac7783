package group

// This file defines what a box that has just become its domain's lead goes by, until those whose
// loads it adds up have told it theirs. The invariant: what it knew of the others' as a member
// counts until they have told it, or have had Timing.Member to do so; and it hands on no sum that
// is a part of the truth only.
//
// Without this, the successor of a lead that died and all its members would believe for a beat that hardly any
// requests are under way.

import (
	"maps"
	"time"
)

// inheritance is what a lead knew as a member.
type inheritance struct {
	at     time.Duration // when it began to lead
	others Loads         // all other boxes'
	// Whether all have told that are to: the members, the leads of the region's other domains,
	// and those who tell of other regions.
	domain, region, beyond bool
}

// takeOver begins to lead.
func (n *Node) takeOver(now time.Duration) {
	if n.leading {
		return
	}
	n.leading = true
	n.sums, n.speaker = loadSums{}, ""
	if !n.hasFollowed {
		return // it has just started
	}
	n.greets, n.lastBeat = true, never // those who are to tell are to know at once
	n.inherits = &inheritance{at: now, others: maps.Clone(n.others)}
}

// stepDown ends leading.
func (n *Node) stepDown() {
	n.leading, n.hasFollowed = false, true
	n.greets, n.inherits = false, nil
	n.audiences = audiences{}
}

// settleInheritance notes who has told, and forgets what was inherited once all have.
func (n *Node) settleInheritance(now time.Duration) {
	h := n.inherits
	if h == nil {
		return
	}
	h.domain = n.membersTold(now, h.at)
	h.region = n.eachTold(now, domainOf,
		func(p *peer) bool { return n.sameRegion(p.box) }, func(p *peer) bool { return p.loadsAt >= h.at })
	h.beyond = n.beyondTold(now, h.at)
	if h.domain && h.region && h.beyond || now-h.at >= n.cfg.Timing.Member {
		n.inherits = nil
	}
}

// lately reports whether a peer was heard or named lately enough to be waited for.
func lately(now time.Duration, p *peer) bool { return now-max(p.heard, p.named) < sharesFor }

// membersTold reports whether all members have told their loads since a moment.
func (n *Node) membersTold(now, since time.Duration) bool {
	for _, p := range n.peers {
		if n.sameDomain(p) && !p.silent && !p.leaving && lately(now, p) && p.loadsAt < since {
			return false
		}
	}
	return true
}

// eachTold reports whether of each group of leads that fit one has told.
func (n *Node) eachTold(now time.Duration, group func(*peer) string, fits, told func(*peer) bool) bool {
	waits := make(map[string]bool)
	for _, p := range n.peers {
		if n.sameDomain(p) || !p.leads || p.leaving || !lately(now, p) || !fits(p) {
			continue
		}
		before, known := waits[group(p)]
		waits[group(p)] = !told(p) && (before || !known)
	}
	for _, w := range waits {
		if w {
			return false
		}
	}
	return true
}

// beyondTold reports whether the loads of other regions were told since a moment.
func (n *Node) beyondTold(now, since time.Duration) bool {
	foreign := func(p *peer) bool { return !n.sameRegion(p.box) }
	lead := n.peers[n.regionLead(now).Name]
	return n.eachTold(now, regionOf, foreign, func(p *peer) bool {
		if lead != nil {
			return lead.beyondAt >= since
		}
		return p.regionAt >= since
	})
}

// tellable narrows what a lead tells whom to what it knows whole.
func (n *Node) tellable(now time.Duration, a *audience) bool {
	h := n.inherits
	switch {
	case a == n.audiences.inland && n.awaitsRegions(now):
		return false
	case h == nil || a == n.audiences.members:
		return true
	case a == n.audiences.near:
		return h.domain
	case a == n.audiences.far:
		return h.domain && h.region
	}
	return h.beyond
}

// hasTold reports whether a lead that has just begun was told a member's loads: what it
// inherited holds those of the others, whom nothing is told from which they would take off none.
func (n *Node) hasTold(p *peer) bool { return n.inherits == nil || p.loadsAt >= n.inherits.at }
