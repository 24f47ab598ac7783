package balance

// This file defines the work in progress on an upstream, by urgency: engines read the prompts of
// more urgent requests first. Invariant: no count is negative.

import "github.com/cespare/xxhash/v2"

// UrgencyLevels is the number of urgency levels. Greater urgency values count as the last level.
const UrgencyLevels = 10

// Load is the work that boxes have in progress on an upstream.
type Load struct {
	Unread       int // prompt tokens not yet read
	Requests     int // open requests
	Tight        int // open requests that are tight streams: the gaps between their events must be short
	MemoryTokens int // tokens of the upstream's memory reserved for the open requests
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Unread: l.Unread + o.Unread, Requests: l.Requests + o.Requests, Tight: l.Tight + o.Tight, MemoryTokens: l.MemoryTokens + o.MemoryTokens}
}

// Minus returns the difference of two loads, with negative fields set to 0.
func (l Load) Minus(o Load) Load {
	return Load{Unread: l.Unread - o.Unread, Requests: l.Requests - o.Requests, Tight: l.Tight - o.Tight, MemoryTokens: l.MemoryTokens - o.MemoryTokens}.floored()
}

// floored returns the load with negative fields set to 0.
func (l Load) floored() Load {
	return Load{Unread: max(0, l.Unread), Requests: max(0, l.Requests), Tight: max(0, l.Tight), MemoryTokens: max(0, l.MemoryTokens)}
}

// LoadKey identifies a load in reports between boxes.
type LoadKey struct {
	Upstream uint32 // key of its incarnation
	Urgency  int
}

// Key identifies an upstream without a known start time, a service or a class in messages between
// boxes.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// work is the load by urgency.
type work [UrgencyLevels]Load

// add applies a change to the load at an urgency. Fields of the change may be negative.
func (w *work) add(urgency int, change Load) { w[urgency] = w[urgency].Plus(change).floored() }

// upTo returns the total load at an urgency and all more urgent levels.
func (w *work) upTo(urgency int) Load {
	var sum Load
	for _, l := range w[:urgency+1] {
		sum = sum.Plus(l)
	}
	return sum
}

// unreadAhead returns the prompt tokens, over all boxes, that an upstream reads before those of a
// request with the given urgency.
func (m *member) unreadAhead(urgency int) int {
	return m.work.upTo(urgency).Unread + m.remoteWork.upTo(urgency).Unread
}

// totalLoad returns the load at all urgencies over all boxes.
func (m *member) totalLoad() Load {
	if !m.active {
		return Load{}
	}
	return m.work.upTo(UrgencyLevels - 1).Plus(m.remoteWork.upTo(UrgencyLevels - 1))
}

// open returns the number of open requests over all boxes.
func (m *member) open() int { return m.totalLoad().Requests }

// Loads returns the work of this box in progress.
func (f *Fleet) Loads() map[LoadKey]Load {
	loads := make(map[LoadKey]Load)
	for _, s := range f.services {
		for _, m := range s.active {
			f.addLoads(loads, m)
		}
	}
	return loads
}

// addLoads adds the work of this box on an upstream, if the upstream is listed.
func (f *Fleet) addLoads(loads map[LoadKey]Load, m *member) {
	if !f.isListed(m) {
		return
	}
	for urgency, l := range m.work {
		if l.Requests > 0 {
			loads[LoadKey{m.key, urgency}] = l
		}
	}
}

// UpdateRemoteLoads applies changes to the total loads of the other boxes. An empty Load clears
// the entry.
func (f *Fleet) UpdateRemoteLoads(changes map[LoadKey]Load) {
	if f.cfg.Off[Loads] {
		return
	}
	for key, load := range changes {
		f.setRemoteLoad(key, load)
	}
}

// setRemoteLoad sets a total load of the other boxes. It ignores unknown upstreams and urgencies
// out of range.
func (f *Fleet) setRemoteLoad(key LoadKey, load Load) {
	m := f.byKey[key.Upstream]
	if m == nil || key.Urgency < 0 || key.Urgency >= UrgencyLevels {
		return
	}
	m.remoteWork[key.Urgency] = load
	f.activate(m)
}

// NeedsRemoteLoads reports whether an upstream was listed after the last SetRemoteLoads. Other boxes
// may have reported loads for it before.
func (f *Fleet) NeedsRemoteLoads() bool { return f.remoteLoadsStale }

// SetRemoteLoads replaces the total loads of the other boxes. Its cost grows with the amount of
// work, not with the number of upstreams.
func (f *Fleet) SetRemoteLoads(loads map[LoadKey]Load) {
	f.remoteLoadsStale = false
	for _, s := range f.services {
		for _, m := range s.active {
			m.remoteWork = work{}
		}
	}
	if f.cfg.Off[Loads] {
		return
	}
	for key, load := range loads {
		f.setRemoteLoad(key, load)
	}
}
