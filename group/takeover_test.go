package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// openOthers is how many requests a box believes the others have under way.
func (w *world) openOthers(name string) int {
	sum := 0
	for _, l := range w.boxes[name].node.Others() {
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
				led = led || w.boxes[next].node.Leads()
				for _, box := range []string{next, member} {
					if got := w.openOthers(box); got < before-4 || got > before {
						t.Errorf("%v: %s believes %d, want %d to %d", w.now, box, got, before-4, before)
					}
				}
			}
			is.True(led)
			is.True(w.boxes[next].node.Informed(w.now))
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
	is.True(n.Informed(w.now))
	w.boxes[boxName(0, 0)].dead = true
	for !n.Leads() {
		w.run(step)
	}
	w.run(tickStep * step)
	is.True(!n.Informed(w.now))
	w.run(DefaultTiming.Member)
	is.True(n.Informed(w.now))
}
