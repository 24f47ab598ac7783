package group

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// Each box is told what all others have under way, in all domains, and never its own;
// what a box had is forgotten once it is gone.
func TestEachBoxKnowsTheLoadsOfTheOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 20)
	w.fleet(3, 4)
	w.run(5 * time.Second)
	key := balance.LoadKey{Upstream: 7, Urgency: 2}
	sum := 0
	for i, name := range w.names {
		tokens := unreadUnit * (i + 1)
		sum += tokens
		w.boxes[name].node.SetLoads(Loads{key: {Unread: tokens, Open: 1}})
	}
	w.run(time.Second)
	for i, name := range w.names {
		others := w.boxes[name].node.Others()[key]
		is.Equal(others.Unread, sum-unreadUnit*(i+1))
		is.Equal(others.Open, len(w.names)-1)
	}
	gone := w.boxes[boxName(1, 2)]
	gone.dead = true
	w.run(2 * DefaultTiming.Member)
	for i, name := range w.names {
		if w.boxes[name].dead {
			continue
		}
		others := w.boxes[name].node.Others()[key]
		is.Equal(others.Open, len(w.names)-2)
		is.Equal(others.Unread, sum-unreadUnit*(i+1)-unreadUnit*7)
	}
	for _, name := range w.names {
		w.boxes[name].node.SetLoads(nil)
	}
	w.run(2 * time.Second)
	for _, name := range w.names {
		if !w.boxes[name].dead {
			is.Equal(len(w.boxes[name].node.Others()), 0)
		}
	}
}

func TestLoadsAreReadBackAsTheyWereWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := make(Loads)
		for range rapid.IntRange(0, 30).Draw(t, "entries") {
			key := balance.LoadKey{Upstream: uint32(rapid.IntRange(0, 9).Draw(t, "upstream")), Urgency: rapid.IntRange(0, 9).Draw(t, "urgency")}
			open := rapid.IntRange(1, 300).Draw(t, "open")
			want[key] = balance.Load{
				Unread: unreadUnit * rapid.IntRange(0, 1e6).Draw(t, "unread"),
				Open:   open,
				Tight:  rapid.IntRange(0, open).Draw(t, "tight"),
			}
		}
		packed := packLoads(want)
		if got := unpackLoads(packed); !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if !sameLoads(packed, packLoads(want)) {
			t.Fatal("the same loads are packed otherwise")
		}
	})
}

func TestWordsThatAreNoWholeEntryAreLeftOut(t *testing.T) {
	is := is.New(t)
	got := unpackLoads([]*wire.GroupLoad{{Upstream: 1, Work: []uint32{2, 3, 4, 1, 5, 6}}, {Upstream: 2}, {Upstream: 3, Work: []uint32{1}}})
	is.Equal(got, Loads{{Upstream: 1, Urgency: 2}: {Unread: 3 * unreadUnit, Open: 4, Tight: 1}})
}
