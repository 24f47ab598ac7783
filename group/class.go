package group

// This file defines how boxes tell each other what classes of requests are like, so that a
// box which has just started, or sees few requests, divides upstreams as the others do. A
// member tells its lead what it sees, the lead its members and the other leads, and those
// their members. The invariant: what nobody sees any more is told by nobody after
// classFor, since only what a box sees itself, or heard from one that does, is passed on.

import (
	"cmp"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// classFor is how long a class that was told is believed to be there: several beats,
	// some of which may be lost.
	classFor = 3 * time.Second
	// maxClasses bounds the classes that a message tells, at 18 bytes each, and those that
	// are remembered.
	maxClasses = 64
)

// heardClass is a class that another box told.
type heardClass struct {
	class   balance.ClassSeen
	foreign bool // by a lead of another domain
	at      time.Duration
}

// SetClasses notes the classes that this box sees.
func (n *Node) SetClasses(own []balance.ClassSeen) { n.ownClasses = own }

// Classes lists what other boxes told lately, in no order.
func (n *Node) Classes(now time.Duration) []balance.ClassSeen {
	var list []balance.ClassSeen
	for key, h := range n.classes {
		if now-h.at > classFor {
			delete(n.classes, key)
			continue
		}
		list = append(list, h.class)
	}
	return list
}

// takeClasses takes in what a message tells. What its own domain sees goes before what
// comes from another one, so that it is passed on.
func (n *Node) takeClasses(now time.Duration, p *peer, m *wire.GroupMessage) {
	foreign := !n.sameDomain(p)
	for _, c := range m.Classes {
		key := balance.ClassKey{Service: c.Service, Class: c.Class}
		old, known := n.classes[key]
		if foreign && known && !old.foreign && now-old.at <= classFor || !known && len(n.classes) >= maxClasses {
			continue
		}
		seen := balance.ClassSeen{ClassKey: key, Read: int(c.Read), Pause: time.Duration(c.Pause) * time.Millisecond}
		n.classes[key] = heardClass{seen, foreign, now}
	}
}

// packClasses is what a peer is told, in a fixed order: what this box sees and, from a lead,
// what it has heard; to another lead, nothing that came from one.
func (n *Node) packClasses(now time.Duration, p *peer) []*wire.GroupClass {
	out := make(map[balance.ClassKey]*wire.GroupClass)
	add := func(c balance.ClassSeen) {
		out[c.ClassKey] = &wire.GroupClass{Service: c.Service, Class: c.Class, Read: uint32(max(c.Read, 0)),
			Pause: uint32(max(c.Pause.Milliseconds(), 0))}
	}
	if n.Leads() {
		for _, h := range n.classes {
			if now-h.at <= classFor && (n.sameDomain(p) || !h.foreign) {
				add(h.class)
			}
		}
	}
	for _, c := range n.ownClasses {
		add(c)
	}
	return sortedClasses(out)
}

// sortedClasses lists at most maxClasses of them.
func sortedClasses(classes map[balance.ClassKey]*wire.GroupClass) []*wire.GroupClass {
	list := make([]*wire.GroupClass, 0, len(classes))
	for _, c := range classes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *wire.GroupClass) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return list[:min(len(list), maxClasses)]
}
