package balance

// This file defines incarnations: an upstream that restarts under its ID is a new incarnation,
// which holds no state of the previous one. Invariants: state that was learned or reported for an
// earlier incarnation is never applied to the present one; and once an incarnation is known, no
// earlier one is listed again, whatever the revision of its entry.

import (
	"cmp"
	"strconv"
	"time"
)

// Incarnation identifies one run of an upstream, from its start to its end.
type Incarnation struct {
	ID        string
	StartedAt int64 // start time, Unix ms, as its own entry states it; 0 if unknown
}

// Incarnation returns the incarnation that an entry describes.
func (u Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.StartedAt} }

// Key identifies an incarnation in messages between boxes. A report about an earlier incarnation
// therefore matches nothing on a box that knows a later one, and vice versa.
func (l Incarnation) Key() uint32 {
	if l.StartedAt == 0 {
		return Key(l.ID)
	}
	return Key(l.ID + "\x00" + strconv.FormatInt(l.StartedAt, 10))
}

// After reports whether l is a later incarnation of the same upstream than o. One with a start
// time is later than one without: writers of entries start to state it when the upstream
// restarts.
func (l Incarnation) After(o Incarnation) bool { return l.ID == o.ID && l.StartedAt > o.StartedAt }

// lastIncarnation is the state kept for the latest known incarnation of an upstream. It outlives
// the upstream's entry.
type lastIncarnation struct {
	entry           Upstream // its latest entry
	leaving         bool     // takes no new requests, by its entry or by its own report
	reportedLeaving bool     // reported by the upstream itself
	// needsLeavingCheck says that the previous incarnation reported leaving. The report may have
	// come from this one, before its entry was known.
	needsLeavingCheck bool
	replaced          bool // another upstream has taken over its address
	// distrustUntil is the time until which cache news from other boxes may predate a suspected
	// restart. The entry may be removed and listed again in the meantime.
	distrustUntil time.Duration
}

// maxIncarnations is the least number of incarnations kept beside those of listed upstreams. If
// more upstreams than that are listed, as many as are listed are kept, because all of them may be
// replaced within a short time.
const maxIncarnations = 1 << 13

// restore copies the kept state of an incarnation that is listed again.
func (f *Fleet) restore(m *member) {
	if last := f.incarnations[m.ID]; m.StartedAt != 0 && last.entry.StartedAt == m.StartedAt {
		m.distrustUntil = last.distrustUntil
		m.suspect = m.distrustUntil > 0
		m.replaced = last.replaced
	}
}

// takeOverWork counts the open requests of this box on an incarnation that is listed again.
// Without it, placement could exceed the upstream's memory by what those requests hold.
func (f *Fleet) takeOverWork(m *member) {
	before := f.unlisted[m.ID]
	if before == nil || before.Incarnation() != m.Incarnation() || isRestart(before.Upstream, m.Upstream) {
		return
	}
	m.work, before.work, before.successor = before.work, work{}, m
	f.activate(m)
	delete(f.unlisted, m.ID)
}

// dropIdleUnlisted drops an unlisted upstream when its last request has ended, so that this box
// keeps no more unlisted upstreams than it has open requests.
func (f *Fleet) dropIdleUnlisted(m *member) {
	if f.unlisted[m.ID] == m && !m.hasOpen() {
		delete(f.unlisted, m.ID)
	}
}

// current returns the member on which the work of m is counted.
func (m *member) current() *member {
	for m.successor != nil {
		m = m.successor
	}
	return m
}

// hasOpen reports whether this box has requests open on an upstream.
func (m *member) hasOpen() bool { return m.work.upTo(UrgencyLevels-1).Requests > 0 }

// isStale reports whether an entry describes an earlier incarnation than the latest known one.
func (f *Fleet) isStale(u Upstream) bool {
	return u.StartedAt != 0 && u.StartedAt < f.incarnations[u.ID].entry.StartedAt
}

