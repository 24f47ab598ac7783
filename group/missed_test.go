package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A box that had been cut off, or frozen, believed that its copy had held all that was published
// meanwhile: streams of a software version that came and went were taken up at another one.
func TestBoxDoesNotKnowWhatItMissed(t *testing.T) {
	box := boxName(1, 1)
	for _, test := range []struct {
		name     string
		set      func(w *simulation, on bool)
		isMissed bool
	}{
		{"the box is cut off", func(w *simulation, on bool) { w.isolated[box], w.refusedBoxes[box] = on, on }, true},
		{"the box is frozen", func(w *simulation, on bool) { w.boxes[box].frozen = on }, true},
		{"its domain is cut off", func(w *simulation, on bool) {
			w.cutDomains[domainName(1)] = on
			w.setRefused(on, boxName(1, 0), boxName(1, 1), boxName(1, 2))
		}, true},
		{"the publisher is away", func(w *simulation, on bool) { w.publisherDown = on }, false},
		{"the reader is cut off", func(w *simulation, on bool) { w.isolated[boxName(0, 0)], w.refusedBoxes[boxName(0, 0)] = on, on }, false},
		{"the publisher refuses the box", func(w *simulation, on bool) { w.refusedBoxes[box] = on }, false},
		{"nothing", func(*simulation, bool) {}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				w := newSimulation(t, 100+seed)
				w.failureDelay = 900 * time.Millisecond
				w.startFleet(3, 3)
				w.run(5 * time.Second)
				before := w.now
				test.set(w, true)
				w.run(5*time.Second + time.Duration(seed)*100*time.Millisecond)
				test.set(w, false)
				w.run(2 * time.Second)
				is.Equal(w.boxes[box].node.MissedUntil() > before, test.isMissed)
			}
		})
	}
}
