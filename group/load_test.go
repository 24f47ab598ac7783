package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

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

// A lead makes one message of loads for all its members; each takes off its own.
func TestALeadTellsAllItsMembersTheSame(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 21)
	w.fleet(2, 6)
	w.run(5 * time.Second)
	lead := w.boxes[boxName(0, 0)].node
	lead.SetLoads(Loads{{Upstream: 7, Urgency: 2}: {Unread: unreadUnit, Open: 1}})
	lead.Tick(w.now)
	out, _ := lead.Drain()
	made := make(map[*wire.GroupMessage]int)
	for _, o := range out {
		if o.Message.HasLoads && o.Message.Whole {
			made[o.Message]++
		}
	}
	is.Equal(len(made), 1)
	for _, times := range made {
		is.Equal(times, 5)
	}
}

func TestLoadsWithoutABoxsOwn(t *testing.T) {
	is := is.New(t)
	a, b := balance.LoadKey{Upstream: 1}, balance.LoadKey{Upstream: 2, Urgency: 3}
	all := Loads{a: {Unread: 640, Open: 5, Tight: 2}, b: {Unread: 64, Open: 1}}
	is.Equal(without(all, nil), all)
	is.Equal(without(all, Loads{a: {Unread: 640, Open: 2, Tight: 2}, b: {Unread: 64, Open: 1}}), Loads{a: {Open: 3}})
	// What the others know may be older than what the box has now: nothing falls below 0.
	is.Equal(without(all, Loads{a: {Unread: 9999, Open: 9, Tight: 9}}), Loads{b: {Unread: 64, Open: 1}})
}

// A box that tells a lead which has started again does not take off what that one does
// not know of.
func TestALeadThatStartsAgainIsToldAnew(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 22)
	w.fleet(1, 3)
	w.run(5 * time.Second)
	key := balance.LoadKey{Upstream: 7, Urgency: 2}
	for _, name := range w.names {
		w.boxes[name].node.SetLoads(Loads{key: {Unread: unreadUnit, Open: 1}})
	}
	w.run(time.Second)
	b := w.boxes[boxName(0, 1)].node
	is.True(b.peers[boxName(0, 0)].told)
	w.start(boxName(0, 0), domainName(0), 100, false)
	b.Handle(w.now, &wire.GroupMessage{Sender: w.boxes[boxName(0, 0)].self, Leads: true})
	is.True(!b.peers[boxName(0, 0)].told)
	w.run(3 * time.Second)
	is.Equal(b.Others()[key].Open, 1) // of the third box; the lead has none any more
}
