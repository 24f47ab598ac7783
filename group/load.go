package group

// This file defines how boxes tell each other what they have under way. The invariant:
// what a box knows of the others' does not contain its own, but for what has changed while
// messages were on their way.
//
// A member tells its lead, the lead tells the leads of the other domains the sum of
// its domain, and tells its members the sum of all, of which each takes off its own. These
// lists are whole; what changes between two of them is told as in loadnews.go.

import (
	"time"

	"github.com/doormast/doormast/wire"
)

// pauseForBox is the least time between two tells of loads to the same box, for each
// box that a lead tells: with 10 boxes 200 ms, with 93 almost two seconds, so that what a
// lead sends grows with its domain and not with its square.
const pauseForBox = 20 * time.Millisecond

// SetLoads notes what this box itself has under way.
func (n *Node) SetLoads(l Loads) {
	n.noteChanges(n.loads, l, true)
	n.loads = l
}

// Others is what the other boxes have under way.
func (n *Node) Others() Loads { return n.others }

// tellLoads sends what has changed since it was last told.
func (n *Node) tellLoads(now time.Duration) {
	if n.Leads() {
		n.tellLoadsAsLead(now)
		return
	}
	n.loadsPause = 0
	if p := n.peers[n.lead().Name]; p != nil && p.leads {
		n.tellLoad(now, p, n.loads)
	}
}

// tellLoadsAsLead tells the members of the domain of all loads, and the other leads of the
// domain's.
func (n *Node) tellLoadsAsLead(now time.Duration) {
	n.loadsPause = time.Duration(n.domainBoxes(now)) * pauseForBox
	domain, foreign := n.sumLoads(now)
	all := Loads{}
	addLoads(all, domain)
	addLoads(all, foreign)
	n.others = without(all, n.loads)
	n.tellMembers(now, packLoads(all))
	for _, p := range n.peers {
		if p.leads && !n.sameDomain(p) && !n.gone(now, p) {
			n.tellLoad(now, p, domain)
		}
	}
}

// tellMembers tells all members the same: each takes off what it told itself, which is
// what this box knows of it. To make one message for each cost a lead more than all else.
func (n *Node) tellMembers(now time.Duration, packed []*wire.GroupLoad) {
	var m *wire.GroupMessage
	for _, p := range n.peers {
		if !n.sameDomain(p) || n.gone(now, p) || !n.worthTelling(now, p, packed) {
			continue
		}
		if m == nil {
			m = n.loadsMessage(now, packed)
			m.Whole = true
		}
		n.sendLoads(now, p, m)
	}
}

// gone reports whether a peer was not heard for so long that it is told nothing and its
// loads count no more.
func (n *Node) gone(now time.Duration, p *peer) bool { return now-p.heard > n.cfg.Timing.Member }

// sumLoads adds up this domain's loads, and those of the others.
func (n *Node) sumLoads(now time.Duration) (domain, foreign Loads) {
	domain, foreign = Loads{}, Loads{}
	addLoads(domain, n.loads)
	for _, p := range n.peers {
		switch {
		case n.gone(now, p):
			p.loads = nil
		case n.sameDomain(p):
			addLoads(domain, p.loads)
		case p.leads:
			addLoads(foreign, p.loads)
		}
	}
	return domain, foreign
}

// worthTelling reports whether loads have changed for a peer, or a beat has passed since
// it was told.
func (n *Node) worthTelling(now time.Duration, p *peer, packed []*wire.GroupLoad) bool {
	switch {
	case !p.told:
		return true
	case now-p.toldAt < n.loadsPause:
		return false
	case sameLoads(p.toldLoads, packed) && now-p.toldAt < n.cfg.Timing.Beat:
		return false
	}
	return len(packed) > 0 || len(p.toldLoads) > 0 // idle: nothing to repeat
}

// tellLoad tells a peer of loads, where that is worth while.
func (n *Node) tellLoad(now time.Duration, p *peer, l Loads) {
	if packed := packLoads(l); n.worthTelling(now, p, packed) {
		n.sendLoads(now, p, n.loadsMessage(now, packed))
	}
}

// loadsMessage makes a message that tells loads.
func (n *Node) loadsMessage(now time.Duration, packed []*wire.GroupLoad) *wire.GroupMessage {
	m := n.message(now)
	m.HasLoads, m.Loads = true, packed
	return m
}

// sendLoads sends a message that tells loads, and notes what the peer was told.
func (n *Node) sendLoads(now time.Duration, p *peer, m *wire.GroupMessage) {
	p.told, p.toldLoads, p.toldAt = true, m.Loads, now
	n.send(p.box.Address, m)
}

// takeLoads takes in what a peer tells.
func (n *Node) takeLoads(p *peer, m *wire.GroupMessage) {
	if !m.HasLoads {
		return
	}
	l := unpackLoads(m.Loads)
	switch {
	case !m.Leads || !n.sameDomain(p):
		n.noteChanges(p.loads, l, n.sameDomain(p))
		p.loads = l
	case p.box.Name != n.lead().Name: // only the lead's count
	case m.Whole && p.told:
		n.others = without(l, unpackLoads(p.toldLoads))
	default:
		n.others = l
	}
}
