package group

// This file defines how boxes tell each other what classes of requests are like, so that a
// box which has just started, or sees few requests, divides upstreams as the others do. A
// member tells its lead what it sees, the lead its members the mean over all boxes, and the
// other leads that over its domain. The invariants: but for its own, which
// its lead tells a member along with the others', no box counts twice in a mean; and what
// nobody sees any more is told by nobody after classFor.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// classFor is how long what a box told of classes is believed: several beats, some of
	// which may be lost.
	classFor = 3 * time.Second
	// maxClasses bounds the classes that a message tells, at 23 bytes each, and those that
	// are remembered of a box.
	maxClasses = 64
)

// SetClasses notes the classes that this box sees.
func (n *Node) SetClasses(own []balance.ClassSeen) { n.ownClasses = own }

// classMeans is means over several boxes, by class.
type classMeans map[balance.ClassKey]balance.ClassSeen

func (c classMeans) add(list []balance.ClassSeen) {
	for _, told := range list {
		c[told.ClassKey] = told.Plus(c[told.ClassKey])
	}
}

// Classes lists what the other boxes see, in no order.
func (n *Node) Classes(now time.Duration) []balance.ClassSeen {
	means := make(classMeans)
	for _, p := range n.peers {
		if n.tellsClasses(now, p) {
			means.add(p.classes)
		}
	}
	list := slices.Collect(maps.Values(means))
	return list[:min(len(list), maxClasses)]
}

// tellsClasses reports whether what a peer told of classes counts for this box: its own
// lead's does, and for a lead that of its members and of the other leads.
func (n *Node) tellsClasses(now time.Duration, p *peer) bool {
	switch {
	case now-p.classesAt > classFor:
		return false
	case n.IsLeader():
		return n.sameDomain(p) || p.leads
	}
	return p.box.Name == n.lead().Name
}

// takeClasses takes in what a message tells.
func (n *Node) takeClasses(now time.Duration, p *peer, m *wire.GroupMessage) {
	if len(m.Classes) == 0 {
		return
	}
	p.classes, p.classesAt = nil, now
	for _, c := range m.Classes[:min(len(m.Classes), maxClasses)] {
		p.classes = append(p.classes, balance.ClassSeen{
			ClassKey: balance.ClassKey{Service: c.Service, Class: c.Class},
			Read:     float64(c.Read),
			Seen:     float64(c.Seen),
			Pause:    time.Duration(c.Pause) * time.Millisecond,
		})
	}
}

// classLists is what a box tells of classes, each list in a fixed order.
type classLists struct {
	toDomain []*wire.GroupClass // by a lead, of all boxes
	toOthers []*wire.GroupClass // by a member its own, by a lead those of its domain
}

// packClasses makes the lists that the messages of one beat share: to make one for each
// receiver would cost a lead the square of its domain.
func (n *Node) packClasses(now time.Duration) classLists {
	domain, all := make(classMeans), make(classMeans)
	domain.add(n.ownClasses)
	all.add(n.ownClasses)
	if !n.IsLeader() {
		return classLists{toOthers: sortedClasses(domain)}
	}
	for _, p := range n.peers {
		if !n.tellsClasses(now, p) {
			continue
		}
		all.add(p.classes)
		if n.sameDomain(p) {
			domain.add(p.classes)
		}
	}
	return classLists{sortedClasses(all), sortedClasses(domain)}
}

// classesFor is what a peer is told.
func (n *Node) classesFor(p *peer, lists classLists) []*wire.GroupClass {
	if n.IsLeader() && n.sameDomain(p) {
		return lists.toDomain
	}
	return lists.toOthers
}

// sortedClasses lists at most maxClasses of them.
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
