package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
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
