package soak

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Several callers take up the same streams at the same time, at one box and at several: each gets the rest in order,
// of the version that began it.
func TestStreamsThatSeveralCallersTakeUpAreInOrder(t *testing.T) {
	is := is.New(t)
	w := startHarness(t, buildDaemon(t), 130, 4) // of two versions
	time.Sleep(time.Second)                      // the boxes learn of each other
	for round := range 3 {
		streams := w.beginStreams(w.boxes, fmt.Sprintf("r%d-", round), 16)
		is.True(len(streams) > 4)
		begin := make(chan struct{})
		var all sync.WaitGroup
		var wentOn, tried atomic.Int64
		for _, s := range streams {
			for n := range 6 {
				all.Go(func() {
					<-begin
					ctx, cancel := newCallerContext()
					defer cancel()
					o := outgoing{id: fmt.Sprintf("%s-up%d", s.id, n), path: s.path, body: s.body, resumes: s.id, after: s.events[len(s.events)-1].number}
					tried.Add(1)
					if got := w.sendWithin(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, w.boxes[n%3], o); got.whole {
						wentOn.Add(1)
					}
				})
			}
		}
		close(begin)
		all.Wait()
		t.Logf("%d of %d were whole", wentOn.Load(), tried.Load())
		is.True(wentOn.Load() > tried.Load()/2)
	}
	w.checkStreams(t)
}
