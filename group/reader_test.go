package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

func TestReadBackoff(t *testing.T) {
	w := newSimulation(t, 51)
	w.startFleet(1, 3)
	w.run(4 * time.Second)
	tests := []struct {
		box      int
		failures int
		want     time.Duration
	}{
		{0, 1, 250 * time.Millisecond}, // the leader
		{0, 2, 500 * time.Millisecond},
		{0, 1000, 500 * time.Millisecond}, // its domain waits for the publisher to return
		{2, 1, 250 * time.Millisecond},
		{2, 2, 500 * time.Millisecond},
		{2, 4, 2 * time.Second},
		{2, 1000, 2 * time.Second},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(w.boxes[boxName(0, tt.box)].node.ReadBackoff(tt.failures), tt.want)
	}
}

// One box reads for all domains, so the number of calls does not grow with them.
func TestOneBoxReadsForAllDomains(t *testing.T) {
	for _, domains := range []int{1, 2, 5} {
		is := is.New(t)
		w := newSimulation(t, 52)
		w.startFleet(domains, 4)
		w.run(4 * time.Second)
		before := w.publisherCalls
		w.run(10 * time.Second)
		is.True(w.publisherCalls-before <= 18) // a call waits for 0.6 s, or for a second if the box reads for its domain only
	}
}

// Changes in quick succession are read together.
func TestChangesAreReadInBatches(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 53)
	w.startFleet(3, 4)
	w.run(4 * time.Second)
	before := w.publisherCalls
	for range 100 {
		w.publish(documentKey, "new")
		w.run(2 * step)
	}
	is.True(w.publisherCalls-before <= 12) // ten in a second, and some that were in progress
	w.run(time.Second)
	is.Equal(w.staleBoxes(), nil)
}

// Whatever happens to the box that reads, a change is known to all boxes within 2 s.
func TestChangeIsKnownAfterLossOfReader(t *testing.T) {
	tests := []struct {
		name string
		lose func(w *simulation, reader string)
	}{
		{"it stops", func(w *simulation, reader string) { w.boxes[reader].dead = true }},
		{"it freezes", func(w *simulation, reader string) { w.boxes[reader].frozen = true }},
		{"the publisher refuses it", func(w *simulation, reader string) { w.refusedBoxes[reader] = true }},
		{"its domain is cut off", func(w *simulation, reader string) { w.cutDomains[w.boxes[reader].self.Domain] = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 54)
			w.startFleet(3, 4)
			w.run(4 * time.Second)
			for _, name := range w.names {
				if w.boxes[name].node.isFleetReader(w.now) {
					tt.lose(w, name)
					break
				}
			}
			w.publish(documentKey, "new")
			w.run(2 * time.Second)
			is.Equal(w.staleBoxes(), nil)
		})
	}
}

// Boxes that restart pull all data from the running ones, and call the publisher only if no box
// answers.
func TestRestartedBoxesPullFromOthers(t *testing.T) {
	tests := []struct {
		name    string
		restart func(box int) bool
		calls   int // calls to the publisher in the second after, at most
	}{
		{"all but the leaders", func(box int) bool { return box > 0 }, 3},
		{"all but a seed", func(box int) bool { return box != 4 }, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 55)
			w.startFleet(3, 8)
			w.run(4 * time.Second)
			before := w.publisherCalls
			for _, name := range w.names {
				b := w.boxes[name]
				if box := int(100 - b.self.Strength); tt.restart(box) {
					w.start(name, b.self.Domain, b.self.Strength, false)
				}
			}
			w.run(DefaultTiming.RestartWait)
			is.Equal(w.staleBoxes(), nil)
			w.run(time.Second)
			is.True(w.publisherCalls-before <= tt.calls)
		})
	}
}

// If all boxes restart at once, none has any data: the seeds read, and the others get it from
// them.
func TestSeedsReadAfterFullRestart(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 56)
	w.startFleet(2, 4)
	w.run(4 * time.Second)
	for _, name := range w.names {
		b := w.boxes[name]
		w.start(name, b.self.Domain, b.self.Strength, false)
	}
	w.run(DefaultTiming.RestartWait + 200*time.Millisecond)
	is.Equal(w.staleBoxes(), nil)
}

// A box that pulls from another one does not read the publisher as well, unless the pull fails or
// takes long.
func TestPullingBoxDoesNotRead(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 57)
	b := w.start("a", "domain0", 1, false)
	b.node.cfg.Seeds = []string{"b"}
	is.True(!b.node.ShouldRead(w.now))
	other := &wire.GroupBox{Name: "b", Domain: "domain0", Address: "b", Pulls: "pull address of b", Boot: 1, Strength: 9}
	w.now += 100 * time.Millisecond
	b.node.Handle(w.now, &wire.GroupMessage{Sender: other, Leads: true, Revision: 5})
	_, pull := b.node.Drain()
	is.Equal(pull, "pull address of b")
	is.True(!b.node.ShouldRead(w.now + DefaultTiming.RestartWait))
	is.True(b.node.ShouldRead(w.now + DefaultTiming.PullWait))
	b.node.PullFailed()
	is.True(b.node.ShouldRead(w.now))
}

// A leader that had failed to read, and that no longer had to, said so for good: boxes of its domain
// read on in its place.
func TestMembersReadOnForLeaderThatNoLongerHasTo(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		w := newSimulation(t, 40+seed)
		w.failureDelay = 900 * time.Millisecond
		w.startFleet(3, 3)
		w.run(8 * time.Second)
		before := w.publisherCalls
		w.run(10 * time.Second)
		calls := w.publisherCalls - before
		reader, leader := boxName(0, 0), boxName(1, 0)
		w.setRefused(true, reader, leader)
		w.run(6 * time.Second)
		w.setRefused(false, reader)
		w.run(2 * time.Second)
		w.setRefused(false, leader)
		w.run(2 * DefaultTiming.DelegatedReadPeriod)
		before = w.publisherCalls
		w.run(10 * time.Second)
		is.True(w.publisherCalls-before <= calls+1) // one box reads, as before
	}
}

// A box that took over reading waited for a change as one that reads all the time does: meanwhile nobody
// had an answer, and copies grew as old as in an outage.
func TestBoxThatTakesOverReadingWaitsForChange(t *testing.T) {
	is := is.New(t)
	const tick = step * stepsPerTick
	for seed := range uint64(20) {
		w := newSimulation(t, 40+seed)
		w.failureDelay = 900 * time.Millisecond
		w.startFleet(3, 3)
		w.run(6*time.Second + time.Duration(seed)*50*time.Millisecond)
		w.setRefused(true, boxName(0, 0))
		leader := w.boxes[boxName(2, 0)]
		for range 80 {
			w.run(50 * time.Millisecond)
			is.True(w.now-leader.node.ConfirmedAt() <= DefaultTiming.StaleAfter+tick) // a leader has the first turn to read
		}
	}
}
