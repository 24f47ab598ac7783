package soak

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// beginAt begins streams through some boxes until several began at the version of an upstream, and returns these.
func (w *harness) beginAt(t *testing.T, boxes []*box, u *upstream) (at []brokenStream) {
	t.Helper()
	began := time.Now()
	for n := 0; time.Since(began) < 10*time.Second; n++ {
		for _, s := range w.beginStreams(boxes, fmt.Sprintf("r%d-", n), 8) {
			if s.events[0].software == u.software {
				at = append(at, s)
			}
		}
		if len(at) >= 40 || len(at) >= 8 && time.Since(began) > 2*time.Second {
			return at
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no streams begin at the new version")
	return nil
}

// A box stood still while an upstream of another version joined: streams that began there through other
// boxes were taken up at it, in the first moment after, at the version that it knew.
func TestBoxThatStoodStillTakesUpStreamsAtOtherSoftware(t *testing.T) {
	daemon := buildDaemon(t)
	for i, spell := range []time.Duration{2500 * time.Millisecond, time.Second, 1700 * time.Millisecond} { // of one box each
		t.Run(spell.String(), func(t *testing.T) {
			is := is.New(t)
			w := startHarness(t, daemon, 104+i, 2) // both of one version
			frozen := w.boxes[i]
			others := slices.Delete(slices.Clone(w.boxes), i, i+1)
			time.Sleep(time.Second) // the boxes learn of each other
			frozen.signal(syscall.SIGSTOP)
			ends := time.Now().Add(spell)
			is.NoErr(w.startUpstream(2, 0))
			streams := w.beginAt(t, others, w.upstreams[2])
			time.Sleep(time.Until(ends))
			var all sync.WaitGroup
			var wentOn atomic.Int64
			for n, s := range streams {
				all.Go(func() {
					if got := w.takeUpAt(frozen, s, n%2 == 0); len(got.events) > 0 {
						wentOn.Add(1)
					}
				})
			}
			time.Sleep(50 * time.Millisecond) // they wait in the box's sockets
			frozen.signal(syscall.SIGCONT)
			all.Wait()
			t.Logf("%d of %d streams went on", wentOn.Load(), len(streams))
			w.checkStreams(t)
		})
	}
}
