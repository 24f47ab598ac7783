package group

// This file defines how boxes tell each other which upstreams were sent which parts of
// prompts. A member tells its lead, the lead its members and the other leads, and those
// their members. The invariant: nothing is told back to where it came from, and each
// thing is told a bounded number of times.

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
	kept  balance.Kept
	from  string // the box it came from; empty: this one
	tells int    // messages that are to tell it still
}

// TellKept notes what this box sent to upstreams, to be told.
func (n *Node) TellKept(list []balance.Kept) { n.queueKept("", list) }

// DrainKept returns, once, what other boxes told.
func (n *Node) DrainKept() []balance.Kept {
	heard := n.keptHeard
	n.keptHeard = nil
	return heard
}

func (n *Node) queueKept(from string, list []balance.Kept) {
	for _, k := range list {
		if len(n.keptNews) >= maxKeptWaiting {
			return
		}
		n.keptNews = append(n.keptNews, keptNews{k, from, keptTells})
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
	n.queueKept(p.box.Name, list)
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

// tellKept sends what waits to be told.
func (n *Node) tellKept(now time.Duration) {
	if len(n.keptNews) == 0 {
		return
	}
	list := n.keptNews[:min(len(n.keptNews), maxKept)]
	if !n.Leads() {
		if p := n.peers[n.lead().Name]; p != nil && p.leads {
			n.sendKept(p, list)
		}
	} else {
		for _, p := range n.peers {
			wants := p.box.Domain == n.cfg.Self.Domain || p.leads
			if wants && now-p.heard < n.cfg.Timing.Member {
				n.sendKept(p, n.keptFor(p, list))
			}
		}
	}
	for i := range list {
		list[i].tells--
	}
	n.dropTold()
}

// keptFor is the part of the list that a peer should hear: none of its own, and a lead of
// another domain only what comes from this one.
func (n *Node) keptFor(p *peer, list []keptNews) []keptNews {
	foreign := p.box.Domain != n.cfg.Self.Domain
	var out []keptNews
	for _, k := range list {
		source := n.peers[k.from]
		fromAbroad := source != nil && source.box.Domain != n.cfg.Self.Domain
		if k.from == p.box.Name || foreign && fromAbroad {
			continue
		}
		out = append(out, k)
	}
	return out
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

func (n *Node) sendKept(p *peer, list []keptNews) {
	if len(list) == 0 {
		return
	}
	m := &wire.GroupMessage{Sender: &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot}}
	m.Kept = make([]uint32, 0, 2*len(list))
	for _, k := range list {
		m.Kept = append(m.Kept, k.kept.Part, k.kept.Upstream)
	}
	n.send(p.box.Address, m)
}

// unpackKept reads the wire's form: a part and its upstream in turn.
func unpackKept(words []uint32) []balance.Kept {
	list := make([]balance.Kept, 0, len(words)/2)
	for ; len(words) >= 2; words = words[2:] {
		list = append(list, balance.Kept{Part: words[0], Upstream: words[1]})
	}
	return list
}
