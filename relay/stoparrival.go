package relay

// This file defines which requests a box takes during its planned stop. The invariant: it takes none
// that it is not expected to answer before it ends, and, once load balancers have stopped sending, none
// whose own time ends later, whatever connection the request comes on.

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

const (
	// stoppingReason is the reason of a refusal by a box that stops before it can answer.
	stoppingReason = "stopping"
	// stoppingRetryAfter is the time after which such a caller is told to retry: other boxes serve.
	stoppingRetryAfter = 10 * time.Millisecond
)

// What a stopping box took a request by, in log lines.
const (
	takenByOwnTime  = "own time"
	takenByEstimate = "estimate"
)

// graceLeft returns the time until the grace period of a planned stop is over; false if none has begun.
func (r *Relay) graceLeft() (time.Duration, bool) {
	began := r.stopBegan.Load()
	if began == 0 {
		return 0, false
	}
	ends := r.startedAt.Add(time.Duration(began) + r.cfg.StopTimeout - graceMargin)
	return max(0, time.Until(ends)), true
}

// stopArrival describes the request to the decision whether the box takes it before it ends.
func (x *exchange) stopArrival(grace time.Duration) balance.StopArrival {
	return balance.StopArrival{Class: x.route.Name, TimeLeft: x.timeLeft(), Grace: grace, IsLate: x.relay.acceptsOver.Load()}
}

// refuseBeforeStop refuses a request that the box cannot be expected to answer before it ends; nil if
// it takes the request.
func (r *Relay) refuseBeforeStop(x *exchange) *refusal {
	grace, isStopping := r.graceLeft()
	if !isStopping {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := x.stopArrival(grace)
	if _, ok := r.runTimes.EndsInGrace(a); ok {
		x.takenBy = takenByEstimate
		if a.EndsByItself() {
			x.takenBy = takenByOwnTime
		}
		return nil
	}
	return &refusal{fasthttp.StatusServiceUnavailable, stoppingReason, stoppingRetryAfter}
}

// addStopFields adds to the log line of a request that arrived during a planned stop when it did, on
// what connection, and by what it was taken.
func (x *exchange) addStopFields(f Fields) {
	x.relay.addStopFields(f, x.caller, x.arrived)
	if x.takenBy != "" {
		f["taken_by"] = x.takenBy
	}
}

// addGraceFields adds to the log line of a request that such a box refused what it was decided by.
func (r *Relay) addGraceFields(f Fields, x *exchange) {
	grace, _ := r.graceLeft()
	r.mu.Lock()
	defer r.mu.Unlock()
	a := x.stopArrival(grace)
	expected, _ := r.runTimes.EndsInGrace(a)
	f["late"] = a.IsLate
	f["route"], f["left_ms"], f["grace_ms"], f["expected_ms"] = x.route.Name, x.timeLeft().Milliseconds(), grace.Milliseconds(), expected.Milliseconds()
}

// noteRunTime records how long the request took. A failure of an upstream says nothing of that.
func (x *exchange) noteRunTime() {
	took := time.Since(x.arrived)
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	switch {
	case x.outcome == outcomeAnswered && x.response.header.StatusCode() < fasthttp.StatusMultipleChoices:
		x.relay.runTimes.Note(x.route.Name, took)
	case x.runsSent > 0:
		x.relay.runTimes.NoteUnanswered(x.route.Name, took)
	}
}
