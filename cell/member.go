package cell

// This file defines membership: which boxes of the failure domain are alive, as
// far as this box can tell. In each period a box probes one other and is
// answered; who does not answer is suspected, has time to refute that, and is
// then taken for dead. Changes are passed on with the probes, each a few times,
// so that the bytes a box sends do not grow with the domain. The method is that
// of SWIM (Das, Gupta and Motivala, 2002), with repeated direct probes in place
// of indirect ones. The invariants: an older incarnation is never believed over a
// newer, a box is suspected before it is dropped, and any newer sign of life
// refutes a suspicion.

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// memberState is what is believed of a box. The order is part of the wire format.
type memberState uint8

const (
	memberUnknown memberState = iota
	memberAlive
	memberSuspect
	memberDead
)

const (
	probeTries  = 3 // unanswered probes after which a box is suspected
	joinProbes  = 4 // boxes probed in each tick by one that is joining
	newsFactor  = 3 // a change is passed on this often, times the logarithm of the domain
	probeAllTil = 4 // a domain with no more others has them all probed in each period
)

// peer is another box of the domain.
type peer struct {
	name    string
	listed  bool
	boot    uint64
	counter uint64
	state   memberState
	since   time.Duration // of the state
	direct  time.Duration // when it last spoke to this box
	probed  time.Duration // when it was first probed without an answer since; 0 is never
	tries   int
	alive   bool // as last told to the node
	leaving bool
	blind   bool
	table   uint64
	roster  uint64
	left    int // how often its state is still passed on
}

// membership is a box's view of its domain.
type membership struct {
	self     string
	boot     uint64
	counter  uint64
	timing   Timing
	random   *rand.Rand
	peers    map[string]*peer
	names    []string // of peers, sorted
	order    []string // of peers, shuffled, for probing in turn
	next     int
	selfLeft int  // how often this box's own state is still passed on
	urgent   bool // a suspicion is to be passed on without waiting for a probe
	complete bool // a full list was heard since the start or a pause
}

func newMembership(self string, boot uint64, timing Timing, random *rand.Rand) *membership {
	return &membership{self: self, boot: boot, timing: timing, random: random, peers: make(map[string]*peer)}
}

// list takes in the platform's list for the domain. A box that is off the list
// but still speaks stays known until it falls silent.
func (m *membership) list(boxes []BoxEntry) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, b := range boxes {
		if b.Name == m.self {
			continue
		}
		p := m.peer(b.Name)
		p.listed = true
		p.leaving = p.leaving || b.Leaving
	}
	for name, p := range m.peers {
		if !p.listed && !p.alive {
			delete(m.peers, name)
		}
	}
	m.sortNames()
}

func (m *membership) peer(name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = &peer{name: name}
		m.peers[name] = p
		m.sortNames()
	}
	return p
}

func (m *membership) sortNames() {
	m.names = m.names[:0]
	for name := range m.peers {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names)
	m.order, m.next = slices.Clone(m.names), 0
	m.shuffle()
}

func (m *membership) shuffle() {
	m.random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
}

// spread is how often a change is passed on.
func (m *membership) spread() int { return newsFactor * bits.Len(uint(len(m.names)+1)) }

// setState notes a state and passes it on.
func (m *membership) setState(now time.Duration, p *peer, s memberState) {
	if p.state == s {
		return
	}
	p.state, p.since = s, now
	p.left = m.spread()
	m.urgent = m.urgent || s == memberSuspect || s == memberDead
}

// announce passes on this box's own state: a change, or that it is alive.
func (m *membership) announce() {
	m.counter++
	m.selfLeft = m.spread()
}

// hear takes in a heartbeat that came from the box itself.
func (m *membership) hear(now time.Duration, from string, boot uint64, h *Heartbeat) {
	p := m.peer(from)
	if boot < p.boot {
		return
	}
	if boot > p.boot {
		p.boot, p.counter, p.leaving, p.roster = boot, 0, false, 0
		p.left = m.spread()
	}
	if h.Roster > p.roster || h.Leaving != p.leaving || h.Announce {
		p.left = m.spread()
	}
	p.counter = max(p.counter, h.Counter)
	p.leaving, p.blind, p.table = h.Leaving, h.Blind, h.Table
	p.roster = max(p.roster, h.Roster)
	p.direct, p.probed, p.tries = now, 0, 0
	m.setState(now, p, memberAlive)
	m.complete = m.complete || h.Full
	for _, s := range h.Sightings {
		m.take(now, s)
	}
}

// take takes in what another box says of a third.
func (m *membership) take(now time.Duration, s Sighting) {
	if s.Box == m.self {
		if s.Boot == m.boot && memberState(s.State) != memberAlive {
			m.counter = max(m.counter, s.Counter)
			m.announce()
		}
		return
	}
	p := m.peers[s.Box]
	if p == nil || s.Boot < p.boot {
		return
	}
	if s.Boot > p.boot {
		p.boot, p.counter, p.roster, p.leaving = s.Boot, s.Counter, s.Roster, s.Leaving
		p.state = memberUnknown
		m.setState(now, p, memberState(s.State))
		return
	}
	if s.Roster > p.roster || s.Leaving && !p.leaving {
		p.roster, p.leaving = max(p.roster, s.Roster), p.leaving || s.Leaving
		p.left = m.spread()
	}
	m.takeState(now, p, s)
}

