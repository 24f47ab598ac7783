package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// divides sets what each box would do by itself: as many places as its number says.
func (w *world) divides() {
	for i, name := range w.names {
		w.boxes[name].node.SetLanes(balance.LanePlan{7: {Places: i + 1, Tight: []uint32{uint32(i)}}})
	}
}

// division is what a box goes by.
func (w *world) division(name string) int {
	n := w.boxes[name].node
	if told := n.Lanes(w.now); told != nil {
		return told[7].Places
	}
	return n.ownLanes[7].Places
}

// agreed checks that all living boxes of the domains go by the same division.
func (w *world) agreed(t *testing.T, domains ...int) int {
	t.Helper()
	is := is.New(t)
	want := 0
	for _, d := range domains {
		for i := range 4 {
			name := boxName(d, i)
			if w.boxes[name].dead {
				continue
			}
			if want == 0 {
				want = w.division(name)
			}
			is.Equal(w.division(name), want) // of a box that is in touch with the others
		}
	}
	return want
}

func TestAllBoxesDivideServicesAlike(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 31)
	w.fleet(3, 4)
	w.divides()
	w.run(4 * time.Second)
	first := w.agreed(t, 0, 1, 2)

	w.cut[domainName(1)] = true // each side goes on by a division of its own
	w.run(3 * time.Second)
	w.agreed(t, 1)
	w.agreed(t, 0, 2)
	delete(w.cut, domainName(1))
	w.run(3 * time.Second)
	is.Equal(w.agreed(t, 0, 1, 2), first)

	for _, name := range w.names { // the box that decides dies
		if w.boxes[name].node.decidesLanes(w.now) {
			w.boxes[name].dead = true
		}
	}
	w.run(3 * time.Second)
	is.True(w.agreed(t, 0, 1, 2) != first)
}

func TestABoxThatHearsOfNoLeadDividesByItself(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 32)
	w.fleet(1, 4)
	w.divides()
	w.run(4 * time.Second)
	alone := boxName(0, 3)
	told := w.division(alone)
	for i := range 3 {
		w.boxes[boxName(0, i)].dead = true
	}
	w.run(3 * time.Second)
	is.True(w.division(alone) != told)
	is.Equal(w.division(alone), 4)
}
