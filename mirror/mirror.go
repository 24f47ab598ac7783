// Package mirror keeps a box's copy of what is published: the routing document and
// the list of upstreams, as items with revisions.
//
// A copy is filled by reading the publisher, or by the changes that another box
// passes on; both may come late, twice or out of order. The package does no I/O.
package mirror

// This file defines the copy. The invariants: an item is never replaced by an older
// one; and a copy at revision R lacks no change up to R.

import (
	"slices"
	"strings"
)

// Mirror is a copy. It is not safe for several goroutines.
type Mirror struct {
	items    map[string]Item
	gone     map[string]uint64 // revisions at which items went, so that older news of them is known as such
	revision uint64
	history  []Item // the newest changes, in the order of their arrival
	floor    uint64 // history holds all changes behind this revision
	bytes    int    // of the values in history
}

// goneKept is of how many items that went the news is kept at least; of more where there are more items, all of which may go
// within a short time. Without it, late news of an item that went brings it back.
const goneKept = 4096

// New returns an empty copy.
func New() *Mirror { return &Mirror{items: make(map[string]Item), gone: make(map[string]uint64)} }

// Revision is up to where the copy lacks nothing; 0 while it is empty.
func (m *Mirror) Revision() uint64 { return m.revision }

// Items returns all items, in the order of their keys.
func (m *Mirror) Items() []Item {
	list := make([]Item, 0, len(m.items))
	for _, it := range m.items {
		list = append(list, it)
	}
	slices.SortFunc(list, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Load takes everything as it was at a revision, and returns what is new. A state
// older than the copy is ignored.
func (m *Mirror) Load(items []Item, revision uint64) []Item {
	if revision < m.revision {
		return nil
	}
	var changes []Item
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		if m.put(it) {
			changes = append(changes, it)
		}
	}
	for key, old := range m.items {
		if !present[key] && old.Revision <= revision {
			it := Item{Key: key, Revision: revision, Deleted: true}
			m.put(it)
			changes = append(changes, it)
		}
	}
	if m.revision == 0 {
		m.floor = revision // what is new now is no change to anybody
	} else {
		m.record(changes)
	}
	m.revision = revision
	return changes
}

// Apply takes the changes behind from, up to a revision, and returns what is new.
// It reports false, and takes nothing, if the copy lacks changes before them, or if they are all
// that an empty copy has learned: those say nothing of what went.
func (m *Mirror) Apply(from, to uint64, items []Item) ([]Item, bool) {
	if from > m.revision || from == 0 {
		return nil, false
	}
	var changes []Item
	for _, it := range items {
		if m.put(it) {
			changes = append(changes, it)
		}
	}
	m.record(changes)
	m.revision = max(m.revision, to)
	return changes, true
}

// put stores an item if it is newer than what is known.
func (m *Mirror) put(it Item) bool {
	if old, ok := m.items[it.Key]; ok && old.Revision >= it.Revision {
		return false
	}
	if m.gone[it.Key] >= it.Revision {
		return false
	}
	if !it.Deleted {
		delete(m.gone, it.Key)
		m.items[it.Key] = it
		return true
	}
	_, known := m.items[it.Key]
	delete(m.items, it.Key)
	m.gone[it.Key] = it.Revision
	m.trimGone()
	return known
}

// trimGone forgets the oldest half of the news of items that went.
func (m *Mirror) trimGone() {
	if len(m.gone) <= max(goneKept, len(m.items)) {
		return
	}
	revisions := make([]uint64, 0, len(m.gone))
	for _, revision := range m.gone {
		revisions = append(revisions, revision)
	}
	slices.Sort(revisions)
	middle := revisions[len(revisions)/2]
	for key, revision := range m.gone {
		if revision < middle {
			delete(m.gone, key)
		}
	}
}
