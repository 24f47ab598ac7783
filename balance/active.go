package balance

// This file defines the active upstreams, which are the ones inspected periodically: those with
// open requests, and those that had prompts to read recently. Invariant: every other upstream has
// no work and reads nothing. The periodic work of a box, ten times a second, thus grows with the
// number of requests and not with the number of upstreams.

import "slices"

// minReading is the share of its time below which an upstream counts as reading nothing. The
// steps of prefillLevel are much coarser.
const minReading = 0.01

// activate adds an upstream to its service's active ones.
func (f *Fleet) activate(m *member) {
	if m.active {
		return
	}
	m.active = true
	m.service.active = append(m.service.active, m)
}

// pruneActive removes the upstreams of a service that have no work and read nothing from its
// active ones.
func (f *Fleet) pruneActive(s *service) {
	s.active = slices.DeleteFunc(s.active, func(m *member) bool {
		if f.isListed(m) && (m.prefillShare >= minReading || m.hasWork()) {
			return false
		}
		m.active, m.prefillShare = false, 0
		return true
	})
}

// hasWork reports whether any box has work on an upstream.
func (m *member) hasWork() bool { return m.work != (work{}) || m.remoteWork != (work{}) }
