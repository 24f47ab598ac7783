package group

// This file defines which membership messages a box sends, and when. The invariant: each message
// built by newMessage names its sender, the revision of its copy of the published data, and the
// age of that copy.

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/wire"
)

const (
	// maxListed bounds the boxes listed in one message.
	maxListed = 48
	// listedTimeouts is the number of member timeouts for which a box that is no longer heard is
	// still listed.
	listedTimeouts = 4
	// maxAge bounds the ages and durations read from messages.
	maxAge = time.Hour
)

// Tick performs all work that is due at the given time.
func (n *Node) Tick(now time.Duration) {
	n.recordTick(now)
	n.checkLeader(now)
	n.sendLoads(now)
	n.sendParts(now)
	n.FlushSuspects(now)
	n.FlushLimits(now)
	n.FlushPriorCounts(now)
	n.FlushReachReports(now)
	n.startPendingPull(now)
	n.retryHello(now)
	if now-n.lastHeartbeat < n.cfg.Timing.HeartbeatInterval {
		return
	}
	n.lastHeartbeat = now
	if n.IsLeader() {
		n.maxBoxes = max(n.maxBoxes, n.allBoxes(now))
		n.maxDomainBoxes = max(n.maxDomainBoxes, n.domainBoxes(now))
		n.sendLeaderHeartbeats(now)
		return
	}
	n.sendMemberHeartbeat(now)
	if now-n.leaderLastHeard() > n.cfg.Timing.LeaderTimeout {
		n.sendHello(now)
	}
}

// checkLeader selects another leader if the current one has timed out.
func (n *Node) checkLeader(now time.Duration) {
	leader := n.leader()
	if leader.Name != n.expectedLeader {
		n.followLeader(now, leader.Name)
	}
	p := n.peers[leader.Name]
	if p == nil {
		return
	}
	if now-max(p.lastHeard, n.expectedSince) > n.cfg.Timing.LeaderTimeout {
		p.timedOut, n.chosenLeader = true, nil
		n.followLeader(now, n.leader().Name)
		if n.IsLeader() {
			n.lastHeartbeat = never // announce the new leader at once
		}
	}
}

// followLeader records the new leader. Loads sent to it in an earlier term no longer count as
// sent.
func (n *Node) followLeader(now time.Duration, name string) {
	n.expectedLeader, n.expectedSince = name, now
	if p := n.peers[name]; p != nil {
		p.loadsSent, p.sentLoads = false, nil
	}
}

// leaderLastHeard returns the time of the last message from the current leader.
func (n *Node) leaderLastHeard() time.Duration {
	if p := n.peers[n.leader().Name]; p != nil && p.isLeader {
		return p.lastHeard
	}
	return never
}

// sendMemberHeartbeat sends a member's heartbeat to its leader.
func (n *Node) sendMemberHeartbeat(now time.Duration) {
	m := n.newMessage(now)
	if p := n.peers[n.leader().Name]; p != nil {
		m.Classes = n.classesFor(p, n.packClasses(now))
	}
	n.send(n.leader().Address, m)
}

// sendLeaderHeartbeats sends a leader's heartbeat to its domain and to the other leaders. While
// it hears no other domain, and shortly after its start, it also sends a hello to the seeds.
func (n *Node) sendLeaderHeartbeats(now time.Duration) {
	hearsOtherDomain := false
	classes := n.packClasses(now)
	n.heartbeats++
	heard := n.heardDomains(now)
	for _, p := range n.peers {
		if !n.sameDomain(p) && !n.needsHeartbeat(now, p, heard) {
			continue
		}
		hearsOtherDomain = hearsOtherDomain || !n.sameDomain(p) && now-p.lastHeard < n.cfg.Timing.MemberTimeout
		m := n.newMessage(now)
		list := n.changedBoxList(p, now)
		m.Boxes, m.Sharers = list.boxes, list.quotaPeers
		m.Classes = n.classesFor(p, classes)
		n.send(p.box.Address, m)
	}
	n.boxLists, n.announcesLeadership = nil, false
	if !hearsOtherDomain || now-n.started < seedHelloPeriod {
		n.sendHello(now)
	}
}

// seedHelloPeriod is how long after its start a leader sends a hello to the seeds with each
// heartbeat, even if it hears other leaders. The seeds may have known no box when it first asked.
// Without these repeats some boxes led alone, or with one other box, for up to 3.25 s after a
// restart of the whole fleet.
const seedHelloPeriod = 10 * time.Second

// silentDomainInterval is the number of heartbeats after which a leader of a domain that is not
// heard is sent one. A domain that was cut off is found again within 2 s without being flooded.
const silentDomainInterval = 5

// heardDomains returns the other domains whose leader was heard recently.
func (n *Node) heardDomains(now time.Duration) map[string]bool {
	heard := make(map[string]bool)
	for _, p := range n.peers {
		if p.isLeader && !n.sameDomain(p) && !n.isGone(now, p) {
			heard[p.box.Domain] = true
		}
	}
	return heard
}

