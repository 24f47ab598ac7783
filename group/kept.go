package group

// This file defines how boxes tell each other which upstreams were sent which parts of
// prompts. A member tells its lead, the lead its members and the other leads, and those
// their members. The invariant: each thing is told a bounded number of times, and what
// comes from another domain goes to no other one.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// keptTells is how many messages in a row tell a thing, since one may be lost.
	keptTells = 2
	// maxKept bounds the things that a message tells; with its head it stays within 6 KB.
	maxKept = 600
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

func (n *Node) queueKept(from string, foreign bool, list []balance.Kept) {
	for _, k := range list {
		if len(n.keptNews) >= maxKeptWaiting {
			return
		}
		n.keptNews = append(n.keptNews, keptNews{k, from, foreign, keptTells})
	}
}

// takeKept takes in what a message tells. What is told for the second time goes on as
// well: the other way round, one lost datagram on the way would lose it for all behind.
func (n *Node) takeKept(p *peer, m *wire.GroupMessage) {
	list := unpackKept(m.Kept)
	if len(list) == 0 {
		return
	}
	if room := maxKeptWaiting - len(n.keptHeard); len(list) > room {
		list = list[:room]
	}
	n.keptHeard = append(n.keptHeard, list...)
	if !n.Leads() || n.heardKept(p, list) {
		return
	}
	n.queueKept(p.box.Name, !n.sameDomain(p), list)
}

// heardKept reports whether the list repeats the last one of the same box.
func (n *Node) heardKept(p *peer, list []balance.Kept) bool {
	same := len(list) == len(p.lastKept)
	for i := 0; same && i < len(list); i++ {
		same = list[i] == p.lastKept[i]
	}
	p.lastKept = list
	return same
}

// tellKept sends what waits to be told. A lead makes one message for its members and one
// for the other leads, however many they are.
func (n *Node) tellKept(now time.Duration) {
	if len(n.keptNews) == 0 {
		return
	}
	list := n.keptNews[:min(len(n.keptNews), maxKept)]
	all, source := n.keptMessage(list, true)
	own, _ := n.keptMessage(list, false)
	for _, p := range n.keptPeers(now) {
		m := all
		if !n.sameDomain(p) {
			m = own
		}
		if m != nil && p.box.Name != source {
			n.send(p.box.Address, m)
		}
	}
	for i := range list {
		list[i].tells--
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

// keptMessage makes the message that tells a list, with or without what comes from other
// domains; nil where nothing is left. source is the box all of it came from, if one.
func (n *Node) keptMessage(list []keptNews, foreign bool) (m *wire.GroupMessage, source string) {
	m = &wire.GroupMessage{Sender: &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot}}
	for _, k := range list {
		if k.foreign && !foreign {
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

// dropTold leaves out what was told often enough, in place and in order.
func (n *Node) dropTold() {
	rest := n.keptNews[:0]
	for _, k := range n.keptNews {
		if k.tells > 0 {
			rest = append(rest, k)
		}
	}
	n.keptNews = rest
}

// unpackKept reads the wire's form: a part and its upstream in turn.
func unpackKept(words []uint32) []balance.Kept {
	list := make([]balance.Kept, 0, len(words)/2)
	for ; len(words) >= 2; words = words[2:] {
		list = append(list, balance.Kept{Part: words[0], Upstream: words[1]})
	}
	return list
}
