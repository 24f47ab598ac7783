package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// nodeWith is a box that has so many items.
func nodeWith(items int) *Node {
	m := mirror.New()
	var list []mirror.Item
	for i := range items {
		list = append(list, mirror.Item{Key: fmt.Sprintf("upstream/%04d", i), Value: []byte("of no concern here"), Revision: uint64(i + 1)})
	}
	m.Load(list, uint64(items))
	return NewNode(Config{Self: &wire.GroupBox{Name: fmt.Sprint("box of ", items), Domain: "d"}, Timing: DefaultTiming, Mirror: m,
		OnChange: func([]mirror.Item) {}}, 0)
}

// Everything is packed once for all that pull it, and anew when something has changed.
func TestEverythingIsPackedOnce(t *testing.T) {
	is := is.New(t)
	n := nodeWith(1000)
	first, second := n.Everything(time.Second, true), n.Everything(time.Second, true)
	is.True(&first.Packed[0] == &second.Packed[0])
	is.Equal(len(first.Items), 0)
	n.cfg.Mirror.Apply(1000, 1001, []mirror.Item{{Key: "upstream/0000", Gone: true, Revision: 1001}})
	third := n.Everything(time.Second, true)
	is.True(&first.Packed[0] != &third.Packed[0])
	is.Equal(third.Revision, uint64(1001))
}

// Boxes that read either form get the same.
func TestWhatIsPulledIsWhatTheOtherHas(t *testing.T) {
	for _, packed := range []bool{true, false} {
		is := is.New(t)
		from, to := nodeWith(1000), nodeWith(0)
		to.HandlePullResponse(time.Second, time.Second, from.Everything(time.Second, packed))
		is.Equal(to.cfg.Mirror.Items(), from.cfg.Mirror.Items())
		is.Equal(to.cfg.Mirror.Revision(), uint64(1000))
	}
}

// An answer that was long on its way makes nobody believe that it is younger than it is.
func TestTheAgeOfWhatIsPulledCountsFromTheQuestion(t *testing.T) {
	is := is.New(t)
	from, to := nodeWith(10), nodeWith(0)
	from.confirmed = 2 * time.Second
	to.lastTick = 4 * time.Second
	to.HandlePullResponse(4*time.Second, 2500*time.Millisecond, from.Everything(3500*time.Millisecond, true))
	is.Equal(to.ConfirmedAt(), time.Second) // 1.5 s old when it was packed, and asked for at 2.5 s
}

// What cannot be read, or says nothing, leaves what the box has.
func TestWhatCannotBeReadIsNotTaken(t *testing.T) {
	whole := nodeWith(1000).Everything(time.Second, true)
	tests := []struct {
		name     string
		response *wire.MirrorResponse
	}{
		{"empty", &wire.MirrorResponse{Revision: 2000}},
		{"garbled", &wire.MirrorResponse{Revision: 2000, Packed: []byte("no compressed text")}},
		{"cut off", &wire.MirrorResponse{Revision: 2000, Packed: whole.Packed[:len(whole.Packed)/2]}},
		{"compressed, and no items", &wire.MirrorResponse{Revision: 2000, Packed: deflate([]byte("no items"))}},
		{"too large", &wire.MirrorResponse{Revision: 2000, Packed: deflate(make([]byte, maxPulled+1))}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := nodeWith(3)
			n.HandlePullResponse(time.Second, time.Second, tt.response)
			is.Equal(len(n.cfg.Mirror.Items()), 3)
			is.Equal(n.cfg.Mirror.Revision(), uint64(3))
		})
	}
}

// A box that was handed everything hands the same bytes on: after a loss of all, each of many boxes packed anew what it had
// just unpacked, before it could answer the next.
func TestWhatWasPulledIsHandedOnAsItCame(t *testing.T) {
	is := is.New(t)
	from := nodeWith(1000)
	n := NewNode(Config{Self: &wire.GroupBox{Name: "new", Domain: "d"}, Timing: DefaultTiming, Mirror: mirror.New(), OnChange: func([]mirror.Item) {}}, 0)
	first := from.Everything(time.Second, true)
	n.HandlePullResponse(time.Second, time.Second, first)
	second := n.Everything(2*time.Second, true)
	is.True(&first.Packed[0] == &second.Packed[0])
	is.Equal(second.Revision, first.Revision)
	n.cfg.Mirror.Apply(1000, 1001, []mirror.Item{{Key: "upstream/0000", Gone: true, Revision: 1001}})
	items, ok := unpackAll(n.Everything(3*time.Second, true).Packed)
	is.True(ok)
	is.Equal(len(items), 999) // and not what has changed since
}
