package mirror

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func keys(list []Item) []string {
	out := make([]string, 0, len(list))
	for _, it := range list {
		out = append(out, fmt.Sprintf("%s@%d", it.Key, it.Revision))
	}
	return out
}

func TestOlderItemsAreIgnored(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Load([]Item{{Key: "a", Revision: 5}}, 5)
	_, ok := m.Apply(5, 8, []Item{{Key: "a", Revision: 8, Deleted: true}})
	is.True(ok)
	changes, ok := m.Apply(3, 6, []Item{{Key: "a", Revision: 6}}) // delayed; the item has been deleted since
	is.True(ok)
	is.Equal(len(changes), 0)
	is.Equal(m.Revision(), uint64(8))
	is.Equal(len(m.Load([]Item{{Key: "a", Revision: 5}}, 7)), 0) // a snapshot older than the mirror
	is.Equal(len(m.Items()), 0)
}

func TestApplyRejectsGaps(t *testing.T) {
	is := is.New(t)
	m := New()
	_, ok := m.Apply(0, 4, []Item{{Key: "a", Revision: 4}})
	is.True(!ok) // an empty mirror has no changes
	m.Load(nil, 4)
	_, ok = m.Apply(5, 6, []Item{{Key: "a", Revision: 6}})
	is.True(!ok)
	is.Equal(m.Revision(), uint64(4))
}

func TestLoadReturnsDeletions(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Load([]Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 2)
	changes := m.Load([]Item{{Key: "b", Revision: 4}}, 5)
	is.Equal(keys(changes), []string{"b@4", "a@5"})
	is.True(changes[1].Deleted)
	since, ok := m.Since(2)
	is.True(ok)
	is.Equal(len(since), 2)
	_, ok = m.Since(1)
	is.True(!ok) // before the first snapshot of the mirror
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Load(nil, 1)
	for i := range uint64(maxHistoryItems + 10) {
		m.Apply(i+1, i+2, []Item{{Key: fmt.Sprint(i), Revision: i + 2}})
	}
	_, ok := m.Since(5)
	is.True(!ok)
	list, ok := m.Since(m.Revision() - 10)
	is.True(ok)
	is.Equal(len(list), 10)
}

// However changes are batched, lost, duplicated and reordered, a mirror at a revision holds
// exactly the items that the publisher had at that revision.
func TestMirrorMatchesPublisherAtRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := New()
		source.Load(nil, 1)
		states := map[uint64][]string{1: {}}
		var messages []struct {
			from, to uint64
			items    []Item
		}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			from := source.Revision()
			it := Item{Key: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), Revision: from + 1, Deleted: rapid.Bool().Draw(t, "gone")}
			source.Apply(from, from+1, []Item{it})
			states[from+1] = keys(source.Items())
			since := uint64(rapid.IntRange(1, int(from)).Draw(t, "since"))
			items, ok := source.Since(since)
			if !ok {
				t.Fatalf("no changes since %d", since)
			}
			messages = append(messages, struct {
				from, to uint64
				items    []Item
			}{since, from + 1, items})
		}
		target := New()
		target.Load(nil, 1)
		for range 60 {
			m := messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")]
			target.Apply(m.from, m.to, m.items)
			got, want := fmt.Sprint(keys(target.Items())), fmt.Sprint(states[target.Revision()])
			if got != want {
				t.Fatalf("items at revision %d: %s, want %s", target.Revision(), got, want)
			}
		}
	})
}

// The first snapshot of a mirror has no deletions. Applied by another mirror as the changes after
// revision 0, it would advance that mirror to the latest revision with a deleted item still there.
func TestApplyRejectsFirstSnapshot(t *testing.T) {
	is := is.New(t)
	older, fresh := New(), New()
	older.Load([]Item{{Key: "a", Revision: 1}, {Key: "gone", Revision: 2}}, 2)
	snapshot := fresh.Load([]Item{{Key: "a", Revision: 1}}, 3)
	is.Equal(len(snapshot), 1)
	_, ok := older.Apply(0, fresh.Revision(), snapshot)
	is.True(!ok)
	is.Equal(older.Revision(), uint64(2)) // the mirror still lacks the changes since
}

// A delayed item does not restore a deleted one, even after more than minTombstones items were deleted at once.
func TestDelayedItemDoesNotUndoDeletion(t *testing.T) {
	is := is.New(t)
	const items = 3 * minTombstones
	m := New()
	var list []Item
	for i := range items {
		list = append(list, Item{Key: fmt.Sprint(i), Revision: uint64(i + 1)})
	}
	m.Load(list, items)
	var deletions []Item
	for i := range minTombstones + 1 {
		deletions = append(deletions, Item{Key: fmt.Sprint(i), Revision: items + uint64(i) + 1, Deleted: true})
	}
	m.Apply(items, items+minTombstones+1, deletions)
	m.Apply(m.Revision(), m.Revision(), []Item{{Key: "0", Revision: 1}})
	is.Equal(len(m.Items()), items-minTombstones-1)
}
