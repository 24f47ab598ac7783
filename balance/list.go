package balance

// This file defines how the list of upstreams changes. The invariants: a life that is leaving
// stays so; no two upstreams have the same address, since of those that name it the later start
// has it; and an entry of a service that the document does not name takes nothing from others.

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Put adds an upstream, or renews what is known of it, and returns the id of the one whose
// address it has taken over, or an empty text. An entry of an earlier life changes nothing; one
// of a later life begins anew, and what was known goes with the life before. A life that is
// leaving stays so: an entry that says otherwise is an old one.
func (f *Fleet) Put(now time.Duration, u Upstream) (replaced string) {
	f.latest = max(f.latest, now)
	if f.isPast(u) {
		return ""
	}
	u = f.renew(u)
	if f.serves(u.Service) {
		holder := f.byAddress[u.Address]
		if contested := u.Address != "" && holder != nil && holder.ID != u.ID; contested {
			if !f.takes(u, holder) {
				f.wait(u)
				return ""
			}
			f.wait(holder.Upstream)
			replaced = holder.ID
		}
	}
	delete(f.waiting, u.ID)
	f.put(now, u)
	return replaced
}

// renew joins an entry with what is known of its upstream, which goes where the entry tells of
// another life or serves something else.
func (f *Fleet) renew(u Upstream) Upstream {
	before := f.present(u.ID)
	switch {
	case before == nil:
	case isAnother(*before, u), before.Service != u.Service:
		f.remove(u.ID)
	case u.StartedAt == 0:
		u.StartedAt = before.StartedAt // an entry that names no start tells of the life that is known
	}
	if f.serves(u.Service) && isAnother(f.lives[u.ID].entry, u) {
		f.nextLife(u)
	}
	u.Leaving = u.Leaving || f.hasLeft(u.Incarnation())
	f.remember(u)
	return u
}

// nextLife forgets what the life before said of itself, but that it may have been this one which said that it is leaving.
func (f *Fleet) nextLife(u Upstream) {
	said := f.lives[u.ID].said
	delete(f.lives, u.ID)
	delete(f.pauses, u.Incarnation().Key()) // lives that name no start have the same
	f.setLife(lastLife{entry: u, unproven: said})
}

// takes reports whether an entry takes its address from who has it: it is of a later start, or
// the other is known to have ended. One that is known to have ended takes nothing, nor does one
// that says no more than the other.
func (f *Fleet) takes(u Upstream, holder *member) bool {
	if holder.ended && !f.isLeaving(u) {
		return true
	}
	if f.hasLeft(u.Incarnation()) && !holder.Leaving {
		return false
	}
	order := later(u, holder.Upstream)
	return order > 0 || order == 0 && u.StartedAt == 0
}

// wait puts an upstream aside whose address another one has, until that one goes.
func (f *Fleet) wait(u Upstream) {
	f.remove(u.ID)
	f.waiting[u.ID] = &u
}

// put adds an upstream, or renews what is known of it.
func (f *Fleet) put(now time.Duration, u Upstream) {
	if m := f.byID[u.ID]; m != nil {
		u.Leaving = u.Leaving || m.Leaving
		if u.Address != m.Address {
			f.forgetAddress(m)
		}
		m.service.slots += u.Slots - m.Slots
		m.Upstream, m.evacuated = u, f.evacuated[u.Domain]
		f.noteAddress(m)
		f.cool(now, m, u.ColdFor)
		return
	}
	if len(f.byID) == 0 {
		f.listed = now
	}
	s := f.serviceOf(u.Service)
	m := &member{Upstream: u, service: s, inLanes: weight(u.ID, laneKey), since: now, moved: longAgo, brokeAt: longAgo, key: u.Incarnation().Key(), coldTill: longAgo, evacuated: f.evacuated[u.Domain]}
	m.unproven = f.Unproven(u.Incarnation())
	m.history = f.historyOf(m.key)
	f.recall(m)
	f.takeWork(m)
	f.noteAddress(m)
	f.cool(now, m, u.ColdFor)
	if now-f.listed < firstList {
		m.since = now - f.cfg.Tuning.NewFor // it was there before this box
	}
	f.byID[u.ID], f.byKey[m.key] = m, m
	f.limits.listed = len(f.byID)
	s.stale, f.othersAnew = true, true
	s.listed++
	s.slots += u.Slots
	f.byService[u.Service] = append(f.byService[u.Service], m)
	f.sharedAnew = true
}

