package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// informed lists the living boxes that know what the others have under way.
func (w *world) informed() int {
	count := 0
	for _, name := range w.names {
		if b := w.boxes[name]; !b.dead && b.node.KnowsOtherLoads(w.now) {
			count++
		}
	}
	return count
}

func TestWhichBoxesKnowWhatTheOthersHaveUnderWay(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 33)
	w.fleet(3, 4)
	is.Equal(w.informed(), 0) // all have just started
	w.run(4 * time.Second)
	is.Equal(w.informed(), 12)

	w.start(boxName(1, 2), domainName(1), 98, false)
	is.True(!w.boxes[boxName(1, 2)].node.KnowsOtherLoads(w.now)) // it has started again
	w.run(2 * time.Second)
	is.Equal(w.informed(), 12)

	w.cut[domainName(0)] = true // its boxes go on hearing each other
	w.run(4 * time.Second)
	is.Equal(w.informed(), 12)
	for i := range 3 {
		w.boxes[boxName(0, i)].dead = true
	}
	w.run(8 * time.Second)
	is.True(!w.boxes[boxName(0, 3)].node.KnowsOtherLoads(w.now)) // it hears of nobody
	is.Equal(w.informed(), 8)
}
