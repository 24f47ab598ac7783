package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/decide"
)

// These tests guard against a request that crashes every upstream that starts
// to run it. It arrives repeatedly, with a new ID each time and at any box.
// Each arrival counts as a new request and is retried on other upstreams
// within the retry budget, so it crashes one upstream after another unless the
// boxes count together which content was running when an upstream crashed.

// crashingContent is the content of a request that crashes the upstream that
// runs it.
const crashingContent = 77

// crashUpstream crashes an engine, which starts again a second later.
func (s *simulation) crashUpstream(e *testEngine) {
	e.dead, e.notListening = true, true
	s.engineCrashes++
	s.after(time.Second, func() { e.dead, e.notListening = false, false })
}

// arriveContent sends a request with the given content to a box.
func (s *simulation) arriveContent(box string, content uint64) uint64 {
	b := s.boxes[box]
	s.requests++
	id := decide.RequestID(box, b.boot, s.requests)
	s.on(b, b.boot, func() {
		b.node.Arrive(s.now, Request{ID: id, Class: "review", Customer: "acme", Repeatable: true, Resumable: true, Content: content})
	})
	return id
}

func TestRequestThatCrashesUpstreamsIsWithheldOnAllBoxes(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(t, 31, 1, 4, 6)
			s.startAll()
			s.waitReady()
			s.lossRate = loss
			for n := range 80 { // a pair of requests four times a second
				s.arriveContent(s.names[n%len(s.names)], crashingContent)
				s.arriveContent(s.names[(n+1)%len(s.names)], uint64(1000+n))
				s.run(250 * time.Millisecond)
			}
			t.Logf("%d upstreams crashed", s.engineCrashes)
			is.True(s.engineCrashes <= 5) // two crashes make it withheld; the others were already running meanwhile
			last := s.arriveContent(s.names[0], crashingContent)
			s.run(time.Second)
			is.Equal(s.finals[last].Reason, decide.Withheld)
			is.True(!s.finals[last].Ran)
			is.True(s.finals[last].RetryAfter > time.Minute)
			s.startBox(s.names[1]) // a restarted box learns of it from the others
			s.run(5 * time.Second)
			before := s.engineCrashes
			s.arriveContent(s.names[1], crashingContent)
			s.run(5 * time.Second)
			is.Equal(s.engineCrashes, before)
			is.True(s.answered >= 70) // the other requests, some of which ran on the same upstreams
			s.settle()
			s.checkGuarantees()
		})
	}
}
