package cell

// This file defines membership: which boxes of the failure domain are alive
// in this box's view. In each period a box probes one other box. A box that
// does not answer is suspected, has time to refute the suspicion, and is
// then considered dead. Changes are attached to probes and their answers,
// each a limited number of times, so that the bytes a box sends do not grow
// with the domain. The method is that of SWIM (Das, Gupta and Motivala,
// 2002), with repeated direct probes in place of indirect ones. Invariants:
// an older incarnation never overrides a newer one, a box is suspected
// before it is considered dead, and any newer sign of life refutes a
// suspicion.

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// memberState is the state of a box in this box's view. The order of the
// values is part of the wire format.
type memberState uint8

const (
	memberUnknown memberState = iota
	memberAlive
	memberSuspect
	memberDead
)

const (
	probeTries   = 3 // unanswered probes after which a box is suspected
	joinProbes   = 4 // boxes probed in each tick by a box that is joining
	gossipFactor = 3 // a change is passed on this many times the logarithm of the domain's size
	probeAllMax  = 4 // with at most this many other boxes, all are probed in each period
)

// peer is another box of the domain.
type peer struct {
	name          string
	listed        bool
	boot          uint64
	counter       uint64
	state         memberState
	stateSince    time.Duration // when state last changed
	lastHeard     time.Duration // when a heartbeat last came from the box itself
	probedSince   time.Duration // when the first probe without an answer since was sent; 0 if there is none
	tries         int
	reportedAlive bool // liveness last reported to the node
	leaving       bool
	blind         bool
	table         uint64
	roster        uint64
	gossipLeft    int // how many more times its state is passed on
}

// membership is a box's view of its domain.
type membership struct {
	self           string
	boot           uint64
	counter        uint64
	timing         Timing
	random         *rand.Rand
	peers          map[string]*peer
	names          []string // of peers, sorted
	probeOrder     []string // of peers, shuffled; probed in this order
	nextProbe      int
	selfGossipLeft int  // how many more times this box's own state is passed on
	gossipNow      bool // a suspicion or death should be passed on without waiting for a probe
	fullListHeard  bool // a full heartbeat has arrived since the start or the last pause
}

func newMembership(self string, boot uint64, timing Timing, random *rand.Rand) *membership {
	return &membership{self: self, boot: boot, timing: timing, random: random, peers: make(map[string]*peer)}
}

// setListed applies the platform's list for the domain. A box that is no
// longer listed but still sends heartbeats stays known until it falls
// silent.
func (m *membership) setListed(boxes []BoxEntry) {
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
		if !p.listed && !p.reportedAlive {
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
	m.probeOrder, m.nextProbe = slices.Clone(m.names), 0
	m.shuffle()
}

func (m *membership) shuffle() {
	m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
}

// gossipRepeats returns how many times a change is passed on.
func (m *membership) gossipRepeats() int { return gossipFactor * bits.Len(uint(len(m.names)+1)) }

// setState sets a state and schedules it to be passed on.
func (m *membership) setState(now time.Duration, p *peer, s memberState) {
	if p.state == s {
		return
	}
	p.state, p.stateSince = s, now
	p.gossipLeft = m.gossipRepeats()
	m.gossipNow = m.gossipNow || s == memberSuspect || s == memberDead
}

// announce schedules this box's own state to be passed on: a change, or that
// it is alive.
func (m *membership) announce() {
	m.counter++
	m.selfGossipLeft = m.gossipRepeats()
}

// onHeartbeat handles a heartbeat from the box that it describes.
func (m *membership) onHeartbeat(now time.Duration, from string, boot uint64, h *Heartbeat) {
	p := m.peer(from)
	if boot < p.boot {
		return
	}
	if boot > p.boot {
		p.boot, p.counter, p.leaving, p.roster = boot, 0, false, 0
		p.gossipLeft = m.gossipRepeats()
	}
	if h.Roster > p.roster || h.Leaving != p.leaving || h.Announce {
		p.gossipLeft = m.gossipRepeats()
	}
	p.counter = max(p.counter, h.Counter)
	p.leaving, p.blind, p.table = h.Leaving, h.PlatformUnreachable, h.Table
	p.roster = max(p.roster, h.Roster)
	p.lastHeard, p.probedSince, p.tries = now, 0, 0
	m.setState(now, p, memberAlive)
	m.fullListHeard = m.fullListHeard || h.Full
	for _, s := range h.Sightings {
		m.merge(now, s)
	}
}

// merge applies what another box reports about a third.
func (m *membership) merge(now time.Duration, s Sighting) {
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
		p.gossipLeft = m.gossipRepeats()
	}
	m.mergeState(now, p, s)
}

