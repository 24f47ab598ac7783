package group

// This file defines how boxes tell each other which upstreams were sent which parts of
// prompts. A member tells its lead, the lead its members and the other leads of its region, and
// those their members. The invariant: a box tells each thing a bounded number of times, and what
// comes from another domain goes to no other one. Other regions are told of upstreams that have
// ended, and of no parts: to read a prompt again takes less than to have it from there.

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
	kept    balance.Kept
	from    string // the box it came from; empty: this one
	foreign bool   // that box is of another domain
	tells   int    // messages that are to tell it still
}

// TellKept notes what this box sent to upstreams, to be told.
func (n *Node) TellKept(list []balance.Kept) { n.queueKept("", false, list) }

// DrainKept returns, once, what other boxes told.
func (n *Node) DrainKept() []balance.Kept {
	heard := n.keptHeard
	n.keptHeard = nil
	return heard
}

// queueKept puts what came from a box among what waits to be told.
func (n *Node) queueKept(from string, foreign bool, list []balance.Kept) {
	for _, k := range list {
		if len(n.keptNews) >= maxKeptWaiting {
			return
		}
		n.keptNews = append(n.keptNews, keptNews{k, from, foreign, keptTells})
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
	if !n.Leads() {
		return
	}
	repeats := now-p.lastKeptAt < keptRepeats && slices.Equal(list, p.lastKept)
	p.lastKept, p.lastKeptAt = list, now
	if !repeats {
		n.queueKept(p.box.Name, !n.sameDomain(p), list)
	}
}

// tellKept sends what waits to be told. A lead makes one message for its members and one
// for the other leads, however many they are.
func (n *Node) tellKept(now time.Duration) {
	if len(n.keptNews) == 0 {
		return
	}
	list := n.keptNews[:min(len(n.keptNews), maxKept)]
	messages := make(map[Reach]*wire.GroupMessage)
	source := ""
	messages[ReachDomain], source = n.keptMessage(list, func(keptNews) bool { return true })
	messages[ReachRegion], _ = n.keptMessage(list, func(k keptNews) bool { return !k.foreign })
	messages[ReachFar], _ = n.keptMessage(list, func(k keptNews) bool { return !k.foreign && k.kept.Ended() })
	for _, p := range n.keptPeers(now) {
		m := messages[ReachOf(n.cfg.Self, p.box)]
		if m != nil && p.box.Name != source {
			n.send(p.box.Address, m)
		}
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

// keptPeers are the boxes that this one tells.
func (n *Node) keptPeers(now time.Duration) []*peer {
	if !n.Leads() {
		if p := n.peers[n.lead().Name]; p != nil && p.leads {
			return []*peer{p}
		}
		return nil
	}
	var list []*peer
	for _, p := range n.peers {
		wants := n.sameDomain(p) || p.leads
		if wants && now-p.heard < n.cfg.Timing.Member {
			list = append(list, p)
		}
	}
	return list
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
func unpackKept(words []uint32) []balance.Kept {
	list := make([]balance.Kept, 0, len(words)/2)
	for ; len(words) >= 2; words = words[2:] {
		list = append(list, balance.Kept{Part: words[0], Upstream: words[1]})
	}
	return list
}
