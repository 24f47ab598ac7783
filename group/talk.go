package group

// This file defines what a box says, and when. The invariant: every message says who
// sends it, up to which revision it knows what is published, and how old that is.

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doormast/doormast/wire"
)

const (
	// maxListed bounds the boxes named in one message.
	maxListed = 48
	// listedFor is for how many of Timing.Member a box that is not heard goes on
	// being named.
	listedFor = 4
	// longestAge bounds the ages and times that are read from messages.
	longestAge = time.Hour
)

// Tick does what is due by time.
func (n *Node) Tick(now time.Duration) {
	n.noteTick(now)
	n.watchLead(now)
	n.tellLoads(now)
	n.tellKept(now)
	n.FlushSuspects(now)
	n.FlushLimits(now)
	n.fetchWanted(now)
	n.hailAgain(now)
	if now-n.lastBeat < n.cfg.Timing.Beat {
		return
	}
	n.lastBeat = now
	if n.IsLeader() {
		n.most = max(n.most, n.allBoxes(now))
		n.mostHere = max(n.mostHere, n.domainBoxes(now))
		n.beatAll(now)
		return
	}
	n.beatLead(now)
	if now-n.heardLead() > n.cfg.Timing.Silence {
		n.hail(now)
	}
}

// watchLead passes over a lead that is not heard.
func (n *Node) watchLead(now time.Duration) {
	lead := n.lead()
	if lead.Name != n.leadName {
		n.follow(now, lead.Name)
	}
	p := n.peers[lead.Name]
	if p == nil {
		return
	}
	if now-max(p.heard, n.waitsFrom) > n.cfg.Timing.Silence {
		p.silent, n.chosen = true, nil
		n.follow(now, n.lead().Name)
		if n.IsLeader() {
			n.lastBeat = never // the others are to know at once
		}
	}
}

// follow notes who leads from now on: what that one was told when it led before is old.
func (n *Node) follow(now time.Duration, name string) {
	n.leadName, n.waitsFrom = name, now
	if p := n.peers[name]; p != nil {
		p.told, p.toldLoads = false, nil
	}
}

// heardLead is when the present lead was heard last.
func (n *Node) heardLead() time.Duration {
	if p := n.peers[n.lead().Name]; p != nil && p.leads {
		return p.heard
	}
	return never
}

// beatLead sends a member's beat to its lead.
func (n *Node) beatLead(now time.Duration) {
	m := n.message(now)
	if p := n.peers[n.lead().Name]; p != nil {
		m.Classes = n.classesFor(p, n.packClasses(now))
	}
	n.send(n.lead().Address, m)
}

// beatAll sends a lead's beat to its domain, to the other leads, and, as long as it
// knows nobody, to the seeds.
func (n *Node) beatAll(now time.Duration) {
	foreign := false
	classes := n.packClasses(now)
	n.beats++
	heard := n.heardDomains(now)
	for _, p := range n.peers {
		if !n.sameDomain(p) && !n.wantsBeat(now, p, heard) {
			continue
		}
		foreign = foreign || !n.sameDomain(p) && now-p.heard < n.cfg.Timing.Member
		m := n.message(now)
		list := n.listIfNew(p, now)
		m.Boxes, m.Sharers = list.boxes, list.sharers
		m.Classes = n.classesFor(p, classes)
		n.send(p.box.Address, m)
	}
	n.lists, n.greets = nil, false
	if !foreign || now-n.started < seeksFor {
		n.hail(now)
	}
}

// seeksFor is how long after its start a lead asks the seeds with each beat, whomever it hears: they may have known
// nobody when it first asked. Without that some led alone, or with one other box, for up to 3.25 s after
// all boxes were killed.
const seeksFor = 10 * time.Second

// silentEvery is each how many beats a lead of a domain that is not heard gets one: a domain
// that was cut off is found again within 2 s, and not flooded.
const silentEvery = 5

// heardDomains are the other domains of which a lead was heard lately.
func (n *Node) heardDomains(now time.Duration) map[string]bool {
	heard := make(map[string]bool)
	for _, p := range n.peers {
		if p.leads && !n.sameDomain(p) && !n.gone(now, p) {
			heard[p.box.Domain] = true
		}
	}
	return heard
}

