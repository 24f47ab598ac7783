package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// openOthers is how many requests a box believes the others have under way.
func (w *world) openOthers(name string) int {
	sum := 0
	for _, l := range w.boxes[name].node.OtherLoads() {
		sum += l.Open
	}
	return sum
}

// loadEach gives each box four requests, one of them at an upstream that all use.
func (w *world) loadEach() {
	for i, name := range w.names {
		w.boxes[name].node.SetLoads(Loads{{Upstream: uint32(1000 + i)}: {Unread: 6400, Open: 3}, {Upstream: 7, Urgency: 2}: {Unread: 6400, Open: 1}})
	}
}

// A lead that takes over, and those who follow it, never believe that less is under way than the
// boxes have that live.
func TestASuccessorKnowsWhatItKnewAsAMember(t *testing.T) {
	worlds := map[string]func() *world{
		"one region": func() *world {
			w := newWorld(t, 1)
			w.fleet(3, 26)
			w.run(6 * time.Second)
			return w
		},
		"three regions": func() *world { return across(t, 1, layout{6, 3}, 78) },
	}
	for name, begin := range worlds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := begin()
			w.loadEach()
			w.run(14 * time.Second)
			next, member := boxName(0, 1), boxName(0, 5)
			before := w.openOthers(next)
			is.Equal(before, 4*(len(w.names)-1))
			w.boxes[boxName(0, 0)].dead = true
			led := false
			for range 60 {
				w.run(50 * time.Millisecond)
				led = led || w.boxes[next].node.IsLeader()
				for _, box := range []string{next, member} {
					if got := w.openOthers(box); got < before-4 || got > before {
						t.Errorf("%v: %s believes %d, want %d to %d", w.now, box, got, before-4, before)
					}
				}
			}
			is.True(led)
			is.True(w.boxes[next].node.KnowsOtherLoads(w.now))
		})
	}
}

// Until all have told it, a lead that has just begun does not say that it knows.
func TestASuccessorIsNotInformedBeforeItIsTold(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.fleet(3, 6)
	w.run(6 * time.Second)
	n := w.boxes[boxName(0, 1)].node
	n.SetLoads(Loads{balance.LoadKey{Upstream: 7}: {Open: 1}})
	w.run(time.Second)
	is.True(n.KnowsOtherLoads(w.now))
	w.boxes[boxName(0, 0)].dead = true
	for !n.leading {
		w.run(step)
	}
	is.True(!n.KnowsOtherLoads(w.now))
	w.run(DefaultTiming.Member)
	is.True(n.KnowsOtherLoads(w.now))
}

// Those who hear of a domain or a region from its lead go by what the former one told until the
// next one has told all.
func TestOthersKeepASumUntilTheNextLeadTellsAll(t *testing.T) {
	is := is.New(t)
	w := across(t, 1, layout{6, 3}, 78)
	w.loadEach()
	w.run(14 * time.Second)
	w.boxes[boxName(0, 0)].dead = true // of region 0, the strongest of all
	before := 4 * (len(w.names) - 1)
	for range 80 {
		w.run(50 * time.Millisecond)
		for _, box := range []string{boxName(3, 0), boxName(3, 4), boxName(1, 0), boxName(1, 4), boxName(4, 4)} {
			if got := w.openOthers(box); got < before-4 || got > before {
				t.Errorf("%v: %s believes %d, want %d to %d", w.now, box, got, before-4, before)
			}
		}
	}
	is.Equal(w.openOthers(boxName(1, 4)), before-4)
}

// The first change of a lead that has told nothing whole displaces nobody's sum.
func TestAChangeIsNoSum(t *testing.T) {
	is := is.New(t)
	n := nodeWith(3)
	n.cfg.Self.Region, n.cfg.Self.Boot = "here", 1
	lead := func(name string, strength uint32) *wire.GroupMessage {
		box := &wire.GroupBox{Name: name, Domain: "x", Region: "there", Strength: strength, Boot: 1, Address: name}
		return &wire.GroupMessage{Sender: box, Leads: true}
	}
	now := 10 * time.Second
	for range 40 {
		now += tickStep * step
		n.Tick(now)
	}
	first := lead("a", 10)
	first.HasLoads, first.Scope, first.Columns = true, scopeRegion, packColumns(Loads{{Upstream: 1}: {Open: 10}, {Upstream: 2}: {Open: 500}})
	n.Handle(now, first)
	n.Tick(now)
	is.Equal(n.OtherLoads()[balance.LoadKey{Upstream: 2}].Open, 500)
	n.Handle(now, lead("b", 20))
	n.Handle(now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: "b", Boot: 1}, HasLoads: true, Partial: true, Scope: scopeRegion,
		Columns: packColumns(Loads{{Upstream: 1}: {Open: 11}})})
	n.Tick(now)
	is.Equal(n.OtherLoads()[balance.LoadKey{Upstream: 2}].Open, 500)
}

// A lead tells no changes to those whom it has told no whole list yet.
func TestTheWholeGoesBeforeChanges(t *testing.T) {
	is := is.New(t)
	w := across(t, 3, layout{6, 3}, 18)
	w.loadEach()
	w.run(5 * time.Second)
	n := w.boxes[boxName(0, 0)].node
	n.audiences = audiences{}
	n.SetLoads(Loads{{Upstream: 1}: {Open: 1}})
	n.FlushLoads(w.now + time.Second)
	out, _ := n.Drain()
	is.Equal(len(out), 0)
	n.Tick(w.now + time.Second)
	out, _ = n.Drain()
	whole := 0
	for _, o := range out {
		is.True(!o.Message.Partial)
		if o.Message.HasLoads {
			whole++
		}
	}
	is.True(whole > 0)
}
