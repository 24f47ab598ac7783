package balance

// This file defines the lives of an upstream. One that starts again under the id that it had
// holds and knows nothing of before. The invariants: what was learned or told of an earlier
// life says nothing of the present one; and once a life is known, no earlier one comes back,
// whatever its entry's revision.

import (
	"cmp"
	"strconv"
	"time"
)

// Incarnation is an upstream from one of its starts to its end.
type Incarnation struct {
	ID        string
	StartedAt int64 // when it started, Unix ms as its own entry says; 0: not known
}

// Incarnation is the life that an entry tells of.
func (u Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.StartedAt} }

// Key identifies a life where boxes tell each other of it. So what they tell of an earlier
// life names nobody at a box that knows a later one, and the other way round.
func (l Incarnation) Key() uint32 {
	if l.StartedAt == 0 {
		return Key(l.ID)
	}
	return Key(l.ID + "\x00" + strconv.FormatInt(l.StartedAt, 10))
}

// After reports whether this is a later life of the same upstream than another. One that names
// its start is later than one that does not: writers begin to name it with a start.
func (l Incarnation) After(o Incarnation) bool { return l.ID == o.ID && l.StartedAt > o.StartedAt }

// lastLife is what is remembered of the last known life of an upstream, for as long as the box
// runs, also after its entry went.
type lastLife struct {
	entry   Upstream // the last one of it
	leaving bool     // it takes no new requests, by its entry or its own word
	said    bool     // by its own word
	// unproven says that the life before said that it is leaving: it may have been this one, which was not known of yet.
	unproven bool
	ended    bool // another one has its address
	// doubtTill is until when what others tell that it keeps may be of before a sign that it
	// may have ended; its entry may go and come back meanwhile.
	doubtTill time.Duration
}

// maxLives is how many lives are remembered at least beside those of listed upstreams; as many as are listed where these are
// more, since all of them may be replaced within a short time.
const maxLives = 1 << 13

// recall takes over what is remembered of a life that is listed again.
func (f *Fleet) recall(m *member) {
	if last := f.lives[m.ID]; m.StartedAt != 0 && last.entry.StartedAt == m.StartedAt {
		m.doubtTill = last.doubtTill
		m.doubted = m.doubtTill > 0
		m.ended = last.ended
	}
}

// takeWork counts on a life that is listed again what this box has open on it. Without that, the
// bound on its memory would be passed by as much as it holds.
func (f *Fleet) takeWork(m *member) {
	before := f.gone[m.ID]
	if before == nil || before.Incarnation() != m.Incarnation() || isAnother(before.Upstream, m.Upstream) {
		return
	}
	m.work, before.work, before.heir = before.work, work{}, m
	f.activate(m)
	delete(f.gone, m.ID)
}

// forgetGone forgets an upstream that is not listed once nothing is open on it; so no more are
// remembered than this box has requests.
func (f *Fleet) forgetGone(m *member) {
	if f.gone[m.ID] == m && !m.hasOpen() {
		delete(f.gone, m.ID)
	}
}

// counted is the member on which the work of this one is counted.
func (m *member) counted() *member {
	for m.heir != nil {
		m = m.heir
	}
	return m
}

// hasOpen reports whether this box has requests open on an upstream.
func (m *member) hasOpen() bool { return m.work.upTo(Levels-1).Open > 0 }

// isPast reports whether an entry tells of a life before the last one that is known.
func (f *Fleet) isPast(u Upstream) bool {
	return u.StartedAt != 0 && u.StartedAt < f.lives[u.ID].entry.StartedAt
}

// remember notes a life. What an entry of a service that is not named tells does not count: it
// may come from another writer.
func (f *Fleet) remember(u Upstream) {
	last := f.lives[u.ID]
	if u.StartedAt < last.entry.StartedAt || !f.serves(u.Service) {
		return
	}
	if last.entry.StartedAt != u.StartedAt {
		last = lastLife{}
	}
	last.entry, last.leaving = u, last.leaving || u.Leaving
	f.setLife(last)
}

// setLife notes what is known of the last life of an upstream.
func (f *Fleet) setLife(last lastLife) {
	f.lives[last.entry.ID] = last
	if len(f.lives) > len(f.byID)+len(f.waiting)+max(maxLives, len(f.byID)) {
		f.forgetLives()
	}
}

// forgetLives forgets the lives of upstreams that are not listed.
func (f *Fleet) forgetLives() {
	for id := range f.lives {
		if f.present(id) == nil {
			delete(f.lives, id)
		}
	}
}

// hasLeft reports whether a life is known to take no new requests.
func (f *Fleet) hasLeft(l Incarnation) bool {
	last := f.lives[l.ID]
	return last.entry.StartedAt == l.StartedAt && last.leaving
}

// SaysLeaving notes that a life says in an answer that it takes no new requests, and reports whether that is new. No entry
// takes it back: entries are older than answers.
func (f *Fleet) SaysLeaving(l Incarnation) bool {
	last := f.lives[l.ID]
	if l.StartedAt < last.entry.StartedAt || f.hasLeft(l) {
		return false
	}
	if l.StartedAt > last.entry.StartedAt {
		last = lastLife{}
	}
	last.entry.ID, last.entry.StartedAt, last.leaving, last.said = l.ID, l.StartedAt, true, true
	f.setLife(last)
	if m := f.byID[l.ID]; m != nil && m.Incarnation() == l {
		m.Leaving = true
	}
	return true
}