// wantsBeat reports whether a box of another domain gets a beat. All leads do that a new one knows
// of, as it has never heard them and is to be told what they have under way; else those that led one when they
// were last heard do seldom, or not at all where another one leads it now. After many boxes
// have started at once, most have led their domain for a moment.
func (n *Node) wantsBeat(now time.Duration, p *peer, heard map[string]bool) bool {
	switch {
	case !p.leads:
		return false
	case n.greets || !n.gone(now, p) || now-p.named < n.cfg.Timing.Member && p.heard < 0:
		return true
	}
	return !heard[p.box.Domain] && n.beats%silentEvery == 0
}

// listEvery is after how many beats a list that has not changed is told again, since
// the datagram with the last change may have been lost.
const listEvery = 30

// boxList is the boxes that a domain should know, with a digest of them.
type boxList struct {
	boxes   []*wire.GroupBox
	sharers []uint32
	digest  uint64
}

// listIfNew is the list for a peer, or an empty one if it knows it.
func (n *Node) listIfNew(p *peer, now time.Duration) boxList {
	of := p.box.Domain
	if !n.sameDomain(p) {
		of = "" // its members know each other: it is told of leads alone
	}
	l, ok := n.lists[of]
	if !ok {
		l.boxes = n.listFor(of, now)
		for _, b := range l.boxes {
			l.digest += xxhash.Sum64String(b.Name) ^ b.Boot // in no order
		}
		if n.sameDomain(p) {
			l.sharers = n.packSharers(now)
		}
		for _, key := range l.sharers {
			l.digest += weighKey(key)
		}
		if n.lists == nil {
			n.lists = make(map[string]boxList)
		}
		n.lists[of] = l
	}
	p.beats++
	if p.toldList == l.digest && p.beats%listEvery != 0 {
		return boxList{}
	}
	p.toldList = l.digest
	return l
}

// weighKey spreads a hash over a digest.
func weighKey(key uint32) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, key))
}

// hail asks the seeds who is there.
func (n *Node) hail(now time.Duration) {
	for _, address := range n.cfg.Seeds {
		if address == n.cfg.Self.Address {
			continue
		}
		m := n.message(now)
		m.Hello = true
		n.send(address, m)
	}
}

// message is what every message says.
func (n *Node) message(now time.Duration) *wire.GroupMessage {
	m := &wire.GroupMessage{
		Sender:       n.cfg.Self,
		Leaving:      n.leaving,
		Revision:     n.cfg.Mirror.Revision(),
		ConfirmedAge: micros(now - n.confirmed),
		DoubtLeft:    micros(n.doubt - now),
		Reading:      n.tellsReading(now),

		WithheldDigest: n.suspects.digest,
		LimitsDigest:   n.limits.digest,
	}
	if n.IsLeader() {
		m.Leads, m.Reads = true, !n.readFails
		m.DomainBoxes, m.AllBoxes = uint32(n.domainBoxes(now)), uint32(n.most)
		m.Lanes = n.packLanes(now)
		m.CutOff = n.cutOff
	}
	return m
}

// micros is a time as messages hold it, in microseconds; none is below 0.
func micros(d time.Duration) uint64 { return uint64(max(d, 0) / time.Microsecond) }

// fromMicros reads a time from a message.
func fromMicros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(longestAge/time.Microsecond))) * time.Microsecond
}

func (n *Node) send(to string, m *wire.GroupMessage) {
	n.out = append(n.out, Outgoing{to, n.reachOf(to), m})
}

// maxForeign bounds the boxes of a domain that a box of another one names: the strongest, of
// which one leads it and names the others.
const maxForeign = 8

// listFor names the boxes that a box of the domain should know: those of its own, and the
// strongest lead of each other. Where they are too many, the strongest are named, since they
// lead next. An empty domain is that of no box: leads alone are named.
func (n *Node) listFor(domain string, now time.Duration) []*wire.GroupBox {
	var own []*wire.GroupBox
	leads := make(map[string]*wire.GroupBox)
	for _, p := range n.peers {
		switch recent := now-p.heard < listedFor*n.cfg.Timing.Member; {
		case !recent || p.leaving:
		case p.box.Domain == domain:
			own = append(own, p.box)
		case p.leads && (leads[p.box.Domain] == nil || better(p.box, leads[p.box.Domain])):
			leads[p.box.Domain] = p.box
		}
	}
	slices.SortFunc(own, strongestFirst)
	if domain != n.cfg.Self.Domain {
		own = own[:min(len(own), maxForeign)]
	}
	list := slices.AppendSeq(own, maps.Values(leads))
	slices.SortFunc(list, strongestFirst)
	return list[:min(len(list), maxListed)]
}