// remember stores the latest incarnation of an upstream. It ignores entries of services that the
// document does not name, since another writer may have published them.
func (f *Fleet) remember(u Upstream) {
	last := f.incarnations[u.ID]
	if u.StartedAt < last.entry.StartedAt || !f.serves(u.Service) {
		return
	}
	if last.entry.StartedAt != u.StartedAt {
		last = lastIncarnation{}
	}
	last.entry, last.leaving = u, last.leaving || u.Leaving
	f.setIncarnation(last)
}

// setIncarnation stores the state of the latest incarnation of an upstream.
func (f *Fleet) setIncarnation(last lastIncarnation) {
	f.incarnations[last.entry.ID] = last
	if len(f.incarnations) > len(f.byID)+len(f.addressWaiters)+max(maxIncarnations, len(f.byID)) {
		f.forgetUnlisted()
	}
}

// forgetUnlisted drops the incarnations of upstreams that have no entry.
func (f *Fleet) forgetUnlisted() {
	for id := range f.incarnations {
		if f.entry(id) == nil {
			delete(f.incarnations, id)
		}
	}
}

// knownLeaving reports whether an incarnation is known to take no new requests.
func (f *Fleet) knownLeaving(l Incarnation) bool {
	last := f.incarnations[l.ID]
	return last.entry.StartedAt == l.StartedAt && last.leaving
}

// LeavingIncarnation returns the latest known incarnation of an upstream, also one whose entry has been
// removed; false if it is not known to be leaving.
func (f *Fleet) LeavingIncarnation(id string) (Incarnation, bool) {
	last := f.incarnations[id]
	return last.entry.Incarnation(), last.leaving
}

// NoteLeaving records that an incarnation reported in an answer that it takes no new requests. It
// returns whether that is new. No entry reverts it: entries are older than answers.
func (f *Fleet) NoteLeaving(l Incarnation) bool {
	last := f.incarnations[l.ID]
	if l.StartedAt < last.entry.StartedAt || f.knownLeaving(l) {
		return false
	}
	if l.StartedAt > last.entry.StartedAt {
		last = lastIncarnation{}
	}
	last.entry.ID, last.entry.StartedAt, last.leaving, last.reportedLeaving = l.ID, l.StartedAt, true, true
	f.setIncarnation(last)
	if m := f.byID[l.ID]; m != nil && m.Incarnation() == l {
		m.Leaving = true
	}
	return true
}

// NeedsLeavingCheck reports whether an incarnation receives no requests until it has been asked
// whether it is leaving: the reports attributed to its predecessor may have been its own.
func (f *Fleet) NeedsLeavingCheck(l Incarnation) bool {
	last := f.incarnations[l.ID]
	return last.entry.StartedAt == l.StartedAt && last.needsLeavingCheck
}

// NoteLeavingChecked records that an incarnation has been asked whether it is leaving and that
// its answer has been applied.
func (f *Fleet) NoteLeavingChecked(l Incarnation) {
	if !f.NeedsLeavingCheck(l) {
		return
	}
	last := f.incarnations[l.ID]
	last.needsLeavingCheck = false
	f.setIncarnation(last)
	if m := f.byID[l.ID]; m != nil && m.Incarnation() == l {
		m.needsLeavingCheck = false
	}
}

// Accepts reports whether a request that was placed at an incarnation may still be sent to it.
// Since the placement the incarnation may have started leaving or requested a pause.
func (f *Fleet) Accepts(now time.Duration, l Incarnation) bool {
	if f.knownLeaving(l) || f.PausedFor(now, l) > 0 {
		return false
	}
	m := f.byID[l.ID]
	return m == nil || m.Incarnation() != l || !m.closed()
}

// Entry returns the current entry of an upstream, or false if there is none. It includes
// entries that wait for an address that another upstream holds.
func (f *Fleet) Entry(id string) (Upstream, bool) {
	if u := f.entry(id); u != nil {
		return *u, true
	}
	return Upstream{}, false
}

