package group

// This file defines how news of one kind reaches all boxes. What is new is told at once: a member
// tells its lead, and a lead its members and the other leads. Beats name a digest of what a box
// holds; two boxes whose digests differ tell each other all of it. The invariant: two boxes that
// hear each other come to hold the same, whatever was lost and whichever of them started anew.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/wire"
)

const (
	// maxSpreadTold bounds the entries that a message holds: it stays within 6 KB. What is more
	// goes with the next one.
	maxSpreadTold = 100
	// spreadTells is how many messages tell what matters, since one may be lost.
	spreadTells = 3
	// comparedAtOnce is how many messages tell a box at once what it lacks.
	comparedAtOnce = 4
	// maxSpreadWaiting bounds what waits to be told; what comes beyond is left out, and found
	// by the digest.
	maxSpreadWaiting = 8 * maxSpreadTold
)

// spreadOf is what differs from one kind of news to another.
type spreadOf[T any] struct {
	key   func(T) uint64    // what an entry is about
	same  func(a, b T) bool // two entries about the same tell the same
	tells func(T) int       // messages that are to tell it
	pack  func(m *wire.GroupMessage, list []T, digest uint64, all bool)
}

// spread is the news of one kind that a box has to tell, and has heard.
type spread[T any] struct {
	of       spreadOf[T]
	all      []T    // as this box holds it
	digest   uint64 // of what holds
	news     []spreadNews[T]
	abroad   map[uint64]T // what leads of other domains told: leads need not be told that
	heard    []T          // told by others, and not yet taken over
	told     time.Duration
	compared map[string]compared // by box
}

// compared is when a box was told what this one holds, and how far that has come.
type compared struct {
	at   time.Duration
	next int // in the list of all, the first entry to tell
}

// spreadNews is something to tell.
type spreadNews[T any] struct {
	entry T
	tells int // messages that are to tell it still
}

func newSpread[T any](of spreadOf[T]) spread[T] {
	return spread[T]{of: of, told: never, abroad: make(map[uint64]T), compared: make(map[string]compared)}
}

// tell notes what is new, to be told.
func (s *spread[T]) tell(list []T) {
	for _, x := range list {
		s.news = slices.DeleteFunc(s.news, func(old spreadNews[T]) bool { return s.of.key(old.entry) == s.of.key(x) })
		if len(s.news) < maxSpreadWaiting {
			s.news = append(s.news, spreadNews[T]{x, s.of.tells(x)})
		}
	}
}

// drain returns, once, what other boxes told.
func (s *spread[T]) drain() []T {
	heard := s.heard
	s.heard = nil
	return heard
}

// takeNews takes what goes with the next message. What is to be told again waits behind the rest.
func (s *spread[T]) takeNews() []T {
	var list []T
	next := s.news[:min(len(s.news), maxSpreadTold)]
	s.news = slices.Clone(s.news[len(next):])
	for _, x := range next {
		list = append(list, x.entry)
		if x.tells--; x.tells > 0 {
			s.news = append(s.news, x)
		}
	}
	return list
}

// flush tells what is new, unless that was done a moment ago.
func (s *spread[T]) flush(n *Node, now time.Duration) {
	if len(s.news) == 0 || now-s.told < flushPause {
		return
	}
	s.told = now
	list := s.takeNews()
	if !n.IsLeader() {
		s.send(n, []*peer{n.peers[n.lead().Name]}, list, false)
		return
	}
	s.send(n, n.members(now), list, false)
	home := slices.DeleteFunc(slices.Clone(list), func(x T) bool {
		told, isTold := s.abroad[s.of.key(x)]
		return isTold && s.of.same(told, x)
	})
	s.send(n, n.otherLeads(now), home, false)
	if len(s.news) == 0 {
		clear(s.abroad)
	}
}

// send sends one message to some boxes; all says that it holds all there is.
func (s *spread[T]) send(n *Node, to []*peer, list []T, all bool) {
	if len(list) == 0 && !all {
		return
	}
	m := &wire.GroupMessage{Sender: &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot}}
	s.of.pack(m, list, s.digest, all)
	for _, p := range to {
		if p != nil {
			n.send(p.box.Address, m)
		}
	}
}

// handle takes in what a message tells; all says that it holds all that its sender does. Such a message
// is no sign of life.
func (s *spread[T]) handle(n *Node, now time.Duration, sender *wire.GroupBox, list []T, digest uint64, all bool) {
	p := n.peers[sender.Name]
	if p == nil || p.box.Boot != sender.Boot {
		return
	}
	for _, x := range list {
		if len(s.heard) >= maxSpreadWaiting {
			break
		}
		s.heard = append(s.heard, x)
		if n.IsLeader() && !n.sameDomain(p) && len(s.abroad) < maxSpreadWaiting {
			s.abroad[s.of.key(x)] = x
		}
	}
	if all {
		s.compare(n, now, p, digest)
	}
}

// compare tells a box what this one holds where the two differ, once a beat: all of it, or, where that takes more
// messages than comparedAtOnce, what follows on what was told the last time.
func (s *spread[T]) compare(n *Node, now time.Duration, p *peer, digest uint64) {
	c, isKnown := s.compared[p.box.Name]
	if digest == s.digest || isKnown && now-c.at < n.cfg.Timing.Beat {
		return
	}
	for range comparedAtOnce {
		list := s.all[min(c.next, len(s.all)):]
		list = list[:min(len(list), maxSpreadTold)]
		s.send(n, []*peer{p}, list, true)
		if c.next += len(list); c.next >= len(s.all) {
			c.next = 0
			break
		}
	}
	c.at = now
	s.compared[p.box.Name] = c
}

// otherLeads are the leads of other domains that are heard.
func (n *Node) otherLeads(now time.Duration) []*peer {
	var list []*peer
	for _, p := range n.peers {
		if !n.sameDomain(p) && p.leads && !n.gone(now, p) {
			list = append(list, p)
		}
	}
	return list
}
