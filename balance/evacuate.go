package balance

// This file tracks which failure domains operators have evacuated: their upstreams get no
// requests until the evacuation ends. The invariant: no upstream of an evacuated domain is chosen
// or tried, even if no other is left. The request is refused in that case, since the machines are
// about to be taken away.

import (
	"maps"
	"slices"
	"time"
)

// Evacuate stops sending requests to the upstreams of a failure domain, and reports whether it
// was not evacuated before.
func (f *Fleet) Evacuate(domain string) bool {
	if f.evacuated[domain] {
		return false
	}
	f.evacuated[domain] = true
	f.markEvacuated(domain, true)
	return true
}

// EndEvacuation allows requests to the upstreams of a failure domain again, and reports whether
// it was evacuated. The upstreams count as cold from now on, for as long as after a start: they
// may have restarted shortly before, and their entries report that up to one heartbeat later.
func (f *Fleet) EndEvacuation(now time.Duration, domain string) bool {
	if !f.evacuated[domain] {
		return false
	}
	delete(f.evacuated, domain)
	f.markEvacuated(domain, false)
	for _, m := range f.byID {
		if m.Domain == domain {
			f.markCold(now, m, f.serviceOf(m.Service).cold.Duration)
		}
	}
	return true
}

// Evacuated returns the sorted names of the evacuated failure domains.
func (f *Fleet) Evacuated() []string { return slices.Sorted(maps.Keys(f.evacuated)) }

func (f *Fleet) markEvacuated(domain string, evacuated bool) {
	for _, m := range f.byID {
		if m.Domain == domain {
			m.evacuated = evacuated
		}
	}
}

// closed reports whether an upstream accepts no new requests.
func (m *member) closed() bool { return m.Leaving || m.evacuated || m.needsLeavingCheck }