// entry returns the current entry of an upstream, or nil if there is none.
func (f *Fleet) entry(id string) *Upstream {
	if m := f.byID[id]; m != nil {
		return &m.Upstream
	}
	return f.addressWaiters[id]
}

// isRestart reports whether entry u describes another incarnation than entry before. Without
// start times only a decreasing command count shows a restart; a change from leaving to ready
// does not, because an out-of-date entry causes it too.
func isRestart(before, u Upstream) bool {
	if u.Incarnation().After(before.Incarnation()) {
		return true
	}
	noStart := u.StartedAt == 0 && before.StartedAt == 0
	return noStart && u.HasCommandCount && before.HasCommandCount && u.Revision > before.Revision && u.CommandCount < before.CommandCount
}

// isListed reports whether a member is in the present list. It is false for an earlier
// incarnation whose tickets are still open.
func (f *Fleet) isListed(m *member) bool { return f.byID[m.ID] == m }

const (
	// breakSpan is the time within which connections broken by the same cause end.
	breakSpan = 100 * time.Millisecond
	// minBreaks is the number of connections that must break within breakSpan, leaving none open,
	// to suggest a restart. An upstream resets one or two for reasons of its own, such as too
	// many connections.
	minBreaks = 3
	// maxNewsAge is the maximum age of a report from another box: three steps of 100 ms, each
	// sent twice, plus a margin for a slow box.
	maxNewsAge = 2 * time.Second
)

// noteBreak records that the connection of a run was reset or closed. If all runs of this box on
// an upstream end that way at about the same time, the upstream may have restarted.
func (f *Fleet) noteBreak(now time.Duration, m *member) {
	if now-m.lastBreakAt > breakSpan {
		m.recentBreaks = 0
	}
	m.lastBreakAt = now
	m.recentBreaks++
	if m.recentBreaks >= minBreaks && !m.hasOpen() {
		f.suspectRestart(now, m)
	}
}

// suspectRestart records a sign that an upstream may have restarted before its entry says so. The
// box discards the prompt parts that the upstream is recorded as holding and ignores earlier
// reports of them. Only its entry decides whether it is listed; parts sent from now on are
// recorded again. If it has not restarted, its prompts are read once more than needed.
func (f *Fleet) suspectRestart(now time.Duration, m *member) {
	if !f.isListed(m) {
		return
	}
	f.parts.forget(m)
	m.listedAt = now
	m.suspect, m.distrustUntil = true, now+maxNewsAge
	f.rememberSuspicion(m)
}

// rememberSuspicion stores a suspected restart, so that it holds when the entry is removed and
// listed again.
func (f *Fleet) rememberSuspicion(m *member) {
	if last, known := f.incarnations[m.ID]; known && last.entry.StartedAt == m.StartedAt {
		last.distrustUntil = m.distrustUntil
		f.incarnations[m.ID] = last
	}
}

// rememberReplaced stores that an incarnation has been replaced, so that it holds when the
// entry is removed and listed again.
func (f *Fleet) rememberReplaced(m *member) {
	if last, known := f.incarnations[m.ID]; known && last.entry.StartedAt == m.StartedAt {
		last.replaced = true
		f.incarnations[m.ID] = last
	}
}

// trustsCacheNews reports whether to accept reports from other boxes about the parts that an
// upstream holds. While a suspect upstream is unreachable, other boxes may report parts of
// requests that never arrived.
func (f *Fleet) trustsCacheNews(now time.Duration, m *member) bool {
	if m.suspect && m.unreachable {
		m.distrustUntil = now + maxNewsAge
		f.rememberSuspicion(m)
	}
	return !m.suspect || now >= m.distrustUntil
}

// compareStart orders two entries that name the same address by start time, or by revision if
// neither has one. It returns 0 if neither is later.
func compareStart(a, b Upstream) int {
	if a.StartedAt != 0 || b.StartedAt != 0 {
		return cmp.Compare(a.StartedAt, b.StartedAt)
	}
	return cmp.Compare(a.Revision, b.Revision)
}
