package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/standin"
)

// TestEngineReportsUnavailable checks that a box stops sending to an engine whose responses announce a
// shutdown or ask for a pause, even without a report that says so, and that another engine
// serves all requests.
func TestEngineReportsUnavailable(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
		got    func(standin.EngineCounts) int // requests that reached the engine
	}{
		{"leaving", standin.Faults{Announce: true}, func(n standin.EngineCounts) int { return len(n.Starts) }},
		{"pause", standin.Faults{Pause: 60}, func(n standin.EngineCounts) int { return n.Refused }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, config{domains: 1, boxes: 1, engines: 2, slots: 4, pace: time.Millisecond})
			ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
			defer cancel()
			s.engines[0].SetFaults(c.faults)
			expectAll := func(count int) {
				answers, calls := sendAll(ctx, s.boxes, count, reviewCall)
				for i, a := range answers {
					is.NoErr(a.err)
					expectComplete(t, calls[i].prompt, a)
				}
			}
			for c.got(s.engines[0].Counts()) == 0 && ctx.Err() == nil {
				expectAll(2)
			}
			before := c.got(s.engines[0].Counts())
			for range 8 { // longer than the back-off after a few failures
				expectAll(16)
				time.Sleep(500 * time.Millisecond)
			}
			is.Equal(c.got(s.engines[0].Counts()), before)
			s.checkInvariants()
		})
	}
}