func (m *membership) mergeState(now time.Duration, p *peer, s Sighting) {
	switch state := memberState(s.State); state {
	case memberAlive:
		if s.Counter > p.counter || p.state == memberUnknown {
			p.counter = max(p.counter, s.Counter)
			m.setState(now, p, memberAlive)
		}
	case memberSuspect, memberDead:
		heardRecently := p.lastHeard > 0 && now-p.lastHeard < m.timing.ProbeRetryInterval*probeTries
		switch {
		case p.state == memberAlive && (s.Counter < p.counter || heardRecently):
			p.gossipLeft = m.gossipRepeats() // this box has newer information
		case s.Counter >= p.counter && state > p.state:
			m.setState(now, p, state)
		}
	}
}

// probesToRepeat returns the boxes to probe again, and marks as suspected
// those that have been probed often enough.
func (m *membership) probesToRepeat(now time.Duration) []string {
	var repeat []string
	for _, name := range m.names {
		p := m.peers[name]
		if p.probedSince == 0 || now-p.probedSince < time.Duration(p.tries)*m.timing.ProbeRetryInterval {
			continue
		}
		if p.tries < probeTries {
			p.tries++
			repeat = append(repeat, name)
			continue
		}
		p.probedSince = 0
		if p.state == memberAlive {
			m.setState(now, p, memberSuspect)
		}
	}
	return repeat
}

// sweep updates the states that depend on time, and calls changed for each
// box that became alive or dead.
func (m *membership) sweep(now time.Duration, changed func(p *peer)) {
	for _, name := range m.names {
		p := m.peers[name]
		if p.state == memberSuspect && now-p.stateSince >= m.timing.SuspectTimeout {
			m.setState(now, p, memberDead)
		}
		if alive := p.state == memberAlive || p.state == memberSuspect; alive != p.reportedAlive {
			p.reportedAlive = alive
			changed(p)
		}
	}
}

// heartbeat creates this box's next heartbeat, with the changes that were
// passed on least often, or with every known box if full is set.
func (m *membership) heartbeat(full bool) *Heartbeat {
	m.counter++
	h := &Heartbeat{Counter: m.counter, Full: full}
	if m.selfGossipLeft > 0 {
		m.selfGossipLeft--
		h.Announce = true
	}
	var changes []*peer
	for _, name := range m.names {
		if p := m.peers[name]; p.state != memberUnknown && (p.gossipLeft > 0 || full) {
			changes = append(changes, p)
		}
	}
	if !full {
		slices.SortStableFunc(changes, func(a, b *peer) int { return b.gossipLeft - a.gossipLeft })
		changes = changes[:min(len(changes), m.timing.MaxSightings)]
	}
	for _, p := range changes {
		p.gossipLeft = max(0, p.gossipLeft-1)
		h.Sightings = append(h.Sightings, Sighting{p.name, p.boot, p.counter, p.roster, p.leaving, uint8(p.state)})
	}
	return h
}

// probeTargets returns the boxes to probe in this period, in turn.
func (m *membership) probeTargets(now time.Duration, joining bool) []string {
	n := 1
	switch {
	case len(m.names) <= probeAllMax:
		n = len(m.names)
	case joining:
		n = joinProbes
	}
	var out []string
	for range min(n, len(m.probeOrder)) {
		if m.nextProbe >= len(m.probeOrder) {
			m.nextProbe = 0
			m.shuffle()
		}
		name := m.probeOrder[m.nextProbe]
		m.nextProbe++
		if p := m.peers[name]; p.probedSince == 0 {
			p.probedSince, p.tries = now, 1
		}
		out = append(out, name)
	}
	return out
}

// randomLive returns up to n live boxes, chosen at random.
func (m *membership) randomLive(n int) []string {
	live := m.live()
	m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// candidates returns the boxes that may own sets: those alive and not
// leaving. This box is included unless it is leaving and others remain.
func (m *membership) candidates(selfLeaving bool) []string {
	var out []string
	for _, name := range m.names {
		if p := m.peers[name]; p.reportedAlive && !p.leaving {
			out = append(out, name)
		}
	}
	if !selfLeaving || len(out) == 0 {
		i, _ := slices.BinarySearch(out, m.self)
		out = slices.Insert(out, i, m.self)
	}
	return out
}

// live returns the other live boxes.
func (m *membership) live() []string {
	var out []string
	for _, name := range m.names {
		if m.peers[name].reportedAlive {
			out = append(out, name)
		}
	}
	return out
}

// forgetStates resets all liveness: after a pause this box's view is out of
// date, and it must hear from each box again.
func (m *membership) forgetStates(now time.Duration) {
	m.fullListHeard = false
	for _, p := range m.peers {
		p.state, p.stateSince = memberUnknown, now
		p.lastHeard, p.probedSince, p.tries, p.roster = 0, 0, 0, 0
	}
	m.announce()
}

// agreed reports whether every listed box is alive, not suspected, and has
// the same list revision as this box.
func (m *membership) agreed(roster uint64) bool {
	for _, p := range m.peers {
		if p.listed && (p.state != memberAlive || p.roster != roster) {
			return false
		}
	}
	return true
}
