package balance

// This file defines which upstreams are looked at as time passes: those with requests under way, and those that had
// prompts to read lately. The invariant: any other upstream has no work and reads nothing, so that what a box does for
// its fleet ten times a second grows with the requests and not with the upstreams.

import "slices"

// leastReading is the share of its time below which an upstream counts as reading nothing; the steps that calmStep
// tells apart are far coarser.
const leastReading = 0.01

// activate notes that an upstream may have work.
func (f *Fleet) activate(m *member) {
	if m.active {
		return
	}
	m.active = true
	m.service.active = append(m.service.active, m)
}

// settle drops from a service's active upstreams those that are so no more.
func (f *Fleet) settle(s *service) {
	s.active = slices.DeleteFunc(s.active, func(m *member) bool {
		if f.lists(m) && (m.reading >= leastReading || m.hasWork()) {
			return false
		}
		m.active, m.reading = false, 0
		return true
	})
}

// hasWork reports whether any box has work on an upstream.
func (m *member) hasWork() bool { return m.work != (work{}) || m.others != (work{}) }
