package balance

// This file defines how the list of upstreams changes. Invariants: an incarnation that is leaving
// remains leaving; no two upstreams hold the same address, because the one that started last
// among those naming it holds it; and an entry of a service that the configuration document does
// not name takes no address from others.

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Put adds an upstream or updates its entry. It returns the ID of the upstream whose address it
// has taken over, or "". An entry of an earlier incarnation is ignored. An entry of a later
// incarnation discards the state of the previous one. An entry that clears Leaving for an
// incarnation known to be leaving is out of date, so the incarnation remains leaving.
func (f *Fleet) Put(now time.Duration, u Upstream) (replaced string) {
	f.lastPutAt = max(f.lastPutAt, now)
	if f.isStale(u) {
		return ""
	}
	u = f.mergeEntry(u)
	if f.serves(u.Service) {
		holder := f.byAddress[u.Address]
		if contested := u.Address != "" && holder != nil && holder.ID != u.ID; contested {
			if !f.takesAddressFrom(u, holder) {
				f.awaitAddress(u)
				return ""
			}
			f.awaitAddress(holder.Upstream)
			replaced = holder.ID
		}
	}
	delete(f.addressWaiters, u.ID)
	f.putEntry(now, u)
	return replaced
}

// mergeEntry combines an entry with the known state of its upstream. If the entry belongs to
// another incarnation or service, the upstream is removed first.
func (f *Fleet) mergeEntry(u Upstream) Upstream {
	before := f.entry(u.ID)
	switch {
	case before == nil:
	case isRestart(*before, u), before.Service != u.Service:
		f.remove(u.ID)
	case u.StartedAt == 0:
		u.StartedAt = before.StartedAt // an entry without a start time belongs to the known incarnation
	}
	if f.serves(u.Service) && isRestart(f.incarnations[u.ID].entry, u) {
		f.startIncarnation(u)
	}
	u.Leaving = u.Leaving || f.knownLeaving(u.Incarnation())
	f.remember(u)
	return u
}

// startIncarnation discards what the previous incarnation reported about itself. If that one
// reported leaving, the report may have come from the new incarnation, which must then be
// checked.
func (f *Fleet) startIncarnation(u Upstream) {
	reported := f.incarnations[u.ID].reportedLeaving
	delete(f.incarnations, u.ID)
	delete(f.pauses, u.Incarnation().Key()) // incarnations without a start time share one key
	f.setIncarnation(lastIncarnation{entry: u, needsLeavingCheck: reported})
}

// takesAddressFrom reports whether an entry takes its address from the present holder: it started
// later, or the holder is known to have been replaced. A replaced incarnation takes no
// address, nor does an entry that is neither later nor newer.
func (f *Fleet) takesAddressFrom(u Upstream, holder *member) bool {
	if holder.replaced && !f.isLeaving(u) {
		return true
	}
	if f.knownLeaving(u.Incarnation()) && !holder.Leaving {
		return false
	}
	order := compareStart(u, holder.Upstream)
	return order > 0 || order == 0 && u.StartedAt == 0
}

// awaitAddress unlists an upstream whose address another one holds, until that one is removed.
func (f *Fleet) awaitAddress(u Upstream) {
	f.remove(u.ID)
	f.addressWaiters[u.ID] = &u
}

// putEntry adds an upstream or updates its entry, without resolving address conflicts.
func (f *Fleet) putEntry(now time.Duration, u Upstream) {
	if m := f.byID[u.ID]; m != nil {
		u.Leaving = u.Leaving || m.Leaving
		if u.Address != m.Address {
			f.dropAddress(m)
		}
		m.service.slotCount += u.Slots - m.Slots
		if u.Software != m.Software {
			m.service.software.drop(m.Software)
			f.noteSoftware(m.service, u.Software)
		}
		m.Upstream, m.evacuated = u, f.evacuated[u.Domain]
		f.claimAddress(m)
		f.markCold(now, m, u.ColdFor)
		return
	}
	if len(f.byID) == 0 {
		f.firstListedAt = now
	}
	if f.knownSince == longAgo {
		f.knownSince = now
	}
	s := f.serviceOf(u.Service)
	m := &member{Upstream: u, service: s, laneWeight: weight(u.ID, laneKey), listedAt: now, laneChangedAt: longAgo, lastBreakAt: longAgo, key: u.Incarnation().Key(), coldUntil: longAgo, evacuated: f.evacuated[u.Domain]}
	m.needsLeavingCheck = f.NeedsLeavingCheck(u.Incarnation())
	m.history = f.historyOf(m.key)
	f.restore(m)
	f.takeOverWork(m)
	f.claimAddress(m)
	f.markCold(now, m, u.ColdFor)
	if now-f.firstListedAt < initialListSpan {
		m.listedAt = now - f.cfg.Tuning.NewUpstreamPeriod // it was running before this box started
	}
	f.byID[u.ID], f.byKey[m.key] = m, m
	f.limits.listed = len(f.byID)
	s.stale, f.remoteLoadsStale = true, true
	s.upstreamCount++
	s.slotCount += u.Slots
	f.noteSoftware(s, u.Software)
	f.byService[u.Service] = append(f.byService[u.Service], m)
	f.quotasStale = true
}

