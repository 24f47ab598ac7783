package balance

// This file defines how the list of upstreams changes. The invariants: one that is leaving
// stays so; and no two of them have the same address, since of those that name it the entry
// with the greater revision is the newer start.

import (
	"slices"
	"time"
)

// Put adds an upstream, or renews what is known of it, and returns the id of the one whose
// address it has taken over, or an empty text. One that is leaving stays so: an entry that
// says otherwise is an old one.
func (f *Fleet) Put(now time.Duration, u Upstream) (replaced string) {
	if m := f.byID[u.ID]; m != nil && m.Service != u.Service {
		f.Remove(u.ID) // it serves something else now
	}
	before := f.byAddress[u.Address]
	if u.Address != "" && before != nil && before.ID != u.ID {
		if before.Revision > u.Revision {
			return "" // this is the entry of the one before, which goes when it has lapsed
		}
		f.Remove(before.ID)
		replaced = before.ID
	}
	f.put(now, u)
	return replaced
}

// put adds an upstream, or renews what is known of it.
func (f *Fleet) put(now time.Duration, u Upstream) {
	if m := f.byID[u.ID]; m != nil {
		u.Leaving = u.Leaving || m.Leaving
		if u.Address != m.Address {
			f.forgetAddress(m)
		}
		m.Upstream, m.evacuated = u, f.evacuated[u.Domain]
		f.byAddress[u.Address] = m
		f.cool(now, m, u.ColdFor)
		return
	}
	if len(f.byID) == 0 {
		f.listed = now
	}
	m := &member{Upstream: u, since: now, moved: longAgo, key: Key(u.ID), coldTill: longAgo, evacuated: f.evacuated[u.Domain]}
	f.byAddress[u.Address] = m
	f.cool(now, m, u.ColdFor)
	if now-f.listed < firstList {
		m.since = now - f.cfg.Tuning.NewFor // it was there before this box
	}
	f.byID[u.ID], f.byKey[m.key] = m, m
	f.serviceOf(u.Service).stale = true
	f.byService[u.Service] = append(f.byService[u.Service], m)
	f.sharedAnew = true
}

// Remove forgets an upstream. Tickets that are open on it may still be closed.
func (f *Fleet) Remove(id string) {
	m := f.byID[id]
	if m == nil {
		return
	}
	delete(f.byID, id)
	delete(f.byKey, m.key)
	f.forgetAddress(m)
	f.serviceOf(m.Service).stale = true
	f.kept.forget(m)
	f.markIn(m) // it counts among those of a domain that is left no more
	isIt := func(other *member) bool { return other == m }
	f.byService[m.Service] = slices.DeleteFunc(f.byService[m.Service], isIt)
}

// forgetAddress forgets that an upstream has its address.
func (f *Fleet) forgetAddress(m *member) {
	if f.byAddress[m.Address] == m {
		delete(f.byAddress, m.Address)
	}
}