// needsHeartbeat reports whether a box of another domain is sent a heartbeat. A new leader sends
// one to all leaders it knows, because they have not heard it yet and should send it their loads.
// Former leaders that are no longer heard get one rarely, or none if another leader of their
// domain is heard: when many boxes start at once, most of them lead their domain briefly.
func (n *Node) needsHeartbeat(now time.Duration, p *peer, heard map[string]bool) bool {
	switch {
	case !p.isLeader:
		return false
	case n.announcesLeadership || !n.isGone(now, p) || now-p.lastListed < n.cfg.Timing.MemberTimeout && p.lastHeard < 0:
		return true
	}
	return !heard[p.box.Domain] && n.heartbeats%silentDomainInterval == 0
}

// listResendInterval is the number of heartbeats after which an unchanged list is sent again,
// because the datagram with the last change may have been lost.
const listResendInterval = 30

// boxList is the list of boxes sent to one domain, with its digest.
type boxList struct {
	boxes      []*wire.GroupBox
	quotaPeers []uint32
	digest     uint64
	size       int // bytes in a message
}

// changedBoxList returns the list for a peer, or an empty one if the peer already has it.
func (n *Node) changedBoxList(p *peer, now time.Duration) boxList {
	domain := p.box.Domain
	if !n.sameDomain(p) {
		domain = "" // its members know each other, so only leaders are listed
	}
	l, ok := n.boxLists[domain]
	if !ok {
		l.boxes = n.boxesFor(domain, now)
		for _, b := range l.boxes {
			l.digest += xxhash.Sum64String(b.Name) ^ b.Boot // independent of the order
		}
		if n.sameDomain(p) {
			l.quotaPeers = n.packQuotaPeers(now)
		}
		for _, key := range l.quotaPeers {
			l.digest += hashKey(key)
		}
		l.size = proto.Size(&wire.GroupMessage{Boxes: l.boxes, Sharers: l.quotaPeers})
		if n.boxLists == nil {
			n.boxLists = make(map[string]boxList)
		}
		n.boxLists[domain] = l
	}
	p.heartbeats++
	if p.sentListDigest == l.digest && p.heartbeats%listResendInterval != 0 {
		return boxList{}
	}
	if !n.listBudget.take(now, n.cfg.LinkRate, l.size) {
		return boxList{} // the next heartbeat carries it
	}
	p.sentListDigest = l.digest
	return l
}

// hashKey hashes a key before it is added to a digest.
func hashKey(key uint32) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, key))
}

// sendHello asks the seeds which boxes are running.
func (n *Node) sendHello(now time.Duration) {
	for _, address := range n.cfg.Seeds {
		if address == n.cfg.Self.Address {
			continue
		}
		m := n.newMessage(now)
		m.Hello = true
		n.send(address, m)
	}
}

// newMessage returns a message with the fields common to all membership messages.
func (n *Node) newMessage(now time.Duration) *wire.GroupMessage {
	m := &wire.GroupMessage{
		Sender:         n.cfg.Self,
		Leaving:        n.leaving,
		Revision:       n.cfg.Mirror.Revision(),
		ConfirmedAge:   micros(now - n.confirmedAt),
		DoubtLeft:      micros(n.fleetAnswers.covered.uncertainUntil - now),
		Coverage:       packCoverage(now, n.fleetAnswers.covered),
		DomainCoverage: packCoverage(now, n.domainAnswers.covered),
		Reading:        n.readingStatus(now),

		WithheldDigest:   n.suspects.digest,
		PartsEndedDigest: n.suspectParts.digest,
		LimitsDigest:     n.limits.digest,
	}
	if n.IsLeader() {
		m.Leads, m.Reads = true, !n.cannotRead(now)
		m.DomainBoxes, m.AllBoxes = uint32(n.domainBoxes(now)), uint32(n.maxBoxes)
		m.Lanes = n.packLanes(now)
		m.CutOff = n.unreachable
	}
	return m
}

// micros converts a duration to the microseconds used in messages. Negative durations become 0.
func micros(d time.Duration) uint64 { return uint64(max(d, 0) / time.Microsecond) }

// fromMicros converts microseconds from a message, bounded by maxAge.
func fromMicros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxAge/time.Microsecond))) * time.Microsecond
}

func (n *Node) send(to string, m *wire.GroupMessage) {
	n.out = append(n.out, Outgoing{to, n.reachOf(to), m})
}

// maxForeignListed bounds how many boxes of its own domain a box lists to another domain: the
// strongest ones, one of which is the leader and lists the others.
const maxForeignListed = 8

// boxesFor returns the boxes to list to a domain: the domain's own boxes and the strongest leader
// of each other domain. If there are too many, the strongest are listed, because they lead next.
// With an empty domain, only leaders are listed.
func (n *Node) boxesFor(domain string, now time.Duration) []*wire.GroupBox {
	var own []*wire.GroupBox
	leaders := make(map[string]*wire.GroupBox)
	for _, p := range n.peers {
		switch recent := now-p.lastHeard < listedTimeouts*n.cfg.Timing.MemberTimeout; {
		case !recent || p.leaving:
		case p.box.Domain == domain:
			own = append(own, p.box)
		case p.isLeader && (leaders[p.box.Domain] == nil || stronger(p.box, leaders[p.box.Domain])):
			leaders[p.box.Domain] = p.box
		}
	}
	slices.SortFunc(own, strongestFirst)
	if domain != n.cfg.Self.Domain {
		own = own[:min(len(own), maxForeignListed)]
	}
	list := slices.AppendSeq(own, maps.Values(leaders))
	slices.SortFunc(list, strongestFirst)
	return list[:min(len(list), maxListed)]
}
