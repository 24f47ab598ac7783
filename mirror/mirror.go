// Package mirror keeps a box's local replica of the published items, which have revisions:
// the routing document and the list of upstreams.
//
// A mirror is filled from the publisher, or from changes that another box forwards; both
// may be delayed, duplicated or reordered. The package does no I/O.
package mirror

// This file defines the replica. The invariants: an item is never replaced by an older
// one; and a mirror at revision R has every change up to R.

import (
	"slices"
	"strings"
)

// Mirror is a replica of the published items. It is not safe for concurrent use.
type Mirror struct {
	items      map[string]Item
	tombstones map[string]uint64 // revisions at which keys were deleted, to reject older items of these keys
	revision   uint64
	history    []Item // the latest changes, in order of arrival
	floor      uint64 // history holds all changes after this revision
	bytes      int    // total size of the values in history
}

// minTombstones is the least number of tombstones that are kept. More are kept if there are more items, since all of them may be
// deleted within a short time. Without its tombstone, a delayed message with a deleted item would restore the item.
const minTombstones = 4096

// New returns an empty mirror.
func New() *Mirror { return &Mirror{items: make(map[string]Item), tombstones: make(map[string]uint64)} }

// Revision returns the revision up to which the mirror has every change; 0 before the first Load.
func (m *Mirror) Revision() uint64 { return m.revision }

// Items returns all items, ordered by key.
func (m *Mirror) Items() []Item {
	list := make([]Item, 0, len(m.items))
	for _, it := range m.items {
		list = append(list, it)
	}
	slices.SortFunc(list, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Load applies a snapshot of all items at a revision, and returns the changes. A snapshot
// older than the mirror is ignored.
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
		m.floor = revision // the first snapshot is not kept as changes, since it does not tell what was deleted
	} else {
		m.record(changes)
	}
	m.revision = revision
	return changes
}

// Apply applies the changes after revision from, up to revision to, and returns those that were
// new. It returns false and applies nothing if the mirror lacks changes before from, or if from
// is 0: such a list is the first snapshot of another mirror, which has no deletions.
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

// put applies an item if it is newer than the known item or tombstone of its key. It reports
// whether the items of the mirror changed.
func (m *Mirror) put(it Item) bool {
	if old, ok := m.items[it.Key]; ok && old.Revision >= it.Revision {
		return false
	}
	if m.tombstones[it.Key] >= it.Revision {
		return false
	}
	if !it.Deleted {
		delete(m.tombstones, it.Key)
		m.items[it.Key] = it
		return true
	}
	_, known := m.items[it.Key]
	delete(m.items, it.Key)
	m.tombstones[it.Key] = it.Revision
	m.trimTombstones()
	return known
}

// trimTombstones removes the older half of the tombstones if there are too many.
func (m *Mirror) trimTombstones() {
	if len(m.tombstones) <= max(minTombstones, len(m.items)) {
		return
	}
	revisions := make([]uint64, 0, len(m.tombstones))
	for _, revision := range m.tombstones {
		revisions = append(revisions, revision)
	}
	slices.Sort(revisions)
	median := revisions[len(revisions)/2]
	for key, revision := range m.tombstones {
		if revision < median {
			delete(m.tombstones, key)
		}
	}
}