// Remove forgets an upstream; one that waits for its address gets it. Tickets that are open on
// it may still be closed.
func (f *Fleet) Remove(id string) {
	m := f.byID[id]
	f.remove(id)
	if m != nil {
		f.free(f.latest, m.Address)
	}
}

// remove forgets an upstream.
func (f *Fleet) remove(id string) {
	delete(f.waiting, id)
	m := f.byID[id]
	if m == nil {
		return
	}
	f.remember(m.Upstream)
	delete(f.byID, id)
	if m.hasOpen() {
		f.gone[id] = m
	}
	if f.byKey[m.key] == m {
		delete(f.byKey, m.key)
	}
	f.forgetAddress(m)
	m.service.stale = true
	m.service.listed--
	m.service.slots -= m.Slots
	f.kept.forget(m)
	f.markIn(m) // it counts among those of a domain that is left no more
	m.setLost(false, false)
	isIt := func(other *member) bool { return other == m }
	f.byService[m.Service] = slices.DeleteFunc(f.byService[m.Service], isIt)
	f.cold = slices.DeleteFunc(f.cold, isIt)
	f.forgetHistory(f.latest, m.key)
}

// free gives an address that nobody has any more to the one that is next for it.
func (f *Fleet) free(now time.Duration, address string) {
	if address == "" || f.byAddress[address] != nil {
		return
	}
	if next := f.nextFor(address); next != nil {
		f.Put(now, *next)
	}
}

// nextFor is the latest of those that wait for an address, before all that have left; nil where
// nobody waits.
func (f *Fleet) nextFor(address string) *Upstream {
	var next *Upstream
	for _, u := range f.waiting {
		if u.Address == address && (next == nil || f.goesBefore(*u, *next)) {
			next = u
		}
	}
	return next
}

// goesBefore reports whether an entry gets an address before another one that waits for it.
func (f *Fleet) goesBefore(a, b Upstream) bool {
	if left := f.isLeaving(a); left != f.isLeaving(b) {
		return !left
	}
	return later(a, b) > 0
}

// isLeaving reports whether an upstream takes no new requests, by its entry or by what is known
// of its life.
func (f *Fleet) isLeaving(u Upstream) bool { return u.Leaving || f.hasLeft(u.Incarnation()) }

// Named notes that an upstream which was meant answered that it is another one: that one has
// the address, if its entry waits for it.
func (f *Fleet) Named(now time.Duration, meant Incarnation, said string) {
	m, waits := f.byID[meant.ID], f.waiting[said]
	if m == nil || m.Incarnation() != meant || waits == nil || waits.Address != m.Address {
		return
	}
	u := *waits
	f.ended(m)
	f.wait(m.Upstream)
	f.Put(now, u)
}

// SetServices notes which services the document in force names. Most versions of it name the same: to look through
// thousands of upstreams for each would hold up the requests of a box that come meanwhile.
func (f *Fleet) SetServices(now time.Duration, names []string) {
	named := make(map[string]bool, len(names))
	for _, name := range names {
		named[name] = true
	}
	if f.named != nil && maps.Equal(named, f.named) {
		return
	}
	f.named = named
	for _, m := range f.membersInOrder() {
		if !f.serves(m.Service) {
			f.forgetAddress(m)
			f.free(now, m.Address)
		}
	}
	for _, m := range f.membersInOrder() {
		if m.Address != "" && f.lists(m) && f.serves(m.Service) && f.byAddress[m.Address] != m {
			u := m.Upstream
			u.ColdFor = 0 // that was taken in before
			f.Put(now, u)
		}
	}
}

// Serves reports whether an upstream is listed for a service that the document names.
func (f *Fleet) Serves(id string) bool {
	m := f.byID[id]
	return m != nil && f.serves(m.Service)
}

// serves reports whether there is such a service, as far as is known.
func (f *Fleet) serves(service string) bool { return f.named == nil || f.named[service] }

// membersInOrder lists the upstreams by id.
func (f *Fleet) membersInOrder() []*member {
	list := make([]*member, 0, len(f.byID))
	for _, m := range f.byID {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// noteAddress notes that an upstream has its address.
func (f *Fleet) noteAddress(m *member) {
	if f.serves(m.Service) {
		f.byAddress[m.Address] = m
	}
}

// forgetAddress forgets that an upstream has its address.
func (f *Fleet) forgetAddress(m *member) {
	if f.byAddress[m.Address] == m {
		delete(f.byAddress, m.Address)
	}
}
