package mirror

// This file defines the changes that a copy keeps for other boxes. The invariant:
// history holds all changes behind floor, or Since says that it does not.

const (
	// historyItems and historyBytes bound the changes kept for other boxes: a
	// minute of a large deployment, and a tenth of a small box's memory.
	historyItems = 1024
	historyBytes = 2 << 20
)

// record keeps changes for other boxes.
func (m *Mirror) record(changes []Item) {
	for _, it := range changes {
		m.history = append(m.history, it)
		m.bytes += len(it.Value)
	}
	for len(m.history) > 0 && (len(m.history) > historyItems || m.bytes > historyBytes) {
		m.floor = max(m.floor, m.history[0].Revision)
		m.bytes -= len(m.history[0].Value)
		m.history = m.history[1:]
	}
}

// Since returns all changes behind a revision; false means that they are no longer
// kept.
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