func (m *membership) takeState(now time.Duration, p *peer, s Sighting) {
	switch state := memberState(s.State); state {
	case memberAlive:
		if s.Counter > p.counter || p.state == memberUnknown {
			p.counter = max(p.counter, s.Counter)
			m.setState(now, p, memberAlive)
		}
	case memberSuspect, memberDead:
		heardLately := p.direct > 0 && now-p.direct < m.timing.Probe*probeTries
		switch {
		case p.state == memberAlive && (s.Counter < p.counter || heardLately):
			p.left = m.spread() // this box knows better
		case s.Counter >= p.counter && state > p.state:
			m.setState(now, p, state)
		}
	}
}

// unanswered returns the boxes to probe again, and suspects those that have been
// probed often enough.
func (m *membership) unanswered(now time.Duration) []string {
	var again []string
	for _, name := range m.names {
		p := m.peers[name]
		if p.probed == 0 || now-p.probed < time.Duration(p.tries)*m.timing.Probe {
			continue
		}
		if p.tries < probeTries {
			p.tries++
			again = append(again, name)
			continue
		}
		p.probed = 0
		if p.state == memberAlive {
			m.setState(now, p, memberSuspect)
		}
	}
	return again
}

// sweep renews the states that depend on time, and calls changed for each box
// that became alive or dead.
func (m *membership) sweep(now time.Duration, changed func(p *peer)) {
	for _, name := range m.names {
		p := m.peers[name]
		if p.state == memberSuspect && now-p.since >= m.timing.Suspect {
			m.setState(now, p, memberDead)
		}
		if alive := p.state == memberAlive || p.state == memberSuspect; alive != p.alive {
			p.alive = alive
			changed(p)
		}
	}
}

// heartbeat makes this box's next heartbeat, with the changes that were passed on
// least, or with all it knows.
func (m *membership) heartbeat(full bool) *Heartbeat {
	m.counter++
	h := &Heartbeat{Counter: m.counter, Full: full}
	if m.selfLeft > 0 {
		m.selfLeft--
		h.Announce = true
	}
	var news []*peer
	for _, name := range m.names {
		if p := m.peers[name]; p.state != memberUnknown && (p.left > 0 || full) {
			news = append(news, p)
		}
	}
	if !full {
		slices.SortStableFunc(news, func(a, b *peer) int { return b.left - a.left })
		news = news[:min(len(news), m.timing.Gossip)]
	}
	for _, p := range news {
		p.left = max(0, p.left-1)
		h.Sightings = append(h.Sightings, Sighting{p.name, p.boot, p.counter, p.roster, p.leaving, uint8(p.state)})
	}
	return h
}

// targets picks the boxes that are probed in this period, in turn.
func (m *membership) targets(now time.Duration, joining bool) []string {
	n := 1
	switch {
	case len(m.names) <= probeAllTil:
		n = len(m.names)
	case joining:
		n = joinProbes
	}
	var out []string
	for range min(n, len(m.order)) {
		if m.next >= len(m.order) {
			m.next = 0
			m.shuffle()
		}
		name := m.order[m.next]
		m.next++
		if p := m.peers[name]; p.probed == 0 {
			p.probed, p.tries = now, 1
		}
		out = append(out, name)
	}
	return out
}

// some picks up to n boxes that are alive.
func (m *membership) some(n int) []string {
	live := m.live()
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// candidates lists the boxes that may own something: alive and not leaving,
// this box included unless it is leaving.
func (m *membership) candidates(selfLeaving bool) []string {
	var out []string
	for _, name := range m.names {
		if p := m.peers[name]; p.alive && !p.leaving {
			out = append(out, name)
		}
	}
	if !selfLeaving || len(out) == 0 {
		i, _ := slices.BinarySearch(out, m.self)
		out = slices.Insert(out, i, m.self)
	}
	return out
}

// live lists the other boxes that are alive.
func (m *membership) live() []string {
	var out []string
	for _, name := range m.names {
		if m.peers[name].alive {
			out = append(out, name)
		}
	}
	return out
}

// stale forgets who is alive: after a pause this box knows nothing of the
// present, and has to hear of each box again.
func (m *membership) stale(now time.Duration) {
	m.complete = false
	for _, p := range m.peers {
		p.state, p.since = memberUnknown, now
		p.direct, p.probed, p.tries, p.roster = 0, 0, 0, 0
	}
	m.announce()
}

// agreed reports whether every listed box is alive beyond suspicion and has the
// same list as this one.
func (m *membership) agreed(roster uint64) bool {
	for _, p := range m.peers {
		if p.listed && (p.state != memberAlive || p.roster != roster) {
			return false
		}
	}
	return true
}
