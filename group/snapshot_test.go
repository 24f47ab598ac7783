package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// nodeWithItems returns the Node of a box that holds the given number of items.
func nodeWithItems(items int) *Node {
	m := mirror.New()
	var list []mirror.Item
	for i := range items {
		list = append(list, mirror.Item{Key: fmt.Sprintf("upstream/%04d", i), Value: []byte("placeholder value"), Revision: uint64(i + 1)})
	}
	m.Load(list, uint64(items))
	return NewNode(Config{Self: &wire.GroupBox{Name: fmt.Sprint("box with items: ", items), Domain: "d"}, Timing: DefaultTiming, Mirror: m,
		OnChange: func([]mirror.Item) {}}, 0)
}

// A snapshot is encoded once for all boxes that pull it, and again after a change.
func TestSnapshotIsEncodedOnce(t *testing.T) {
	is := is.New(t)
	n := nodeWithItems(1000)
	first, second := n.Snapshot(time.Second, true), n.Snapshot(time.Second, true)
	is.True(&first.Packed[0] == &second.Packed[0])
	is.Equal(len(first.Items), 0)
	n.cfg.Mirror.Apply(1000, 1001, []mirror.Item{{Key: "upstream/0000", Deleted: true, Revision: 1001}})
	third := n.Snapshot(time.Second, true)
	is.True(&first.Packed[0] != &third.Packed[0])
	is.Equal(third.Revision, uint64(1001))
}

// Boxes that accept either form receive the same data.
func TestPulledDataEqualsSource(t *testing.T) {
	for _, packed := range []bool{true, false} {
		is := is.New(t)
		from, to := nodeWithItems(1000), nodeWithItems(0)
		to.HandlePullResponse(time.Second, time.Second, from.Snapshot(time.Second, packed))
		is.Equal(to.cfg.Mirror.Items(), from.cfg.Mirror.Items())
		is.Equal(to.cfg.Mirror.Revision(), uint64(1000))
	}
}

// The age of a response that was in transit for long is not understated.
func TestPulledAgeCountsFromRequest(t *testing.T) {
	is := is.New(t)
	from, to := nodeWithItems(10), nodeWithItems(0)
	from.confirmedAt = 2 * time.Second
	to.lastTick = 4 * time.Second
	to.HandlePullResponse(4*time.Second, 2500*time.Millisecond, from.Snapshot(3500*time.Millisecond, true))
	is.Equal(to.ConfirmedAt(), time.Second) // 1.5 s old when it was encoded, and requested at 2.5 s
}

// A response that is invalid or empty leaves the copy unchanged.
func TestInvalidPullResponseIsIgnored(t *testing.T) {
	whole := nodeWithItems(1000).Snapshot(time.Second, true)
	tests := []struct {
		name     string
		response *wire.MirrorResponse
	}{
		{"empty", &wire.MirrorResponse{Revision: 2000}},
		{"not compressed", &wire.MirrorResponse{Revision: 2000, Packed: []byte("not compressed")}},
		{"truncated", &wire.MirrorResponse{Revision: 2000, Packed: whole.Packed[:len(whole.Packed)/2]}},
		{"compressed data that is not an item list", &wire.MirrorResponse{Revision: 2000, Packed: deflate([]byte("not an item list"))}},
		{"too large", &wire.MirrorResponse{Revision: 2000, Packed: deflate(make([]byte, maxSnapshotBytes+1))}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := nodeWithItems(3)
			n.HandlePullResponse(time.Second, time.Second, tt.response)
			is.Equal(len(n.cfg.Mirror.Items()), 3)
			is.Equal(n.cfg.Mirror.Revision(), uint64(3))
		})
	}
}

// A box passes on a snapshot with the same bytes it received. After a restart of all boxes, each
// encoded again the data it had just decoded before it could answer the next pull.
func TestPulledSnapshotIsReused(t *testing.T) {
	is := is.New(t)
	from := nodeWithItems(1000)
	n := NewNode(Config{Self: &wire.GroupBox{Name: "new", Domain: "d"}, Timing: DefaultTiming, Mirror: mirror.New(), OnChange: func([]mirror.Item) {}}, 0)
	first := from.Snapshot(time.Second, true)
	n.HandlePullResponse(time.Second, time.Second, first)
	second := n.Snapshot(2*time.Second, true)
	is.True(&first.Packed[0] == &second.Packed[0])
	is.Equal(second.Revision, first.Revision)
	n.cfg.Mirror.Apply(1000, 1001, []mirror.Item{{Key: "upstream/0000", Deleted: true, Revision: 1001}})
	items, ok := decompressItems(n.Snapshot(3*time.Second, true).Packed)
	is.True(ok)
	is.Equal(len(items), 999) // not the snapshot from before the change
}
