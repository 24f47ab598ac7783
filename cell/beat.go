package cell

// This file defines how a node takes part in the membership: probing, answering,
// and acting on who lives. See member.go for what is believed of the others.

import (
	"github.com/doormast/doormast/timeline"
)

// join ends the time of listening, after which this box may own something.
func (n *Node) join() {
	if n.joined {
		return
	}
	all := true
	for _, p := range n.members.peers {
		all = all && (p.alive || !p.listed)
	}
	waited := n.now - n.started
	if all && len(n.members.peers) > 0 || waited >= n.timing.Join && n.members.complete || waited >= 2*n.timing.Join {
		n.joined = true
	}
}

func (n *Node) memberChanged(p *peer) {
	kind := timeline.BoxAlive
	if !p.alive {
		kind = timeline.BoxDead
		for set, pool := range n.pools {
			pool.RemoveBox(p.name)
			n.dirty[set] = true
		}
	}
	n.record(timeline.Event{Kind: kind, Reason: p.name})
}

// beat probes other boxes when it is time. A box that is joining does so in every
// tick.
func (n *Node) beat() {
	if n.now < n.nextHeartbeat && n.joined {
		return
	}
	n.nextHeartbeat = n.now + n.timing.Heartbeat
	n.probe(n.members.targets(n.now, !n.joined))
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

// urgentFanout is how many boxes are told of a suspicion at once.
const urgentFanout = 2

// passOn tells a few boxes at once of a new suspicion, and they others: it should
// be refuted or believed everywhere soon.
func (n *Node) passOn() {
	if n.members.urgent {
		n.members.urgent = false
		n.sendHeartbeat(n.members.some(urgentFanout))
	}
}

// sendHeartbeat tells boxes of this one's state, without wanting an answer.
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
	h.Leaving, h.Blind, h.Roster, h.Withheld = n.draining, n.blind, n.roster.Revision, n.endsDigest
	if n.table != nil {
		h.Table, h.Digest = n.table.Revision, n.table.Digest()
	}
	return h
}

func (n *Node) onHeartbeat(from string, boot uint64, h *Heartbeat) {
	if !n.known(from) {
		return
	}
	p := n.members.peers[from]
	wasLeaving := p != nil && p.leaving
	if p != nil && p.boot != 0 && boot > p.boot {
		// A new incarnation: what the old one held died with it.
		for _, pool := range n.pools {
			pool.RemoveBox(from)
		}
	}
	n.members.hear(n.now, from, boot, h)
	n.members.sweep(n.now, n.memberChanged)
	n.passOn()
	if h.Probe {
		n.send(from, n.heartbeat(h.Joining))
	}
	if h.Leaving != wasLeaving {
		n.reown()
	}
	n.comparePublished(from, h.Table, h.Roster)
	n.compareEnds(from, h.Withheld)
}

// known reports whether a box belongs to this domain: heartbeats of others are
// not part of its membership.
func (n *Node) known(box string) bool {
	if n.members.peers[box] != nil {
		return true
	}
	for _, b := range n.roster.Boxes {
		if b.Name == box {
			return b.Domain == n.cfg.Domain
		}
	}
	return true // not listed yet: a new box speaks before the list names it
}

// LivePeers lists the other boxes of the domain that are alive.
func (n *Node) LivePeers() []string { return n.members.live() }