// Remove unlists an upstream and gives its address to the next upstream that waits for it.
// Tickets that are open on the removed upstream can still be closed.
func (f *Fleet) Remove(id string) {
	m := f.byID[id]
	f.remove(id)
	if m != nil {
		f.releaseAddress(f.lastPutAt, m.Address)
	}
}

// remove unlists an upstream.
func (f *Fleet) remove(id string) {
	delete(f.addressWaiters, id)
	m := f.byID[id]
	if m == nil {
		return
	}
	f.remember(m.Upstream)
	delete(f.byID, id)
	if m.hasOpen() {
		f.unlisted[id] = m
	}
	if f.byKey[m.key] == m {
		delete(f.byKey, m.key)
	}
	f.dropAddress(m)
	m.service.stale = true
	m.service.upstreamCount--
	m.service.slotCount -= m.Slots
	m.service.software.drop(m.Software)
	f.parts.forget(m)
	f.markReachable(m) // remove it from the count of its cut-off domain
	m.setReachability(false, false)
	m.setReportedLost(false)
	isIt := func(other *member) bool { return other == m }
	f.byService[m.Service] = slices.DeleteFunc(f.byService[m.Service], isIt)
	f.coldMembers = slices.DeleteFunc(f.coldMembers, isIt)
	f.forgetHistory(f.lastPutAt, m.key)
}

// releaseAddress gives an address that no upstream holds to the next one that waits for it.
func (f *Fleet) releaseAddress(now time.Duration, address string) {
	if address == "" || f.byAddress[address] != nil {
		return
	}
	if next := f.nextWaiter(address); next != nil {
		f.Put(now, *next)
	}
}

// nextWaiter returns the entry that gets an address next: the latest of those that wait for it,
// and one that is not leaving before any that is. It returns nil if none waits.
func (f *Fleet) nextWaiter(address string) *Upstream {
	var next *Upstream
	for _, u := range f.addressWaiters {
		if u.Address == address && (next == nil || f.precedes(*u, *next)) {
			next = u
		}
	}
	return next
}

// precedes reports whether entry a gets an address before entry b when both wait for it.
func (f *Fleet) precedes(a, b Upstream) bool {
	if left := f.isLeaving(a); left != f.isLeaving(b) {
		return !left
	}
	return compareStart(a, b) > 0
}

// isLeaving reports whether an upstream takes no new requests, according to its entry or to what
// is known of its incarnation.
func (f *Fleet) isLeaving(u Upstream) bool { return u.Leaving || f.knownLeaving(u.Incarnation()) }

// NoteIdentity records that the incarnation meant answered with another upstream ID. If the entry of
// that upstream waits for the address, it takes the address over.
func (f *Fleet) NoteIdentity(now time.Duration, meant Incarnation, answeredID string) {
	m, waiter := f.byID[meant.ID], f.addressWaiters[answeredID]
	if m == nil || m.Incarnation() != meant || waiter == nil || waiter.Address != m.Address {
		return
	}
	u := *waiter
	f.noteReplaced(m)
	f.awaitAddress(m.Upstream)
	f.Put(now, u)
}

// SetServices sets the services that the configuration document in force names. A document that
// names the same services as the previous one returns early: most versions do, and scanning
// thousands of upstreams for each would delay the box's requests.
func (f *Fleet) SetServices(now time.Duration, names []string) {
	named := make(map[string]bool, len(names))
	for _, name := range names {
		named[name] = true
	}
	if f.documentServices != nil && maps.Equal(named, f.documentServices) {
		return
	}
	f.documentServices = named
	for _, m := range f.membersInOrder() {
		if !f.serves(m.Service) {
			f.dropAddress(m)
			f.releaseAddress(now, m.Address)
		}
	}
	for _, m := range f.membersInOrder() {
		if m.Address != "" && f.isListed(m) && f.serves(m.Service) && f.byAddress[m.Address] != m {
			u := m.Upstream
			u.ColdFor = 0 // the cold time was applied when the entry was first put
			f.Put(now, u)
		}
	}
}

// Serves reports whether an upstream is listed for a service that the document names.
func (f *Fleet) Serves(id string) bool {
	m := f.byID[id]
	return m != nil && f.serves(m.Service)
}

// serves reports whether the document names a service. Before the first document every service
// counts as named.
func (f *Fleet) serves(service string) bool {
	return f.documentServices == nil || f.documentServices[service]
}

// membersInOrder returns the listed upstreams, sorted by ID.
func (f *Fleet) membersInOrder() []*member {
	list := make([]*member, 0, len(f.byID))
	for _, m := range f.byID {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// claimAddress records an upstream as the holder of its address.
func (f *Fleet) claimAddress(m *member) {
	if f.serves(m.Service) {
		f.byAddress[m.Address] = m
	}
}

// dropAddress removes an upstream as the holder of its address.
func (f *Fleet) dropAddress(m *member) {
	if f.byAddress[m.Address] == m {
		delete(f.byAddress, m.Address)
	}
}
