package balance

// This file defines how an upstream that was out of reach is used again. It may have started
// again under its id, and be cold, before its entry says so; where the store is down that takes
// as long as it is. The invariant: where a service bounds what a cold upstream bears, one that
// can be reached again gets its ration only, until what is published tells of the time since or
// it is warm in either case. Without this, upstreams that start again are sent more than they bear until
// their entries come.

import (
	"slices"
	"time"
)

// toldWithin is how long after its start an upstream's entry is published at the latest, as far
// as the store takes it: an upstream writes it at once, and a call takes 4 ms, or some 300 where
// the store is slow.
const toldWithin = 500 * time.Millisecond

// returns notes that an upstream gets requests again, if it got none.
func (f *Fleet) returns(now time.Duration, m *member) {
	wasOut := m.unreachable
	f.markIn(m)
	if !wasOut {
		return
	}
	m.back = now
	cold := f.serviceOf(m.Service).cold
	if cold.Most == 0 || now < m.coldTill || f.lostMost(m.Service) {
		return
	}
	f.cool(now, m, cold.Lasts)
	m.setLost(m.unreachable, now < m.coldTill)
}

// lostMost reports whether more of a service's upstreams than may rest are out of reach, or came
// back and nothing is told of them yet: then the cause is on this box's side, and their rations
// alone would leave its callers without any.
func (f *Fleet) lostMost(service string) bool {
	s := f.serviceOf(service)
	return (s.lost+1)*percent > s.listed*mostResting
}

// setLost notes whether an upstream is out of reach, and whether it came back and nothing is told of it yet.
func (m *member) setLost(out, unsure bool) {
	if m.unreachable || m.unsure {
		m.service.lost--
	}
	m.unreachable, m.unsure = out, unsure
	if m.unreachable || m.unsure {
		m.service.lost++
	}
}

// Told notes that all that was published up to a moment is known here: what came back before
// that, and is cold, has said so.
func (f *Fleet) Told(now, known time.Duration) {
	for _, m := range f.cold {
		if m.unsure && known >= m.back+toldWithin {
			m.setLost(m.unreachable, false)
			m.coldTill = now
			f.rationsStale = true
		}
	}
	f.cold = slices.DeleteFunc(f.cold, func(m *member) bool {
		isWarm := now >= m.coldTill
		m.setLost(m.unreachable, m.unsure && !isWarm)
		return isWarm
	})
}
