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

// stoppingFor returns how long ago a planned stop began; false if none has.
func (r *Relay) stoppingFor() (time.Duration, bool) {
	began := r.stopBegan.Load()
	return time.Since(r.startedAt) - time.Duration(began), began != 0
}

// stopArrival describes a request that arrives now to the decision whether the stopping box takes it.
func (x *exchange) stopArrival() balance.StopArrival {
	since, _ := x.relay.stoppingFor()
	grace := max(0, x.relay.cfg.StopTimeout-graceMargin-since)
	return balance.StopArrival{Class: x.route.Name, TimeLeft: x.timeLeft(), Grace: grace, IsLate: since >= acceptLinger}
}

// refuseBeforeStop refuses a request that the box cannot be expected to answer before it ends; nil if
// it takes the request.
func (r *Relay) refuseBeforeStop(x *exchange) *refusal {
	if _, isStopping := r.stoppingFor(); !isStopping {
		return nil
	}
	a := x.stopArrival()
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.runTimes.EndsInGrace(a); ok {
		x.takenBy = takenByEstimate
		if a.EndsByItself() {
			x.takenBy = takenByOwnTime
		}
		return nil
	}
	return &refusal{fasthttp.StatusServiceUnavailable, stoppingReason, stoppingRetryAfter}
}

// outlastsStop reports whether a further run of the request is expected to take longer than the stopping
// box has left. Without it the caller learns sooner, and for certain where the request has not run, that
// another box is to be asked.
func (x *exchange) outlastsStop() bool {
	if _, isStopping := x.relay.stoppingFor(); !isStopping {
		return false
	}
	a := x.stopArrival()
	a.IsLate = false // the request was taken before
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	_, ok := x.relay.runTimes.EndsInGrace(a)
	return !ok
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
	a := x.stopArrival()
	r.mu.Lock()
	defer r.mu.Unlock()
	expected, _ := r.runTimes.EndsInGrace(a)
	f["late"] = a.IsLate
	f["route"], f["left_ms"], f["grace_ms"], f["expected_ms"] = a.Class, a.TimeLeft.Milliseconds(), a.Grace.Milliseconds(), expected.Milliseconds()
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
