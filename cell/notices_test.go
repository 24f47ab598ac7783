package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against sending requests to an engine that reports in its answers
// that it is leaving, but still serves. Without the report in the answer,
// boxes send it requests until its next load report.
func TestUpstreamReportingLeavingGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 4, 1, 2, 2)
	s.startAll()
	s.waitReady()
	s.platformDown = true
	e := s.engines["e0.0"]
	e.announcesLeaving = true
	sent := 0
	for ; e.starts == 0 && sent < 100; sent++ {
		s.arrive(s.names[sent%2], "review", "")
		s.run(20 * time.Millisecond)
	}
	s.run(10 * time.Second) // all runs have ended, and their answers reported it
	before := e.starts
	is.True(before > 0)
	for i := range 60 {
		s.arrive(s.names[i%2], "review", "")
		s.run(50 * time.Millisecond)
	}
	s.runUntil("all requests to be answered", 60*time.Second, func() bool { return s.answered == sent+60 })
	is.Equal(e.starts, before)
	s.checkGuarantees()
}

// While the owner of a set is silent, a box must not use its own share of an
// upstream that asked for a pause.
func TestOwnShareOfPausingUpstreamIsBlocked(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 4, 1, 2, 2)
	s.startAll()
	s.waitReady()
	n := s.boxes[s.names[0]].node
	n.ownShareBlocked["e0.0"] = n.now + time.Second
	is.True(n.isOwnShareBlocked("e0.0"))
	is.True(!n.isOwnShareBlocked("e0.1"))
	n.now += time.Second
	is.True(!n.isOwnShareBlocked("e0.0"))
}
