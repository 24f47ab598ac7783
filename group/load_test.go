package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
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
		tokens := tokenUnit * (i + 1)
		sum += tokens
		w.boxes[name].node.SetLoads(Loads{key: {Unread: tokens, Open: 1}})
	}
	w.run(time.Second)
	for i, name := range w.names {
		others := w.boxes[name].node.OtherLoads()[key]
		is.Equal(others.Unread, sum-tokenUnit*(i+1))
		is.Equal(others.Open, len(w.names)-1)
	}
	gone := w.boxes[boxName(1, 2)]
	gone.dead = true
	w.run(2 * DefaultTiming.Member)
	for i, name := range w.names {
		if w.boxes[name].dead {
			continue
		}
		others := w.boxes[name].node.OtherLoads()[key]
		is.Equal(others.Open, len(w.names)-2)
		is.Equal(others.Unread, sum-tokenUnit*(i+1)-tokenUnit*7)
	}
	for _, name := range w.names {
		w.boxes[name].node.SetLoads(nil)
	}
	w.run(2 * time.Second)
	for _, name := range w.names {
		if !w.boxes[name].dead {
			is.Equal(len(w.boxes[name].node.OtherLoads()), 0)
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
	lead.SetLoads(Loads{{Upstream: 7, Urgency: 2}: {Unread: tokenUnit, Open: 1}})
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
		w.boxes[name].node.SetLoads(Loads{key: {Unread: tokenUnit, Open: 1}})
	}
	w.run(time.Second)
	b := w.boxes[boxName(0, 1)].node
	is.True(b.peers[boxName(0, 0)].told)
	w.start(boxName(0, 0), domainName(0), 100, false)
	b.Handle(w.now, &wire.GroupMessage{Sender: w.boxes[boxName(0, 0)].self, Leads: true})
	is.True(!b.peers[boxName(0, 0)].told)
	w.run(3 * time.Second)
	is.Equal(b.OtherLoads()[key].Open, 1) // of the third box; the lead has none any more
}

// What a box has begun or ended all others know within a few flushes, in its domain and in
// others; no message is longer for all that has not changed.
func TestAChangeOfLoadsIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 23)
	w.fleet(3, 20)
	w.run(5 * time.Second)
	for i, name := range w.names {
		loads := make(Loads)
		for u := range uint32(10) {
			loads[balance.LoadKey{Upstream: 1000*uint32(i) + u}] = balance.Load{Unread: tokenUnit, Open: 1}
		}
		w.boxes[name].node.SetLoads(loads)
	}
	w.run(5 * time.Second)
	key := balance.LoadKey{Upstream: 7, Urgency: 2}
	teller := w.boxes[boxName(1, 13)].node
	for _, load := range []balance.Load{{Unread: 4 * tokenUnit, Open: 2}, {Open: 1}, {}} {
		loads := make(Loads)
		addLoads(loads, teller.loads)
		setLoad(loads, key, load)
		teller.SetLoads(loads)
		w.run(4*flushPause + 8*step)
		for _, name := range w.names {
			if name != boxName(1, 13) {
				is.Equal(w.boxes[name].node.OtherLoads()[key], load)
			}
		}
	}
}

// Whatever is lost, of changes or of whole lists, is made good: what a box has told that
// others took for a lead meanwhile counts until they have not heard it for Timing.Member.
func TestLoadsAreRightAgainAfterLosses(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 24)
	w.fleet(3, 6)
	w.run(5 * time.Second)
	w.loss = 0.3
	for s := range 20 {
		w.shuffleLoads(s)
		w.run(100 * time.Millisecond)
	}
	w.loss = 0
	w.run(DefaultTiming.Member + time.Second)
	for _, name := range w.names {
		want := make(Loads)
		for _, other := range w.names {
			if other != name {
				addLoads(want, w.boxes[other].node.loads)
			}
		}
		is.Equal(w.boxes[name].node.OtherLoads(), want)
	}
}

// What a box is told of changes it hands on once, and in the end all that it knows.
func TestLoadNewsAddUpToTheLoadsOfTheOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 25)
	w.fleet(2, 5)
	w.run(5 * time.Second)
	n := w.boxes[boxName(1, 3)].node
	n.DrainLoadChanges()
	heard := make(Loads)
	addLoads(heard, n.OtherLoads())
	for s := range 10 {
		w.shuffleLoads(s)
		w.run(2 * flushPause)
		for key, load := range n.DrainLoadChanges() {
			setLoad(heard, key, load)
		}
	}
	w.run(300 * time.Millisecond)
	for key, load := range n.DrainLoadChanges() {
		setLoad(heard, key, load)
	}
	is.Equal(heard, n.OtherLoads())
	is.Equal(n.DrainLoadChanges(), nil)
}

// A lead started again, and its first messages were lost. A member went on telling it, so that its next list held the
// member's own work; by that list the member learned of the new life, forgot what it had told, and took its own
// work for that of others, for half a second. A search of small schedules stopped there: "believes of 3 requests, the others have 0".
func TestAMemberDoesNotTakeItsOwnWorkForThatOfOthers(t *testing.T) {
	is := is.New(t)
	member := NewNode(Config{Self: &wire.GroupBox{Name: "b", Domain: "d", Address: "b", Boot: 1, Strength: 1}, Timing: DefaultTiming, Mirror: mirror.New()}, 0)
	lead := func(boot uint64) *wire.GroupBox {
		return &wire.GroupBox{Name: "a", Domain: "d", Address: "a", Boot: boot, Strength: 2}
	}
	key := balance.LoadKey{Upstream: 7, Urgency: 2}
	own := Loads{key: {Open: 3}}
	all := &wire.GroupMessage{Sender: lead(2), Leads: true, HasLoads: true, Whole: true, Columns: packColumns(own)}
	some := &wire.GroupMessage{Sender: lead(2), Partial: true, HasLoads: true, Columns: packColumns(own)}
	now := 100 * time.Millisecond
	member.Handle(now, &wire.GroupMessage{Sender: lead(1), Leads: true})
	member.SetLoads(own)
	member.Tick(now)
	is.True(member.peers["a"].told)
	now += 50 * time.Millisecond
	member.Handle(now, all) // the first that it hears of the new life
	is.Equal(len(member.OtherLoads()), 0)
	member.Handle(now, some)
	is.Equal(len(member.OtherLoads()), 0)
	now += DefaultTiming.Beat + 50*time.Millisecond
	member.Tick(now) // it tells the new life
	is.True(member.peers["a"].told)
	others := Loads{key: {Open: 5}}
	member.Handle(now, &wire.GroupMessage{Sender: lead(2), Leads: true, HasLoads: true, Whole: true, Columns: packColumns(others)})
	is.Equal(member.OtherLoads()[key].Open, 2)
}
