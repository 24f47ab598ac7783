package group

// This file defines how boxes agree on the division of services into lanes. The strongest leader
// decides, the other leaders adopt its division, and each member that of its own leader. The
// invariant: boxes that hear the same leader use the same division; a box that hears none uses
// its own.

import (
	"cmp"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// SetLanes sets the division that this box would choose.
func (n *Node) SetLanes(own balance.LanePlan) { n.ownLanes = own }

// Lanes returns the division to use; nil means that of this box.
func (n *Node) Lanes(now time.Duration) balance.LanePlan {
	if now-n.lanesAt > n.cfg.Timing.LeaderTimeout || n.decidesLanes(now) {
		return nil
	}
	return n.lanes
}

// decidesLanes reports whether this box is the strongest leader it hears.
func (n *Node) decidesLanes(now time.Duration) bool {
	return n.IsLeader() && n.strongestLeader(now) == n.cfg.Self
}

// strongestLeader returns the strongest active leader of all domains.
func (n *Node) strongestLeader(now time.Duration) *wire.GroupBox {
	return n.strongestLeaderWhere(now, func(*peer) bool { return true })
}

// laneAuthority returns the box whose division this box adopts.
func (n *Node) laneAuthority(now time.Duration) *wire.GroupBox {
	if n.IsLeader() {
		return n.strongestLeader(now)
	}
	return n.leader()
}

// receiveLanes adopts the division in a message if its sender is the box whose division this box
// adopts.
func (n *Node) receiveLanes(now time.Duration, p *peer, m *wire.GroupMessage) {
	if !m.Leads || p.box.Name != n.laneAuthority(now).Name {
		return
	}
	n.lanes, n.lanesAt = make(balance.LanePlan, len(m.Lanes)), now
	for _, l := range m.Lanes {
		n.lanes[l.Service] = balance.Lane{Reserved: int(l.Places), Tight: l.Tight[:min(len(l.Tight), maxClasses)]}
	}
}

// packLanes returns the division announced by a leader, in a fixed order.
func (n *Node) packLanes(now time.Duration) []*wire.GroupLane {
	lanes := n.Lanes(now)
	if lanes == nil {
		lanes = n.ownLanes
	}
	out := make([]*wire.GroupLane, 0, len(lanes))
	for service, lane := range lanes {
		tight := lane.Tight[:min(len(lane.Tight), maxClasses)]
		out = append(out, &wire.GroupLane{Service: service, Places: uint32(max(lane.Reserved, 0)), Tight: tight})
	}
	slices.SortFunc(out, func(a, b *wire.GroupLane) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
