package group

// This file defines how a box processes messages about membership and requests from other boxes.
// The invariant: a message sent before a box's restart is ignored once a message sent after it
// was received.

import (
	"time"

	"github.com/doormast/doormast/wire"
)

// Handle processes a received message.
func (n *Node) Handle(now time.Duration, m *wire.GroupMessage) {
	if m.Sender == nil || m.Sender.Name == "" || m.Sender.Name == n.cfg.Self.Name {
		return
	}
	if len(m.Kept) > 0 {
		n.handleParts(now, m)
		return
	}
	if carriesPriorCounts(m) {
		n.handlePriorCounts(now, m)
		return
	}
	if carriesReachReports(m) {
		n.handleReachReports(now, m)
		return
	}
	if carriesSuspectParts(m) {
		n.handleSuspectParts(now, m)
		return
	}
	if m.Partial {
		n.handleLoadChanges(m)
		return
	}
	if carriesSuspects(m) {
		n.handleSuspects(now, m)
		return
	}
	if carriesLimits(m) {
		n.handleLimits(now, m)
		return
	}
	p := n.recordSender(now, m.Sender)
	if p == nil {
		return // sent before a restart of the box
	}
	if p.timedOut || p.leaving != m.Leaving {
		n.chosenLeader = nil
	}
	p.lastHeard, p.timedOut, p.leaving = now, false, m.Leaving
	n.heardPeer = true
	p.isLeader, p.canRead, p.hasPublished = m.Leads, m.Reads, m.Revision > 0
	n.recordReadingStatus(now, m)
	if !m.Leads && !n.sameDomain(p) {
		p.loadsAt, p.regionLoadsAt, p.otherRegionLoadsAt = never, never, never // it no longer reports sums of other boxes
	}
	if m.Leads {
		p.domainBoxes = int(m.DomainBoxes)
	}
	if m.Leads && n.sameDomain(p) {
		n.maxDomainBoxes = max(n.maxDomainBoxes, int(m.DomainBoxes))
		p.unreachable = m.CutOff
	}
	for _, b := range m.Boxes {
		n.recordListed(now, b)
	}
	n.receiveQuotaPeers(now, p, m)
	n.maxBoxes = max(n.maxBoxes, int(m.AllBoxes))
	n.receiveLoads(now, p, m)
	n.receiveLanes(now, p, m)
	n.receiveClasses(now, p, m)
	if !m.Hello { // the sender may not know this box before the answer, and sends its digests then
		n.reconcile(now, p, m)
	}
	n.reply(now, m, p)
	n.updatePublished(now, m)
}

// reconcile compares the digests in a heartbeat with those of this box's entries.
func (n *Node) reconcile(now time.Duration, p *peer, m *wire.GroupMessage) {
	n.suspects.reconcile(n, now, p, m.WithheldDigest)
	n.suspectParts.reconcile(n, now, p, m.PartsEndedDigest)
	n.limits.reconcile(n, now, p, m.LimitsDigest)
}

// recordListed records a box that another box listed. Only leaders are listed across domains, so
// it counts as leader until its own messages say otherwise.
func (n *Node) recordListed(now time.Duration, b *wire.GroupBox) {
	if b.Name == n.cfg.Self.Name {
		return
	}
	known := n.peers[b.Name] != nil
	p := n.recordPeer(b)
	if p == nil {
		return
	}
	p.lastListed = now
	if !known {
		p.isLeader = b.Domain != n.cfg.Self.Domain
	}
}

// newPeer returns the state of a box from which nothing was received yet.
func newPeer(b *wire.GroupBox) *peer {
	return &peer{box: b, lastHeard: never, lastListed: never, classesAt: never, loadsAt: never, regionLoadsAt: never, otherRegionLoadsAt: never}
}

// recordPeer records a box. It returns nil if a later start of the box is known.
func (n *Node) recordPeer(b *wire.GroupBox) *peer {
	p := n.peers[b.Name]
	n.reachByAddress[b.Address] = ReachOf(n.cfg.Self, b)
	switch {
	case p == nil:
		p = newPeer(b)
		n.peers[b.Name], n.chosenLeader = p, nil
	case b.Boot < p.box.Boot:
		return nil
	case b.Boot > p.box.Boot:
		p.box, p.timedOut, p.leaving = b, false, false
		p.loadsSent, p.sentLoads = false, nil // the restarted box no longer has the loads sent to it
		n.chosenLeader = nil
	}
	return p
}

// recordSender records the sender of a message. It returns nil if a later start of the box is
// known, unless that one has timed out: then the box's clock was set back between its two starts,
// and the earlier start time is accepted.
func (n *Node) recordSender(now time.Duration, b *wire.GroupBox) *peer {
	if p := n.recordPeer(b); p != nil {
		return p
	}
	if now-n.peers[b.Name].lastHeard < n.cfg.Timing.MemberTimeout {
		return nil
	}
	p := newPeer(b)
	n.peers[b.Name], n.chosenLeader = p, nil
	return p
}

// reply answers the sender's request, or sends it information it lacks.
func (n *Node) reply(now time.Duration, m *wire.GroupMessage, p *peer) {
	switch {
	case m.Ask:
		n.sendChanges(now, p.box.Address, m.Revision)
	case m.Hello:
		n.answerHello(now, p)
	case m.Leads && !m.Leaving && n.sameDomain(p) && n.IsLeader():
		// It does not know of this box yet. Of two that leave neither yields to the other.
		n.send(p.box.Address, n.newMessage(now))
	case n.needsLeaderRedirect(now, p, m):
		response := n.newMessage(now)
		response.Boxes = []*wire.GroupBox{n.leader()}
		n.send(p.box.Address, response)
	}
}

// needsLeaderRedirect reports whether a member's heartbeat reached this box although it does not
// lead, and this box hears the actual leader. The sender followed a box that led briefly, or the
// strongest one it knows. Without an answer it would wait until the timeout and then act as
// leader itself.
func (n *Node) needsLeaderRedirect(now time.Duration, p *peer, m *wire.GroupMessage) bool {
	isHeartbeat := !m.Leads && !m.Leaving && len(m.Boxes) == 0 && KindOf(m) == KindHeartbeat // an answer lists boxes
	return isHeartbeat && n.sameDomain(p) && !n.IsLeader() && n.leader().Name != p.box.Name && now-n.leaderLastHeard() < n.cfg.Timing.LeaderTimeout
}
