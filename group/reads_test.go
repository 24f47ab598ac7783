package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

func TestABoxThatCannotReadTriesLessOften(t *testing.T) {
	w := newWorld(t, 51)
	w.fleet(1, 3)
	w.run(4 * time.Second)
	tests := []struct {
		box      int
		failures int
		want     time.Duration
	}{
		{0, 1, 250 * time.Millisecond}, // the lead
		{0, 2, 500 * time.Millisecond},
		{0, 1000, 500 * time.Millisecond}, // its domain waits for the publisher's return
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

// One box reads for all domains, so that calls do not grow with them.
func TestOneBoxReadsForAllDomains(t *testing.T) {
	for _, domains := range []int{1, 2, 5} {
		is := is.New(t)
		w := newWorld(t, 52)
		w.fleet(domains, 4)
		w.run(4 * time.Second)
		before := w.calls
		w.run(10 * time.Second)
		is.True(w.calls-before <= 18) // one waits for 0.6 s, or a second where it reads for its domain alone
	}
}

// Changes that come one after the other are read together.
func TestChangesThatComeTogetherAreReadTogether(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 53)
	w.fleet(3, 4)
	w.run(4 * time.Second)
	before := w.calls
	for range 100 {
		w.publish(documentKey, "new")
		w.run(2 * step)
	}
	is.True(w.calls-before <= 12) // in a second, ten and some that were under way
	w.run(time.Second)
	is.Equal(w.behind(), nil)
}

// Whatever becomes of the box that reads, a change is known everywhere within 2 s.
func TestAChangeIsKnownThoughTheReaderIsLost(t *testing.T) {
	tests := []struct {
		name string
		lose func(w *world, reader string)
	}{
		{"it dies", func(w *world, reader string) { w.boxes[reader].dead = true }},
		{"it stands still", func(w *world, reader string) { w.boxes[reader].frozen = true }},
		{"the publisher turns it away", func(w *world, reader string) { w.refused[reader] = true }},
		{"its domain is cut off", func(w *world, reader string) { w.cut[w.boxes[reader].self.Domain] = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 54)
			w.fleet(3, 4)
			w.run(4 * time.Second)
			for _, name := range w.names {
				if w.boxes[name].node.readsForAll(w.now) {
					tt.lose(w, name)
					break
				}
			}
			w.publish(documentKey, "new")
			w.run(2 * time.Second)
			is.Equal(w.behind(), nil)
		})
	}
}

// Boxes that restart learn all from those that are there, and call the publisher only where
// nobody answers.
func TestBoxesThatRestartAskTheOthers(t *testing.T) {
	tests := []struct {
		name    string
		restart func(box int) bool
		calls   int // to the publisher, at most, in the second after
	}{
		{"all but the leads", func(box int) bool { return box > 0 }, 3},
		{"all but a seed", func(box int) bool { return box != 4 }, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 55)
			w.fleet(3, 8)
			w.run(4 * time.Second)
			before := w.calls
			for _, name := range w.names {
				b := w.boxes[name]
				if box := int(100 - b.self.Strength); tt.restart(box) {
					w.start(name, b.self.Domain, b.self.Strength, false)
				}
			}
			w.run(DefaultTiming.Others)
			is.Equal(w.behind(), nil)
			w.run(time.Second)
			is.True(w.calls-before <= tt.calls)
		})
	}
}

// Where all restart at once, nobody has anything to tell: the seeds read, and the others hear of it.
func TestABoxThatRestartsAloneReads(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 56)
	w.fleet(2, 4)
	w.run(4 * time.Second)
	for _, name := range w.names {
		b := w.boxes[name]
		w.start(name, b.self.Domain, b.self.Strength, false)
	}
	w.run(DefaultTiming.Others + 200*time.Millisecond)
	is.Equal(w.behind(), nil)
}

// A box that pulls what another has does not read as well, unless the pull fails or takes
// long.
func TestABoxThatPullsDoesNotRead(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 57)
	b := w.start("a", "domain0", 1, false)
	b.node.cfg.Seeds = []string{"b"}
	is.True(!b.node.ShouldRead(w.now))
	other := &wire.GroupBox{Name: "b", Domain: "domain0", Address: "b", Pulls: "pulls of b", Boot: 1, Strength: 9}
	w.now += 100 * time.Millisecond
	b.node.Handle(w.now, &wire.GroupMessage{Sender: other, Leads: true, Revision: 5})
	_, pull := b.node.Drain()
	is.Equal(pull, "pulls of b")
	is.True(!b.node.ShouldRead(w.now + DefaultTiming.Others))
	is.True(b.node.ShouldRead(w.now + DefaultTiming.Pull))
	b.node.PullFailed()
	is.True(b.node.ShouldRead(w.now))
}
