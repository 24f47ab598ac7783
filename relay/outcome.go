package relay

// This file defines what becomes of a run: its answer is taken in, or its failure is
// noted. The invariant: each run is told to the fleet once, with what it says about
// the upstream.

import (
	"errors"
	"io"
	"syscall"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

// wholeAnswer is the most bytes of an answer that is read before it is passed on, so
// that a failure within it can be answered otherwise.
const wholeAnswer = 4 << 20

// accept takes an answer in: the first events of a stream, or a whole body.
func (x *exchange) accept(a *answer) (runState, []byte, error) {
	if x.isStream(a) {
		return x.acceptStream(a)
	}
	body, err := io.ReadAll(io.LimitReader(&chargedReader{exchange: x, answer: a}, wholeAnswer+1))
	x.release()
	whole := err == nil && len(body) <= wholeAnswer
	x.relay.finish(a, whole)
	if !whole {
		return runUnknown, nil, err
	}
	if x.events != nil {
		return runUnknown, nil, errNoStream
	}
	status := a.header.StatusCode()
	if status >= fasthttp.StatusInternalServerError && x.route.Again() {
		x.failure = &wholeFailure{a, body}
		return runUnknown, nil, statusError(status)
	}
	x.answer = a
	x.settle(x.outcomeOf(status))
	return runAnswered, body, nil
}

// statusError is the status of an upstream's own failure.
type statusError int

var _ error = statusError(0)

// Error implements error.
func (s statusError) Error() string { return fasthttp.StatusMessage(int(s)) }

// wholeFailure is an upstream's own failure, which its caller gets if no other
// upstream does better.
type wholeFailure struct {
	answer *answer
	body   []byte
}

// lastFailure is the body of the failure that the caller gets, if there is one.
func (x *exchange) lastFailure() ([]byte, bool) {
	if x.failure == nil || x.ctx.Err() != nil {
		return nil, false
	}
	x.answer = x.failure.answer
	return x.failure.body, true
}

// errNoStream says that a stream was not taken up where it was to go on.
var errNoStream = errors.New("the answer is no stream")

// shortShare is the share of its route's time below which a caller's own time is so short
// that running out of it says nothing about the upstream.
const shortShare = 0.5

// outcomeOf says what a status tells about the upstream that gave it.
func (x *exchange) outcomeOf(status int) balance.Outcome {
	switch {
	case status < fasthttp.StatusInternalServerError:
		return balance.Answered
	case status == fasthttp.StatusGatewayTimeout && x.hasShortTime():
		return balance.Neutral
	}
	return balance.Failed
}

// hasShortTime reports whether the caller gave much less time than the route does.
func (x *exchange) hasShortTime() bool {
	return float64(x.end.Sub(x.arrived)) < shortShare*float64(x.route.Timeout)
}

// failed notes a run that brought nothing.
func (x *exchange) failed(state runState, err error) {
	outcome := x.outcomeOfFailure(state, err)
	if state == runUnsent && outcome != balance.Neutral {
		x.unsent++
	}
	if state == runUnknown {
		x.mayHave = true
	}
	x.settle(outcome)
	if isUnreached(outcome) && errors.Is(err, syscall.ECONNREFUSED) || outcome == balance.Ended {
		x.relay.noteEnd(x.upstream.Incarnation())
	}
	if outcome == balance.Ended {
		x.relay.noteMisdirected(x.upstream.Incarnation(), x.instead)
	}
	x.leaveUnreached(outcome)
	if outcome == balance.Broken {
		x.disconnects++
		x.noteDisconnect()
	}
	x.logFailed(state, outcome, err)
}

// leaveUnreached closes the connections that rest to an upstream that could not be reached, or
// is another one. Those to a life that has followed are sound: with a run on the one before they
// would all be opened again.
func (x *exchange) leaveUnreached(outcome balance.Outcome) {
	if x.relay.isReplaced(x.upstream) {
		return
	}
	if isUnreached(outcome) || outcome == balance.Ended {
		x.relay.conns.closeIdle(x.upstream.ID)
	}
	if isUnreached(outcome) {
		x.relay.logUnreachable(x.upstream.ID)
		x.relay.wakeProbeLoop()
	}
}

// outcomeOfFailure says what a run that brought nothing tells about its upstream.
func (x *exchange) outcomeOfFailure(state runState, err error) balance.Outcome {
	var status statusError
	switch {
	case x.ctx.Err() != nil, errors.Is(err, errMemoryShort), errors.Is(err, errTakesNone), errors.Is(err, errLimit), errors.Is(err, errBudget), x.silent.Load() && state == runUnknown, x.withheld.Load():
		return balance.Neutral
	case errors.As(err, &status):
		return x.outcomeOf(int(status))
	case state == runUnsent && errors.Is(err, errConnLimit):
		return balance.Failed
	case state == runUnsent && errors.Is(err, syscall.ECONNREFUSED):
		return balance.Closed
	case state == runUnsent, errors.Is(err, syscall.ETIMEDOUT):
		return balance.Unreachable
	case errors.Is(err, errReplaced):
		return balance.Ended
	case state == runRefused:
		return balance.Full
	case isBreak(err):
		return balance.Broken
	}
	return balance.Failed
}

// isUnreached reports whether no connection came up, or one went silent.
func isUnreached(o balance.Outcome) bool { return o == balance.Unreachable || o == balance.Closed }

// isBreak reports whether the other side closed or reset a connection under a run.
func isBreak(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
}

func (x *exchange) logFailed(state runState, outcome balance.Outcome, err error) {
	r := x.relay
	fields := Fields{"id": x.request.id, "upstream": x.upstream.ID, "born": x.upstream.StartedAt, "service": x.service, "state": runNames[state], "runs": x.sent, "status": x.refusalStatus,
		"budget_left": x.budgetLeft(), "loads_age_ms": r.members.loadsAge().Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	if outcome == balance.Broken {
		fields["content"] = formatContentHash(x.contentHash())
	}
	r.cfg.Log.Event("run", "failed", fields)
	r.stats.count("runs_" + runNames[state])
}

// runNames are the states as they stand in log lines and names of metrics.
var runNames = [...]string{runUnsent: "unsent", runRefused: "refused", runUnknown: "unknown", runAnswered: "answered"}

func (x *exchange) budgetLeft() int {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.Of(x.service).Left(r.now(), r.divisor())
}

// settle closes the count of the current run.
func (x *exchange) settle(o balance.Outcome) {
	if x.ticket == nil {
		return
	}
	r := x.relay
	if o == balance.Answered {
		x.noteAnswered()
	}
	r.mu.Lock()
	x.ticket.Close(r.now(), o)
	r.wakeWaiting(x.service)
	over := r.fleet.PausesOver()
	r.mu.Unlock()
	r.logPausesEnded(over)
	wake(r.members.loadsChanged)
	x.ticket = nil
}
