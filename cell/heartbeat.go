package cell

// This file defines how a node takes part in membership: it probes other
// boxes, answers probes, and acts on changes of liveness. The view of the
// other boxes is in member.go.

import (
	"github.com/doormast/doormast/timeline"
)

// updateJoined ends the listening period, after which this box may own sets.
func (n *Node) updateJoined() {
	if n.joined {
		return
	}
	allAlive := true
	for _, p := range n.members.peers {
		allAlive = allAlive && (p.reportedAlive || !p.listed)
	}
	waited := n.now - n.joinStarted
	if allAlive && len(n.members.peers) > 0 || waited >= n.timing.JoinWait && n.members.fullListHeard || waited >= 2*n.timing.JoinWait {
		n.joined = true
	}
}

func (n *Node) memberChanged(p *peer) {
	kind := timeline.BoxAlive
	if !p.reportedAlive {
		kind = timeline.BoxDead
		for set, pool := range n.pools {
			pool.RemoveBox(p.name)
			n.dirty[set] = true
		}
	}
	n.record(timeline.Event{Kind: kind, Reason: p.name})
}

// probeInTurn sends the probes that are due. A box that is joining probes in
// every tick.
func (n *Node) probeInTurn() {
	if n.now < n.nextHeartbeat && n.joined {
		return
	}
	n.nextHeartbeat = n.now + n.timing.Heartbeat
	n.probe(n.members.probeTargets(n.now, !n.joined))
}

func (n *Node) probe(targets []string) {
	if len(targets) == 0 {
		return
	}
	h := n.heartbeat(false)
	h.Probe, h.Joining = true, !n.joined
	for _, to := range targets {
		n.send(to, h)
	}
}

// suspicionFanout is the number of boxes that a new suspicion is sent to at
// once.
const suspicionFanout = 2

// gossipSuspicions sends a new suspicion to a few boxes at once, which pass
// it on: it should soon be refuted or accepted everywhere.
func (n *Node) gossipSuspicions() {
	if n.members.gossipNow {
		n.members.gossipNow = false
		n.sendHeartbeat(n.members.randomLive(suspicionFanout))
	}
}

// sendHeartbeat sends this box's state to targets, without asking for an
// answer.
func (n *Node) sendHeartbeat(targets []string) {
	if len(targets) == 0 {
		return
	}
	h := n.heartbeat(false)
	for _, to := range targets {
		n.send(to, h)
	}
}

func (n *Node) heartbeat(full bool) *Heartbeat {
	h := n.members.heartbeat(full)
	h.Leaving, h.PlatformUnreachable, h.Roster, h.Withheld = n.draining, n.platformUnreachable, n.roster.Revision, n.withheldDigest
	if n.table != nil {
		h.Table, h.Digest = n.table.Revision, n.table.Digest()
	}
	return h
}

func (n *Node) onHeartbeat(from string, boot uint64, h *Heartbeat) {
	if !n.inOwnDomain(from) {
		return
	}
	p := n.members.peers[from]
	wasLeaving := p != nil && p.leaving
	if p != nil && p.boot != 0 && boot > p.boot {
		// A new incarnation: the slots and bids of the old one were lost with it.
		for _, pool := range n.pools {
			pool.RemoveBox(from)
		}
	}
	n.members.onHeartbeat(n.now, from, boot, h)
	n.members.sweep(n.now, n.memberChanged)
	n.gossipSuspicions()
	if h.Probe {
		n.send(from, n.heartbeat(h.Joining))
	}
	if h.Leaving != wasLeaving {
		n.updateOwners()
	}
	n.comparePublished(from, h.Table, h.Roster)
	n.compareWithheld(from, h.Withheld)
}

// inOwnDomain reports whether a box belongs to this domain. Heartbeats from
// other domains do not affect the membership.
func (n *Node) inOwnDomain(box string) bool {
	if n.members.peers[box] != nil {
		return true
	}
	for _, b := range n.roster.Boxes {
		if b.Name == box {
			return b.Domain == n.cfg.Domain
		}
	}
	return true // not listed yet: a new box sends heartbeats before the list names it
}

// LivePeers returns the names of the other live boxes of the domain.
func (n *Node) LivePeers() []string { return n.members.live() }
