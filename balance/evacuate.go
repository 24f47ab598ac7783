package balance

// This file defines which failure domains are evacuated: operators want nothing more sent
// to their upstreams until they take the domain back. The invariant: while a domain is
// evacuated none of its upstreams is chosen or tried, even where no other is left: the
// request is refused then, since operators are about to take the machines away.

import (
	"maps"
	"slices"
	"time"
)

// Evacuate notes that nothing more is to be sent to the upstreams of a failure domain, and
// reports whether that is new.
func (f *Fleet) Evacuate(domain string) bool {
	if f.evacuated[domain] {
		return false
	}
	f.evacuated[domain] = true
	f.markEvacuated(domain, true)
	return true
}

// TakeBack notes that the upstreams of a failure domain may be used again, and reports
// whether that is new. They count as cold from then on for as long as their service's
// upstreams stay so after a start: they may have turned cold shortly before, and their
// entries tell that up to a heartbeat later.
func (f *Fleet) TakeBack(now time.Duration, domain string) bool {
	if !f.evacuated[domain] {
		return false
	}
	delete(f.evacuated, domain)
	f.markEvacuated(domain, false)
	for _, m := range f.byID {
		if m.Domain == domain {
			f.cool(now, m, f.serviceOf(m.Service).cold.Lasts)
		}
	}
	return true
}

// Evacuated lists the failure domains that are evacuated, in order.
func (f *Fleet) Evacuated() []string { return slices.Sorted(maps.Keys(f.evacuated)) }

func (f *Fleet) markEvacuated(domain string, evacuated bool) {
	for _, m := range f.byID {
		if m.Domain == domain {
			m.evacuated = evacuated
		}
	}
}

// closed reports whether an upstream takes no new requests.
func (m *member) closed() bool { return m.Leaving || m.evacuated || m.needsLeavingCheck }
