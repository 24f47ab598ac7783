package group

// This file defines how boxes share statistics about classes of requests, so that a box that has
// just started, or handles few requests, divides upstreams as the others do. A member sends its
// own statistics to its leader. A leader sends the mean over all boxes to its members, and the
// mean over its domain to the other leaders. The invariants: no box counts twice in a mean,
// except that a member's own statistics are part of the mean its leader sends it. A class that no
// box handles any more is forgotten after classTTL.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// classTTL is how long received statistics are used: several heartbeats, some of which may be
	// lost.
	classTTL = 3 * time.Second
	// maxClasses bounds the classes in a message, at 23 bytes each, and those stored per box.
	maxClasses = 64
)

// SetClasses sets the statistics measured by this box.
func (n *Node) SetClasses(own []balance.ClassStats) { n.ownClasses = own }

// classMeans holds means over several boxes, by class.
type classMeans map[balance.ClassKey]balance.ClassStats

func (c classMeans) add(list []balance.ClassStats) {
	for _, stats := range list {
		c[stats.ClassKey] = stats.Plus(c[stats.ClassKey])
	}
}

// Classes returns the statistics of the other boxes, in no particular order.
func (n *Node) Classes(now time.Duration) []balance.ClassStats {
	means := make(classMeans)
	for _, p := range n.peers {
		if n.countsClasses(now, p) {
			means.add(p.classes)
		}
	}
	list := slices.Collect(maps.Values(means))
	return list[:min(len(list), maxClasses)]
}

// countsClasses reports whether a peer's statistics are used by this box. A member uses those of
// its leader; a leader uses those of its members and of the other leaders.
func (n *Node) countsClasses(now time.Duration, p *peer) bool {
	switch {
	case now-p.classesAt > classTTL:
		return false
	case n.IsLeader():
		return n.sameDomain(p) || p.isLeader
	}
	return p.box.Name == n.leader().Name
}

// receiveClasses records the statistics in a message.
func (n *Node) receiveClasses(now time.Duration, p *peer, m *wire.GroupMessage) {
	if len(m.Classes) == 0 {
		return
	}
	p.classes, p.classesAt = nil, now
	for _, c := range m.Classes[:min(len(m.Classes), maxClasses)] {
		p.classes = append(p.classes, balance.ClassStats{
			ClassKey: balance.ClassKey{Service: c.Service, Class: c.Class},
			Read:     float64(c.Read),
			Seen:     float64(c.Seen),
			Pause:    time.Duration(c.Pause) * time.Millisecond,
		})
	}
}

// classLists holds the statistics that a box sends, each list in a fixed order.
type classLists struct {
	toDomain  []*wire.GroupClass // from a leader: the means over all boxes
	toLeaders []*wire.GroupClass // a member's own statistics, or from a leader the means over its domain
}

// packClasses builds the lists shared by all messages of one heartbeat. Building them per
// receiver would cost a leader time quadratic in the size of its domain.
func (n *Node) packClasses(now time.Duration) classLists {
	domain, all := make(classMeans), make(classMeans)
	domain.add(n.ownClasses)
	all.add(n.ownClasses)
	if !n.IsLeader() {
		return classLists{toLeaders: sortedClasses(domain)}
	}
	for _, p := range n.peers {
		if !n.countsClasses(now, p) {
			continue
		}
		all.add(p.classes)
		if n.sameDomain(p) {
			domain.add(p.classes)
		}
	}
	return classLists{sortedClasses(all), sortedClasses(domain)}
}

// classesFor returns the list to send to a peer.
func (n *Node) classesFor(p *peer, lists classLists) []*wire.GroupClass {
	if n.IsLeader() && n.sameDomain(p) {
		return lists.toDomain
	}
	return lists.toLeaders
}

// sortedClasses returns at most maxClasses classes, in a fixed order.
func sortedClasses(means classMeans) []*wire.GroupClass {
	list := make([]*wire.GroupClass, 0, len(means))
	for _, c := range means {
		list = append(list, &wire.GroupClass{Service: c.Service, Class: c.Class, Read: uint32(c.Read),
			Seen: float32(c.Seen), Pause: uint32(max(c.Pause.Milliseconds(), 0))})
	}
	slices.SortFunc(list, func(a, b *wire.GroupClass) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return list[:min(len(list), maxClasses)]
}