// Unproven reports whether a life gets nothing until it is proved that it is not leaving: answers that said so were taken for those of the
// life before.
func (f *Fleet) Unproven(l Incarnation) bool {
	last := f.lives[l.ID]
	return last.entry.StartedAt == l.StartedAt && last.unproven
}

// Proved notes that a life has been asked, and what it said was noted.
func (f *Fleet) Proved(l Incarnation) {
	if !f.Unproven(l) {
		return
	}
	last := f.lives[l.ID]
	last.unproven = false
	f.setLife(last)
	if m := f.byID[l.ID]; m != nil && m.Incarnation() == l {
		m.unproven = false
	}
}

// Accepts reports whether requests may be sent to a life that they were placed at: it may have come to leave since, or
// asked for a pause.
func (f *Fleet) Accepts(now time.Duration, l Incarnation) bool {
	if f.hasLeft(l) || f.PausedFor(now, l) > 0 {
		return false
	}
	m := f.byID[l.ID]
	return m == nil || m.Incarnation() != l || !m.closed()
}

// Present is what the entry of an upstream says, also where another one has its address; false where
// there is none.
func (f *Fleet) Present(id string) (Upstream, bool) {
	if u := f.present(id); u != nil {
		return *u, true
	}
	return Upstream{}, false
}

// present is what the entry in force of an upstream says, nil where there is none.
func (f *Fleet) present(id string) *Upstream {
	if m := f.byID[id]; m != nil {
		return &m.Upstream
	}
	return f.waiting[id]
}

// isAnother reports whether an entry tells of another life than the one before. Where no start
// is named, only a count that falls shows it: one that is leaving and then ready may also be an
// entry that came late.
func isAnother(before, u Upstream) bool {
	if u.Incarnation().After(before.Incarnation()) {
		return true
	}
	unnamed := u.StartedAt == 0 && before.StartedAt == 0
	return unnamed && u.HasCommandCount && before.HasCommandCount && u.Revision > before.Revision && u.CommandCount < before.CommandCount
}

// lists reports whether a member is one of the present list, and not an earlier life whose
// tickets are still open.
func (f *Fleet) lists(m *member) bool { return f.byID[m.ID] == m }

const (
	// breakWithin is the span within which connections that one cause broke end.
	breakWithin = 100 * time.Millisecond
	// breaksFrom is how many of them, none being left, are a sign: one or two an upstream
	// resets for its own reasons, such as too many connections.
	breaksFrom = 3
	// newsLag is how old what boxes tell each other may be: three steps of 100 ms, each told
	// twice, and room for a slow box.
	newsLag = 2 * time.Second
)

// broke notes that the connection of a run was reset or closed under it. Where all runs of this
// box on an upstream end so at the same moment, it may have started again.
func (f *Fleet) broke(now time.Duration, m *member) {
	if now-m.brokeAt > breakWithin {
		m.breaks = 0
	}
	m.brokeAt = now
	m.breaks++
	if m.breaks >= breaksFrom && !m.hasOpen() {
		f.doubt(now, m)
	}
}

// doubt notes a sign that an upstream may have ended, before any entry says so. What it kept is
// not believed any more, nor what others told of that before; its entry alone shows whether it
// lives on, and what is sent to it from then on counts anew. Where it has not ended, its
// prompts are read once more.
func (f *Fleet) doubt(now time.Duration, m *member) {
	if !f.lists(m) {
		return
	}
	f.kept.forget(m)
	m.since = now
	m.doubted, m.doubtTill = true, now+newsLag
	f.rememberDoubt(m)
}

// rememberDoubt notes the doubt about a life for when its entry goes and comes back.
func (f *Fleet) rememberDoubt(m *member) {
	if last, known := f.lives[m.ID]; known && last.entry.StartedAt == m.StartedAt {
		last.doubtTill = m.doubtTill
		f.lives[m.ID] = last
	}
}

// rememberEnd notes that a life has ended for when its entry goes and comes back.
func (f *Fleet) rememberEnd(m *member) {
	if last, known := f.lives[m.ID]; known && last.entry.StartedAt == m.StartedAt {
		last.ended = true
		f.lives[m.ID] = last
	}
}

// believes reports whether what another box tells of the parts that an upstream keeps is
// believed. While it cannot be reached after a sign, others may send to it in vain and tell so.
func (f *Fleet) believes(now time.Duration, m *member) bool {
	if m.doubted && m.out {
		m.doubtTill = now + newsLag
		f.rememberDoubt(m)
	}
	return !m.doubted || now >= m.doubtTill
}

// later compares two entries that name the same address, by their starts and then by their
// revisions; 0 where neither says more than the other.
func later(a, b Upstream) int {
	if a.StartedAt != 0 || b.StartedAt != 0 {
		return cmp.Compare(a.StartedAt, b.StartedAt)
	}
	return cmp.Compare(a.Revision, b.Revision)
}
