package group

// This file defines how boxes tell each other which parts of prompts were sent to which
// upstreams. A member sends this to its leader. The leader forwards it to its members and to the
// other leaders of its region. The region leader sends it to one leader of each other region, and
// forwards what it receives from there to the leaders of its own region. The invariants: a box
// sends each item a bounded number of times. Items from another domain of the region are
// forwarded to no other domain, and items from another region to no other region.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// partsSendCount is the number of consecutive messages that carry an item, because one may be
	// lost.
	partsSendCount = 2
	// partsRepeatWindow is the time within which an identical list counts as the second
	// transmission: a few ticks of 100 ms. Later on it is a new list, because parts are announced
	// again after a while.
	partsRepeatWindow = 500 * time.Millisecond
	// maxPartsPerMessage bounds the items in a message, which stays within 6 KB including its
	// header.
	maxPartsPerMessage = 600
	// partsSendOnceFrom is the number of pending items from which each is sent only once: that
	// many per tick of 100 ms take 4 KB/s to each receiving box.
	partsSendOnceFrom = 50
	// maxPendingParts bounds the items waiting to be sent. Further ones are dropped.
	maxPendingParts = 8 * maxPartsPerMessage
)

// pendingPart is an item to be sent.
type pendingPart struct {
	part        balance.PartReport
	source      string // the box it was received from; empty: this box
	reach       Reach  // how far away the source is
	membersOnly bool   // it already crossed the boundary of this region: only members are sent it
	sendsLeft   int    // messages that still have to carry it
}

// receivedParts is the last list that a box sent in one scope.
type receivedParts struct {
	list []balance.PartReport
	at   time.Duration
}

// AnnounceSentParts queues the parts that this box sent to upstreams, to be announced.
func (n *Node) AnnounceSentParts(list []balance.PartReport) {
	n.queueParts(pendingPart{reach: ReachDomain}, list)
}

// DrainSentParts returns the parts announced by other boxes since the last call.
func (n *Node) DrainSentParts() []balance.PartReport {
	received := n.receivedParts
	n.receivedParts = nil
	return received
}

// queueParts queues a list to be sent. template holds the source and reach.
func (n *Node) queueParts(template pendingPart, list []balance.PartReport) {
	template.sendsLeft = partsSendCount
	for _, k := range list {
		if len(n.pendingParts) >= maxPendingParts {
			return
		}
		template.part = k
		n.pendingParts = append(n.pendingParts, template)
	}
}

// handleParts processes a message with prompt parts. Such a message does not count as a
// heartbeat.
func (n *Node) handleParts(now time.Duration, m *wire.GroupMessage) {
	if p := n.peers[m.Sender.Name]; p != nil && p.box.Boot == m.Sender.Boot {
		n.receiveParts(now, p, m)
	}
}

// receiveParts records the parts in a message. A leader forwards them unless the sender sent the
// same list just before. A list that repeats items along with new ones is forwarded, because the
// first message may have been lost.
func (n *Node) receiveParts(now time.Duration, p *peer, m *wire.GroupMessage) {
	list := unpackParts(m.Kept)
	if len(list) == 0 {
		return
	}
	if room := maxPendingParts - len(n.receivedParts); len(list) > room {
		list = list[:room]
	}
	n.receivedParts = append(n.receivedParts, list...)
	if !n.IsLeader() {
		return
	}
	if p.lastParts == nil {
		p.lastParts = make(map[uint32]receivedParts)
	}
	last := p.lastParts[m.Scope]
	p.lastParts[m.Scope] = receivedParts{list, now}
	if now-last.at < partsRepeatWindow && slices.Equal(list, last.list) {
		return
	}
	n.queueParts(pendingPart{source: p.box.Name, reach: ReachOf(n.cfg.Self, p.box), membersOnly: m.Scope == scopeOtherRegions}, list)
}

// sendParts sends pending items. A leader builds one message for all its members and one for all
// other leaders of its region.
func (n *Node) sendParts(now time.Duration) {
	if len(n.pendingParts) == 0 {
		return
	}
	list := n.pendingParts[:min(len(n.pendingParts), maxPartsPerMessage)]
	if n.IsLeader() {
		n.sendPartsAsLeader(now, list)
	} else if p := n.peers[n.leader().Name]; p != nil && p.isLeader {
		n.sendPartsTo([]*peer{p}, list, scopeDomain, func(pendingPart) bool { return true })
	}
	sends := 1
	if len(n.pendingParts) >= partsSendOnceFrom {
		sends = partsSendCount
	}
	for i := range list {
		list[i].sendsLeft -= sends
	}
	n.dropSentParts()
}

// sendPartsAsLeader sends items to a leader's members and to other leaders.
func (n *Node) sendPartsAsLeader(now time.Duration, list []pendingPart) {
	nearLeaders := n.nearLeaders(now)
	n.sendPartsTo(n.members(now), list, scopeDomain, func(pendingPart) bool { return true })
	n.sendPartsTo(nearLeaders, list, scopeDomain, func(k pendingPart) bool { return k.reach == ReachDomain })
	if n.regionLeader(now) != n.cfg.Self {
		return
	}
	n.sendPartsTo(n.otherRegionLeaders(now), list, scopeRegion, func(k pendingPart) bool { return k.reach != ReachOtherRegion && !k.membersOnly })
	n.sendPartsTo(nearLeaders, list, scopeOtherRegions, func(k pendingPart) bool { return k.reach == ReachOtherRegion })
}

// sendPartsTo sends the items accepted by fits to some boxes, except to the box that all of them
// came from.
func (n *Node) sendPartsTo(to []*peer, list []pendingPart, scope uint32, fits func(pendingPart) bool) {
	m, source := n.partsMessage(list, fits)
	if m == nil {
		return
	}
	m.Scope = scope
	for _, p := range to {
		if p.box.Name != source {
			n.send(p.box.Address, m)
		}
	}
}

// partsMessage returns a message with the items accepted by fits, or nil if there are none.
// source is the box that all of them came from, which need not receive them, or empty if there
// are several or it is this box.
func (n *Node) partsMessage(list []pendingPart, fits func(pendingPart) bool) (m *wire.GroupMessage, source string) {
	m = &wire.GroupMessage{Sender: &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot}}
	for _, k := range list {
		if !fits(k) {
			continue
		}
		if len(m.Kept) == 0 {
			source = k.source
		}
		if k.source != source {
			source = ""
		}
		m.Kept = append(m.Kept, k.part.Part, k.part.Upstream)
	}
	if len(m.Kept) == 0 {
		return nil, ""
	}
	return m, source
}

// dropSentParts removes items that were sent often enough.
func (n *Node) dropSentParts() {
	n.pendingParts = slices.DeleteFunc(n.pendingParts, func(k pendingPart) bool { return k.sendsLeft <= 0 })
}

// unpackParts decodes pairs of part and upstream hashes.
func unpackParts(words []uint32) []balance.PartReport {
	list := make([]balance.PartReport, 0, len(words)/2)
	for ; len(words) >= 2; words = words[2:] {
		list = append(list, balance.PartReport{Part: words[0], Upstream: words[1]})
	}
	return list
}
