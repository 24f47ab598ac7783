package cell

// This file defines membership: which boxes of the failure domain are alive, as
// far as this box can tell. Each box counts its heartbeats and passes on the
// counts it has seen to a few random others, so the bytes a box sends do not grow
// with the domain. The invariants: a count never goes back within an
// incarnation, an older incarnation is never believed over a newer, and a box
// is suspected before it is dropped.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// peer is another box of the domain, or a box of another one.
type peer struct {
	name     string
	domain   string
	listed   bool
	boot     uint64
	counter  uint64
	heard    time.Duration // when its count last grew
	direct   time.Duration // when it last spoke itself
	everHear bool
	alive    bool
	leaving  bool
	blind    bool
	table    uint64
	roster   uint64
}

// membership is a box's view of its domain.
type membership struct {
	self    string
	boot    uint64
	counter uint64
	timing  Timing
	random  *rand.Rand
	peers   map[string]*peer
	names   []string // of peers, sorted
	from    int      // where the next sightings start
}

func newMembership(self string, boot uint64, timing Timing, random *rand.Rand) *membership {
	return &membership{self: self, boot: boot, timing: timing, random: random, peers: make(map[string]*peer)}
}

// list takes in the platform's list for the domain. A box that is off the list
// but still speaks stays known until it falls silent.
func (m *membership) list(now time.Duration, boxes []BoxEntry) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, b := range boxes {
		if b.Name == m.self {
			continue
		}
		p := m.peer(now, b.Name)
		p.listed = true
		p.domain = b.Domain
		p.leaving = p.leaving || b.Leaving
	}
	for name, p := range m.peers {
		if !p.listed && !p.alive {
			delete(m.peers, name)
		}
	}
	m.sortNames()
}

func (m *membership) peer(now time.Duration, name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = &peer{name: name, heard: now}
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
}

// hear takes in a heartbeat that came from the box itself.
func (m *membership) hear(now time.Duration, from string, boot uint64, h *Heartbeat) {
	p := m.peer(now, from)
	if boot < p.boot {
		return
	}
	m.advance(now, p, boot, h.Counter)
	p.direct, p.leaving, p.blind = now, h.Leaving, h.Blind
	p.table, p.roster = h.Table, h.Roster
	for _, s := range h.Sightings {
		if s.Box == m.self {
			continue
		}
		q := m.peers[s.Box]
		if q == nil || s.Boot < q.boot {
			continue
		}
		m.advance(now, q, s.Boot, s.Counter)
		if s.Boot == q.boot {
			q.leaving = q.leaving || s.Leaving
			q.roster = max(q.roster, s.Roster)
		}
	}
}

// advance notes a sign of life, if it is newer than what was known.
func (m *membership) advance(now time.Duration, p *peer, boot, counter uint64) {
	if boot == p.boot && counter <= p.counter {
		return
	}
	if boot != p.boot {
		p.leaving, p.roster = false, 0
	}
	p.boot, p.counter, p.heard, p.everHear = boot, counter, now, true
}

// sweep renews who is alive and calls changed for each box whose state changed.
func (m *membership) sweep(now time.Duration, changed func(p *peer)) {
	for _, name := range m.names {
		p := m.peers[name]
		alive := p.everHear && now-p.heard < m.timing.Dead
		if alive != p.alive {
			p.alive = alive
			changed(p)
		}
	}
}

// heartbeat makes this box's next heartbeat. The sightings take turns, so that
// all are passed on in time whatever their number.
func (m *membership) heartbeat() *Heartbeat {
	m.counter++
	h := &Heartbeat{Counter: m.counter}
	n := min(m.timing.Gossip, len(m.names))
	for i := range n {
		p := m.peers[m.names[(m.from+i)%len(m.names)]]
		if p.everHear {
			h.Sightings = append(h.Sightings, Sighting{p.name, p.boot, p.counter, p.roster, p.leaving})
		}
	}
	if n > 0 {
		m.from = (m.from + n) % len(m.names)
	}
	return h
}

// targets picks the boxes that get the next heartbeat.
func (m *membership) targets() []string {
	if len(m.names) <= m.timing.Fanout {
		return m.names
	}
	out := make([]string, 0, m.timing.Fanout)
	for len(out) < m.timing.Fanout {
		if name := m.names[m.random.IntN(len(m.names))]; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
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

// stale marks all that was heard as old: after a pause this box knows nothing
// of the present, and has to hear each box again.
func (m *membership) stale(now time.Duration) {
	for _, p := range m.peers {
		p.everHear = false
		p.heard = now
		p.direct = 0
		p.roster = 0
	}
}

// agreed reports whether every listed box was heard of lately and has the same
// list as this one.
func (m *membership) agreed(now time.Duration, roster uint64) bool {
	for _, p := range m.peers {
		if p.listed && (!p.everHear || now-p.heard >= m.timing.Dead || p.roster != roster) {
			return false
		}
	}
	return true
}
