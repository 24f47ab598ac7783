package balance

// This file defines the work that is under way on an upstream, by urgency: engines
// read the prompts of more urgent requests first. The invariant: no count is below 0.

import "github.com/cespare/xxhash/v2"

// Levels is how many urgencies are told apart; those beyond count as the last.
const Levels = 10

// Load is what boxes have under way on an upstream.
type Load struct {
	Unread int // prompt tokens that are not yet read
	Open   int // requests
	Tight  int // those of them whose events must follow each other closely
	Held   int // tokens of its memory that they take, or will
}

// Plus is the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Unread: l.Unread + o.Unread, Open: l.Open + o.Open, Tight: l.Tight + o.Tight, Held: l.Held + o.Held}
}

// Minus is the load less another one; none of its fields is below 0.
func (l Load) Minus(o Load) Load {
	return Load{Unread: l.Unread - o.Unread, Open: l.Open - o.Open, Tight: l.Tight - o.Tight, Held: l.Held - o.Held}.floored()
}

// floored is the load with 0 for each field that is below.
func (l Load) floored() Load {
	return Load{Unread: max(0, l.Unread), Open: max(0, l.Open), Tight: max(0, l.Tight), Held: max(0, l.Held)}
}

// LoadKey says whose load it is, where boxes tell each other.
type LoadKey struct {
	Upstream uint32 // key of its life
	Urgency  int
}

// Key identifies an upstream of which no start is known, a service or a class, where boxes
// tell each other of it.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// work is the load by urgency.
type work [Levels]Load

// add counts a change of the load at an urgency; its fields may be below 0.
func (w *work) add(urgency int, change Load) { w[urgency] = w[urgency].Plus(change).floored() }

// upTo adds up what is at least as urgent.
func (w *work) upTo(urgency int) Load {
	var sum Load
	for _, l := range w[:urgency+1] {
		sum = sum.Plus(l)
	}
	return sum
}

// ahead is the prompt tokens that an upstream reads before those of a request with
// the urgency, for all boxes.
func (m *member) ahead(urgency int) int {
	return m.work.upTo(urgency).Unread + m.others.upTo(urgency).Unread
}

// underWay is the load at all urgencies, for all boxes.
func (m *member) underWay() Load {
	if !m.active {
		return Load{}
	}
	return m.work.upTo(Levels - 1).Plus(m.others.upTo(Levels - 1))
}

// open is how many requests are under way, for all boxes.
func (m *member) open() int { return m.underWay().Open }

// Loads returns what this box has under way.
func (f *Fleet) Loads() map[LoadKey]Load {
	loads := make(map[LoadKey]Load)
	for _, s := range f.services {
		for _, m := range s.active {
			f.addLoads(loads, m)
		}
	}
	return loads
}

// addLoads adds what this box has under way on an upstream, where that is listed.
func (f *Fleet) addLoads(loads map[LoadKey]Load, m *member) {
	if !f.lists(m) {
		return
	}
	for urgency, l := range m.work {
		if l.Open > 0 {
			loads[LoadKey{m.key, urgency}] = l
		}
	}
}

// UpdateRemoteLoads takes changes in what all other boxes have under way; an empty load is none.
func (f *Fleet) UpdateRemoteLoads(changes map[LoadKey]Load) {
	if f.cfg.Off[Loads] {
		return
	}
	for key, load := range changes {
		f.setOther(key, load)
	}
}

// setOther notes a load of all other boxes, unless its upstream is not known or the urgency
// is none of ours.
func (f *Fleet) setOther(key LoadKey, load Load) {
	m := f.byKey[key.Upstream]
	if m == nil || key.Urgency < 0 || key.Urgency >= Levels {
		return
	}
	m.others[key.Urgency] = load
	f.activate(m)
}

// NeedsRemoteLoads reports whether an upstream was listed since SetOthers: other boxes may have told before that they have
// work there.
func (f *Fleet) NeedsRemoteLoads() bool { return f.othersAnew }

// SetOthers takes what all other boxes have under way. It costs as much as there is
// work, not as there are upstreams.
func (f *Fleet) SetOthers(loads map[LoadKey]Load) {
	f.othersAnew = false
	for _, s := range f.services {
		for _, m := range s.active {
			m.others = work{}
		}
	}
	if f.cfg.Off[Loads] {
		return
	}
	for key, load := range loads {
		f.setOther(key, load)
	}
}
