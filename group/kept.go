package group

// This file defines how boxes tell each other which upstreams were sent which parts of
// prompts. A member tells its lead; the lead its members, and the other leads of its region;
// the region's lead one lead of each other region, and the leads of its own what it hears from
// there. The invariant: a box tells each thing a bounded number of times, what comes from
// another domain of the region goes to no other one, and what comes from another region to no
// other region.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// keptTells is how many messages in a row tell a thing, since one may be lost.
	keptTells = 2
	// keptRepeats is how long after a list the same one is only told for the second
	// time: a few ticks of 100 ms. Later on it is news: a part is told again after a while.
	keptRepeats = 500 * time.Millisecond
	// maxKept bounds the things that a message tells; with its head it stays within 6 KB.
	maxKept = 600
	// keptOnceFrom is from how many things that wait each is told once only: so many in a
	// tick of 100 ms take 4 KB/s of each box that hears of them.
	keptOnceFrom = 50
	// maxKeptWaiting bounds what waits to be told; what comes beyond is left out.
	maxKeptWaiting = 8 * maxKept
)

// keptNews is something to tell.
type keptNews struct {
	kept  balance.PartReport
	from  string // the box it came from; empty: this one
	reach Reach  // how far away that box, or the one it heard it from, is
	final bool   // it has crossed the edge of this region already: only members are told
	tells int    // messages that are to tell it still
}

// heardKept is what a box told last, of one scope.
type heardKept struct {
	list []balance.PartReport
	at   time.Duration
}

// AnnounceSentParts notes what this box sent to upstreams, to be told.
func (n *Node) AnnounceSentParts(list []balance.PartReport) {
	n.queueKept(keptNews{reach: ReachDomain}, list)
}

// DrainSentParts returns, once, what other boxes told.
func (n *Node) DrainSentParts() []balance.PartReport {
	heard := n.keptHeard
	n.keptHeard = nil
	return heard
}

// queueKept puts a list among what waits to be told; as says where it came from.
func (n *Node) queueKept(as keptNews, list []balance.PartReport) {
	as.tells = keptTells
	for _, k := range list {
		if len(n.keptNews) >= maxKeptWaiting {
			return
		}
		as.kept = k
		n.keptNews = append(n.keptNews, as)
	}
}

// handleKept takes in a message that tells parts; such a one is no sign of life.
func (n *Node) handleKept(now time.Duration, m *wire.GroupMessage) {
	if p := n.peers[m.Sender.Name]; p != nil && p.box.Boot == m.Sender.Boot {
		n.takeKept(now, p, m)
	}
}

// takeKept takes in what a message tells. A lead passes it on, unless it is the list that
// the box has just told: where things are told for the second time along with others, the
// first message may have been lost.
func (n *Node) takeKept(now time.Duration, p *peer, m *wire.GroupMessage) {
	list := unpackKept(m.Kept)
	if len(list) == 0 {
		return
	}
	if room := maxKeptWaiting - len(n.keptHeard); len(list) > room {
		list = list[:room]
	}
	n.keptHeard = append(n.keptHeard, list...)
	if !n.IsLeader() {
		return
	}
	if p.lastKept == nil {
		p.lastKept = make(map[uint32]heardKept)
	}
	last := p.lastKept[m.Scope]
	p.lastKept[m.Scope] = heardKept{list, now}
	if now-last.at < keptRepeats && slices.Equal(list, last.list) {
		return
	}
	n.queueKept(keptNews{from: p.box.Name, reach: ReachOf(n.cfg.Self, p.box), final: m.Scope == scopeBeyond}, list)
}

// tellKept sends what waits to be told. A lead makes one message for its members and one
// for the other leads, however many they are.
func (n *Node) tellKept(now time.Duration) {
	if len(n.keptNews) == 0 {
		return
	}
	list := n.keptNews[:min(len(n.keptNews), maxKept)]
	if n.IsLeader() {
		n.tellKeptAsLead(now, list)
	} else if p := n.peers[n.lead().Name]; p != nil && p.leads {
		n.sendKept([]*peer{p}, list, scopeDomain, func(keptNews) bool { return true })
	}
	tells := 1
	if len(n.keptNews) >= keptOnceFrom {
		tells = keptTells
	}
	for i := range list {
		list[i].tells -= tells
	}
	n.dropTold()
}

// tellKeptAsLead tells a lead's members and the other leads.
func (n *Node) tellKeptAsLead(now time.Duration, list []keptNews) {
	near := n.nearLeads(now)
	n.sendKept(n.members(now), list, scopeDomain, func(keptNews) bool { return true })
	n.sendKept(near, list, scopeDomain, func(k keptNews) bool { return k.reach == ReachDomain })
	if n.regionLead(now) != n.cfg.Self {
		return
	}
	n.sendKept(n.regionLeads(now), list, scopeRegion, func(k keptNews) bool { return k.reach != ReachFar && !k.final })
	n.sendKept(near, list, scopeBeyond, func(k keptNews) bool { return k.reach == ReachFar })
}

// sendKept sends those of a list that fit to some boxes, but for the one that all came from.
func (n *Node) sendKept(to []*peer, list []keptNews, scope uint32, fits func(keptNews) bool) {
	m, source := n.keptMessage(list, fits)
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

// keptMessage makes the message that tells those of a list that fit; nil where nothing is left.
// source is the box that all of it came from, which
// needs not be told; empty where it came from several, or from this one.
func (n *Node) keptMessage(list []keptNews, fits func(keptNews) bool) (m *wire.GroupMessage, source string) {
	m = &wire.GroupMessage{Sender: &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot}}
	for _, k := range list {
		if !fits(k) {
			continue
		}
		if len(m.Kept) == 0 {
			source = k.from
		}
		if k.from != source {
			source = ""
		}
		m.Kept = append(m.Kept, k.kept.Part, k.kept.Upstream)
	}
	if len(m.Kept) == 0 {
		return nil, ""
	}
	return m, source
}

// dropTold leaves out what was told often enough.
func (n *Node) dropTold() {
	n.keptNews = slices.DeleteFunc(n.keptNews, func(k keptNews) bool { return k.tells <= 0 })
}

// unpackKept reads the wire's form: a part and its upstream in turn.
func unpackKept(words []uint32) []balance.PartReport {
	list := make([]balance.PartReport, 0, len(words)/2)
	for ; len(words) >= 2; words = words[2:] {
		list = append(list, balance.PartReport{Part: words[0], Upstream: words[1]})
	}
	return list
}
