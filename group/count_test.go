package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// countInformed counts the running boxes that know the loads of the others.
func (w *simulation) countInformed() int {
	count := 0
	for _, name := range w.names {
		if b := w.boxes[name]; !b.dead && b.node.KnowsOtherLoads(w.now) {
			count++
		}
	}
	return count
}

func TestWhichBoxesKnowOtherLoads(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 33)
	w.startFleet(3, 4)
	is.Equal(w.countInformed(), 0) // all have just started
	w.run(4 * time.Second)
	is.Equal(w.countInformed(), 12)

	w.start(boxName(1, 2), domainName(1), 98, false)
	is.True(!w.boxes[boxName(1, 2)].node.KnowsOtherLoads(w.now)) // it has just restarted
	w.run(2 * time.Second)
	is.Equal(w.countInformed(), 12)

	w.cutDomains[domainName(0)] = true // its boxes still hear each other
	w.run(4 * time.Second)
	is.Equal(w.countInformed(), 12)
	for i := range 3 {
		w.boxes[boxName(0, i)].dead = true
	}
	w.run(8 * time.Second)
	is.True(!w.boxes[boxName(0, 3)].node.KnowsOtherLoads(w.now)) // it hears no other box
	is.Equal(w.countInformed(), 8)
}
