package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine that serves on said in its answers that it is leaving, and got requests until its report said so.
func TestAnUpstreamThatSaysItIsLeavingWhileItServesGetsNothingNew(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4, 1, 2, 2)
	w.startAll()
	w.ready()
	w.down = true
	e := w.engines["e0.0"]
	e.announces = true
	sent := 0
	for ; e.starts == 0 && sent < 100; sent++ {
		w.arrive(w.names[sent%2], "review", "")
		w.run(20 * time.Millisecond)
	}
	w.run(10 * time.Second) // what had begun has ended, and said so
	before := e.starts
	is.True(before > 0)
	for i := range 60 {
		w.arrive(w.names[i%2], "review", "")
		w.run(50 * time.Millisecond)
	}
	w.runUntil("all answers", 60*time.Second, func() bool { return w.answered == sent+60 })
	is.Equal(e.starts, before)
	w.check()
}

// While the owner of a set is silent, this box's own share of an upstream that wants nothing is not used.
func TestTheOwnShareOfAnUpstreamThatPausesIsNotUsed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4, 1, 2, 2)
	w.startAll()
	w.ready()
	n := w.boxes[w.names[0]].node
	n.quiet["e0.0"] = n.now + time.Second
	is.True(n.isQuiet("e0.0"))
	is.True(!n.isQuiet("e0.1"))
	n.now += time.Second
	is.True(!n.isQuiet("e0.0"))
}
