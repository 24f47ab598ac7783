package group

// This file defines how boxes tell each other what they have under way. The
// invariant: what a box is told of the others never contains its own.
//
// A member tells its lead, the lead tells the leads of the other domains the sum of
// its domain, and tells its members the sum of all, of which each takes off its own. Only
// changes are sent, at most one message a tick to each.

import (
	"cmp"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// Loads are those of several upstreams, by their keys and urgency.
type Loads = map[balance.LoadKey]balance.Load

// unreadUnit is how many tokens one unit on the wire stands for: less than what an
// upstream reads in 2 ms.
const unreadUnit = 64

// pauseForBox is the least time between two tells of loads to the same box, for each
// box that a lead tells: with 10 boxes each tick of 100 ms, with 93 almost a second, so
// that what a lead sends grows with its domain and not with its square.
const pauseForBox = 10 * time.Millisecond

// SetLoads notes what this box itself has under way.
func (n *Node) SetLoads(l Loads) { n.loads = l }

// Others is what the other boxes have under way.
func (n *Node) Others() Loads { return n.others }

// addLoads adds o to l.
func addLoads(l, o Loads) {
	for key, load := range o {
		l[key] = l[key].Plus(load)
	}
}

// packLoads makes the wire's form, in a fixed order.
func packLoads(l Loads) []*wire.GroupLoad {
	out := make([]*wire.GroupLoad, 0, len(l))
	for key, load := range l {
		if load.Unread > 0 || load.Open > 0 {
			out = append(out, packLoad(key, load))
		}
	}
	slices.SortFunc(out, func(a, b *wire.GroupLoad) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Urgency, b.Urgency))
	})
	return out
}

func packLoad(key balance.LoadKey, load balance.Load) *wire.GroupLoad {
	return &wire.GroupLoad{
		Upstream: key.Upstream,
		Urgency:  uint32(key.Urgency),
		Unread:   uint32(max(0, load.Unread) / unreadUnit),
		Open:     uint32(max(0, load.Open)),
		Tight:    uint32(max(0, load.Tight)),
	}
}

// unpackLoads reads the wire's form.
func unpackLoads(list []*wire.GroupLoad) Loads {
	l := make(Loads, len(list))
	for _, w := range list {
		key := balance.LoadKey{Upstream: w.Upstream, Urgency: int(w.Urgency)}
		l[key] = balance.Load{Unread: int(w.Unread) * unreadUnit, Open: int(w.Open), Tight: int(w.Tight)}
	}
	return l
}

// sameLoads compares two packed lists.
func sameLoads(a, b []*wire.GroupLoad) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.GroupLoad) bool {
		return x.Upstream == y.Upstream && x.Urgency == y.Urgency && x.Unread == y.Unread && x.Open == y.Open && x.Tight == y.Tight
	})
}

// tellLoads sends what has changed since it was last told.
func (n *Node) tellLoads(now time.Duration) {
	if !n.Leads() {
		n.loadsPause = 0
		if p := n.peers[n.lead().Name]; p != nil && p.leads {
			n.tellLoad(now, p, n.loads)
		}
		return
	}
	n.loadsPause = time.Duration(n.domainBoxes(now)) * pauseForBox
	domain, foreign := n.sumLoads(now)
	all := Loads{}
	addLoads(all, domain)
	addLoads(all, foreign)
	n.others = without(all, n.loads)
	n.tellMembers(now, packLoads(all))
	for _, p := range n.peers {
		if p.leads && p.box.Domain != n.cfg.Self.Domain && now-p.heard <= n.cfg.Timing.Member {
			n.tellLoad(now, p, domain)
		}
	}
}

// tellMembers tells all members the same: each takes off what it told itself, which is
// what this box knows of it. To make one message for each cost a lead more than all else.
func (n *Node) tellMembers(now time.Duration, packed []*wire.GroupLoad) {
	var m *wire.GroupMessage
	for _, p := range n.peers {
		if p.box.Domain != n.cfg.Self.Domain || now-p.heard > n.cfg.Timing.Member || !n.worthTelling(now, p, packed) {
			continue
		}
		if m == nil {
			m = n.message(now)
			m.HasLoads, m.Whole, m.Loads = true, true, packed
		}
		p.told, p.toldLoads, p.toldAt = true, packed, now
		n.send(p.box.Address, m)
	}
}

// sumLoads adds up this domain's loads, and those of the others.
func (n *Node) sumLoads(now time.Duration) (domain, foreign Loads) {
	domain, foreign = Loads{}, Loads{}
	addLoads(domain, n.loads)
	for _, p := range n.peers {
		switch {
		case now-p.heard > n.cfg.Timing.Member:
			p.loads = nil
		case p.box.Domain == n.cfg.Self.Domain:
			addLoads(domain, p.loads)
		case p.leads:
			addLoads(foreign, p.loads)
		}
	}
	return domain, foreign
}

// without is the loads less those of one box; none falls below 0.
func without(all, own Loads) Loads {
	l := make(Loads, len(all))
	for key, load := range all {
		if rest := load.Minus(own[key]); rest != (balance.Load{}) {
			l[key] = rest
		}
	}
	return l
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
	packed := packLoads(l)
	if !n.worthTelling(now, p, packed) {
		return
	}
	p.told, p.toldLoads, p.toldAt = true, packed, now
	m := n.message(now)
	m.HasLoads, m.Loads = true, packed
	n.send(p.box.Address, m)
}

// takeLoads takes in what a peer tells.
func (n *Node) takeLoads(p *peer, m *wire.GroupMessage) {
	if !m.HasLoads {
		return
	}
	l := unpackLoads(m.Loads)
	if m.Leads && p.box.Domain == n.cfg.Self.Domain {
		if p.box.Name != n.lead().Name {
			return
		}
		if m.Whole && p.told {
			l = without(l, unpackLoads(p.toldLoads))
		}
		n.others = l
		return
	}
	p.loads = l
}
