package group

// This file defines how a box takes in what others say: who they are, and what they
// ask. The invariant: of two lives of a box, what the earlier one says is not taken
// over what the later one said.

import (
	"time"

	"github.com/doormast/doormast/wire"
)

// Handle takes in a message.
func (n *Node) Handle(now time.Duration, m *wire.GroupMessage) {
	if m.Sender == nil || m.Sender.Name == "" || m.Sender.Name == n.cfg.Self.Name {
		return
	}
	if len(m.Kept) > 0 {
		n.handleKept(now, m)
		return
	}
	if m.Partial {
		n.handleChangedLoads(m)
		return
	}
	if tellsSuspects(m) {
		n.handleSuspects(now, m)
		return
	}
	if tellsLimits(m) {
		n.handleLimits(now, m)
		return
	}
	p := n.noteSender(now, m.Sender)
	if p == nil {
		return // an earlier life of the box
	}
	if p.silent || p.leaving != m.Leaving {
		n.chosen = nil
	}
	p.heard, p.silent, p.leaving = now, false, m.Leaving
	n.heardOthers = true
	p.leads, p.reads, p.knows = m.Leads, m.Reads, m.Revision > 0
	n.hearReading(now, m)
	if !m.Leads && !n.sameDomain(p) {
		p.loadsAt, p.regionAt, p.beyondAt = never, never, never // it speaks for others no more
	}
	if m.Leads {
		p.boxes = int(m.DomainBoxes)
	}
	if m.Leads && n.sameDomain(p) {
		n.mostHere = max(n.mostHere, int(m.DomainBoxes))
		p.cutOff = m.CutOff
	}
	for _, b := range m.Boxes {
		n.noteListed(now, b)
	}
	n.takeSharers(now, p, m)
	n.most = max(n.most, int(m.AllBoxes))
	n.takeLoads(now, p, m)
	n.takeLanes(now, p, m)
	n.takeClasses(now, p, m)
	n.suspects.compare(n, now, p, m.WithheldDigest)
	n.limits.compare(n, now, p, m.LimitsDigest)
	n.answer(now, m, p)
	n.learn(now, m)
}

// noteListed remembers a box that another box named. Of other domains only leads
// are named, so it is one until it says otherwise itself.
func (n *Node) noteListed(now time.Duration, b *wire.GroupBox) {
	if b.Name == n.cfg.Self.Name {
		return
	}
	known := n.peers[b.Name] != nil
	p := n.note(b)
	if p == nil {
		return
	}
	p.named = now
	if !known {
		p.leads = b.Domain != n.cfg.Self.Domain
	}
}

// newPeer is a box that nothing was heard of yet.
func newPeer(b *wire.GroupBox) *peer {
	return &peer{box: b, heard: never, named: never, classesAt: never, loadsAt: never, regionAt: never, beyondAt: never}
}

// note remembers a box; nil means that a later life of it is known.
func (n *Node) note(b *wire.GroupBox) *peer {
	p := n.peers[b.Name]
	n.reaches[b.Address] = ReachOf(n.cfg.Self, b)
	switch {
	case p == nil:
		p = newPeer(b)
		n.peers[b.Name], n.chosen = p, nil
	case b.Boot < p.box.Boot:
		return nil
	case b.Boot > p.box.Boot:
		p.box, p.silent, p.leaving = b, false, false
		p.told, p.toldLoads = false, nil // what the earlier life was told is lost
		n.chosen = nil
	}
	return p
}

// noteSender remembers the box that sent a message; nil means that a later life of it
// is known. One that is heard with an older start than one that has fallen silent is
// taken at its word: its clock was set back between the two.
func (n *Node) noteSender(now time.Duration, b *wire.GroupBox) *peer {
	if p := n.note(b); p != nil {
		return p
	}
	if now-n.peers[b.Name].heard < n.cfg.Timing.Member {
		return nil
	}
	p := newPeer(b)
	n.peers[b.Name], n.chosen = p, nil
	return p
}

// answer replies to what the sender asks, or should know.
func (n *Node) answer(now time.Duration, m *wire.GroupMessage, p *peer) {
	switch {
	case m.Ask:
		n.sendChanges(now, p.box.Address, m.Revision)
	case m.Hello:
		reply := n.message(now)
		reply.Boxes = n.listFor(p.box.Domain, now)
		if n.IsLeader() && n.sameDomain(p) {
			reply.Sharers = n.packSharers(now)
		}
		reply.Classes = n.classesFor(p, n.packClasses(now))
		n.send(p.box.Address, reply)
	case m.Leads && n.sameDomain(p) && n.IsLeader():
		n.send(p.box.Address, n.message(now)) // it does not know of this box yet
	case n.takesForLead(now, p, m):
		reply := n.message(now)
		reply.Boxes = []*wire.GroupBox{n.lead()}
		n.send(p.box.Address, reply)
	}
}

// takesForLead reports whether a member's beat came to this box, which does not lead but hears who does: it led for a
// moment, or is the strongest that the other one knows. Without an answer that one would wait for it in vain, and then
// take itself for the lead.
func (n *Node) takesForLead(now time.Duration, p *peer, m *wire.GroupMessage) bool {
	isBeat := !m.Leads && !m.Leaving && len(m.Boxes) == 0 && KindOf(m) == KindHeartbeat // an answer names boxes
	return isBeat && n.sameDomain(p) && !n.IsLeader() && n.lead().Name != p.box.Name && now-n.heardLead() < n.cfg.Timing.Silence
}
