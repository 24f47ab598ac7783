package group

// This file defines how boxes agree on the division of services into lanes: the
// strongest lead decides, the other leads take over what it says, and each box what its
// own lead says. The invariant: boxes in touch with the same lead go by the same
// division; one that hears of none goes by its own.

import (
	"cmp"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// SetLanes notes how this box would divide services.
func (n *Node) SetLanes(own balance.LanePlan) { n.ownLanes = own }

// Lanes is the division to go by; nil means this box's own.
func (n *Node) Lanes(now time.Duration) balance.LanePlan {
	if now-n.lanesAt > n.cfg.Timing.Silence || n.decidesLanes(now) {
		return nil
	}
	return n.lanes
}

// decidesLanes reports whether this box is the strongest lead that it hears of.
func (n *Node) decidesLanes(now time.Duration) bool {
	return n.IsLeader() && n.strongestLead(now) == n.cfg.Self
}

// strongestLead is the strongest of the leads of all domains that are heard.
func (n *Node) strongestLead(now time.Duration) *wire.GroupBox {
	return n.bestLead(now, func(*peer) bool { return true })
}

// followed is the box whose division this one takes over.
func (n *Node) followed(now time.Duration) *wire.GroupBox {
	if n.IsLeader() {
		return n.strongestLead(now)
	}
	return n.lead()
}

// takeLanes takes over the division that a message tells, if its sender is the one to
// be followed.
func (n *Node) takeLanes(now time.Duration, p *peer, m *wire.GroupMessage) {
	if !m.Leads || p.box.Name != n.followed(now).Name {
		return
	}
	n.lanes, n.lanesAt = make(balance.LanePlan, len(m.Lanes)), now
	for _, l := range m.Lanes {
		n.lanes[l.Service] = balance.Lane{Places: int(l.Places), Tight: l.Tight[:min(len(l.Tight), maxClasses)]}
	}
}

// packLanes is what a lead tells of the division it goes by, in a fixed order.
func (n *Node) packLanes(now time.Duration) []*wire.GroupLane {
	lanes := n.Lanes(now)
	if lanes == nil {
		lanes = n.ownLanes
	}
	out := make([]*wire.GroupLane, 0, len(lanes))
	for service, lane := range lanes {
		tight := lane.Tight[:min(len(lane.Tight), maxClasses)]
		out = append(out, &wire.GroupLane{Service: service, Places: uint32(max(lane.Places, 0)), Tight: tight})
	}
	slices.SortFunc(out, func(a, b *wire.GroupLane) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
