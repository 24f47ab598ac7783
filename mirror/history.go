package mirror

// This file defines the history of changes that a mirror keeps for other boxes. The
// invariant: history holds all changes after revision floor; Since returns false for
// earlier revisions.

const (
	// maxHistoryItems and maxHistoryBytes limit the history: about a minute of changes in a
	// large deployment, and a tenth of the memory of a small box.
	maxHistoryItems = 1024
	maxHistoryBytes = 2 << 20
)

// record appends changes to the history and removes the oldest beyond its limits.
func (m *Mirror) record(changes []Item) {
	for _, it := range changes {
		m.history = append(m.history, it)
		m.bytes += len(it.Value)
	}
	for len(m.history) > 0 && (len(m.history) > maxHistoryItems || m.bytes > maxHistoryBytes) {
		m.floor = max(m.floor, m.history[0].Revision)
		m.bytes -= len(m.history[0].Value)
		m.history = m.history[1:]
	}
}

// Since returns all changes after a revision, in order of arrival; false means that some of
// them are no longer kept, or that the mirror has not reached the revision.
func (m *Mirror) Since(revision uint64) ([]Item, bool) {
	if revision == m.revision {
		return nil, true
	}
	if revision == 0 || revision < m.floor || revision > m.revision {
		return nil, false
	}
	var list []Item
	for _, it := range m.history {
		if it.Revision > revision {
			list = append(list, it)
		}
	}
	return list, true
}
