package relay

// This file defines how the result of a run is processed. The invariant: each run is reported to the
// fleet once, with what its result says about the upstream.

import (
	"errors"
	"io"
	"syscall"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

// maxBufferedResponse is the maximum size in bytes of a response that is read completely before it is
// forwarded, so that a failure while reading can still be answered otherwise.
const maxBufferedResponse = 4 << 20

// accept reads a response: the first events of a stream, or a whole body.
func (x *exchange) accept(resp *response) (runState, []byte, error) {
	if x.isStream(resp) {
		return x.acceptStream(resp)
	}
	resp.body = &chargedReader{exchange: x, src: resp.body, isOpenEnded: resp.header.ContentLength() < 0}
	body, err := readWhole(resp, maxBufferedResponse)
	if err == nil && len(body) == 0 && x.request.method != fasthttp.MethodHead && resp.lacksBody() {
		err = errNoBody
	}
	x.detachConn()
	x.relay.releaseConn(resp, err == nil)
	if err == nil && x.needsConfirmation(resp) {
		err = x.confirmEnd(resp)
	}
	if err != nil {
		return runUnknown, nil, err
	}
	if x.events != nil {
		return runUnknown, nil, errNoStream
	}
	status := resp.header.StatusCode()
	if !x.route.CanRepeat() && statesNotRun(status) {
		return runUnknown, nil, statusError(status)
	}
	if status >= fasthttp.StatusInternalServerError && x.route.CanRepeat() {
		x.failure = &failedResponse{resp, body}
		return runUnknown, nil, statusError(status)
	}
	x.response = resp
	if resp.endsWithConnection() {
		x.endedBy = endByConnection
		x.relay.stats.count(responsesEndedByConnection)
	}
	x.closeTicket(x.outcomeOf(status))
	return runAnswered, body, nil
}

// statesNotRun reports whether callers take a status for the statement that the request has not run and
// may be repeated. An upstream states that by a header, and may have run what it answers so without.
func statesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// statusError is the status of an upstream's response that is not passed on.
type statusError int

var _ error = statusError(0)

// Error implements error.
func (s statusError) Error() string { return fasthttp.StatusMessage(int(s)) }

// failedResponse is a 5xx response of an upstream. The caller gets it if no other upstream succeeds.
type failedResponse struct {
	response *response
	body     []byte
}

// lastFailure returns the body of the error response to forward to the caller, if there is one.
func (x *exchange) lastFailure() ([]byte, bool) {
	if x.failure == nil || x.ctx.Err() != nil {
		return nil, false
	}
	x.response = x.failure.response
	return x.failure.body, true
}

// errNoStream reports that an upstream did not resume a stream but sent another kind of response.
var errNoStream = errors.New("response is not a stream")

// shortTimeShare is the share of the route's timeout below which a caller's own time is so short that
// a timeout says nothing about the upstream.
const shortTimeShare = 0.5

// outcomeOf returns what a status says about the upstream that sent it.
func (x *exchange) outcomeOf(status int) balance.Outcome {
	switch {
	case status < fasthttp.StatusInternalServerError:
		return balance.Answered
	case status == fasthttp.StatusGatewayTimeout && x.hasShortTime():
		return balance.Neutral
	}
	return balance.Failed
}

// hasShortTime reports whether the caller allows much less time than the route.
func (x *exchange) hasShortTime() bool {
	return float64(x.deadline.Sub(x.arrived)) < shortTimeShare*float64(x.route.Timeout)
}

// recordFailure reports and logs a run without a usable response.
func (x *exchange) recordFailure(state runState, err error) {
	outcome := x.outcomeOfFailure(state, err)
	if state == runUnsent && outcome != balance.Neutral {
		x.unreachable++
	}
	if state == runUnknown {
		x.mayHaveRun = true
	}
	x.closeTicket(outcome)
	if outcome == balance.Replaced {
		x.relay.noteEnd(x.upstream.Incarnation())
	}
	if isConnectFailure(outcome) && errors.Is(err, syscall.ECONNREFUSED) {
		x.noteRefused()
	}
	if outcome == balance.Replaced {
		x.relay.noteMisdirected(x.upstream.Incarnation(), x.replacement)
	}
	x.dropUnreached(outcome)
	if outcome == balance.ConnectionLost {
		x.runsCut++
		x.noteDisconnect()
	}
	x.logFailed(state, outcome, err)
}

// dropUnreached closes the idle connections to an upstream that could not be reached or has been
// replaced. If a newer instance of the upstream is known, its connections are kept: otherwise each
// failed run on the older instance would close them all.
func (x *exchange) dropUnreached(outcome balance.Outcome) {
	if x.relay.isReplaced(x.upstream) {
		return
	}
	if isConnectFailure(outcome) || outcome == balance.Replaced {
		x.relay.conns.closeIdleDirect(x.upstream.ID)
	}
	if isConnectFailure(outcome) {
		x.relay.wakeProbeLoop()
	}
}

// outcomeOfFailure returns what a run without a usable response says about its upstream.
func (x *exchange) outcomeOfFailure(state runState, err error) balance.Outcome {
	var status statusError
	switch {
	case x.ctx.Err() != nil, errors.Is(err, errTunnelLost), errors.Is(err, errMemoryShort), errors.Is(err, errNotAccepting), errors.Is(err, errLimit), errors.Is(err, errBudget), errors.Is(err, errUnverified), errors.Is(err, errUnproven), errors.Is(err, errWithheld), errors.Is(err, errRunStopped), errors.Is(err, errEndUnconfirmed), x.silent.Load() && state == runUnknown, x.withheldRun.Load():
		return balance.Neutral
	case errors.As(err, &status):
		return x.outcomeOf(int(status))
	case state == runUnsent && errors.Is(err, errConnLimit):
		return balance.Failed
	case state == runUnsent && errors.Is(err, syscall.ECONNREFUSED):
		return balance.ConnectionRefused
	case state == runUnsent, errors.Is(err, syscall.ETIMEDOUT):
		return balance.Unreachable
	case errors.Is(err, errReplaced):
		return balance.Replaced
	case state == runRefused:
		return balance.Full
	case isConnectionLost(err):
		return balance.ConnectionLost
	}
	return balance.Failed
}

// isConnectFailure reports whether no connection could be opened, or an open one timed out.
func isConnectFailure(o balance.Outcome) bool {
	return o == balance.Unreachable || o == balance.ConnectionRefused
}

// isConnectionLost reports whether the peer closed or reset the connection during a run.
func isConnectionLost(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
}

func (x *exchange) logFailed(state runState, outcome balance.Outcome, err error) {
	r := x.relay
	fields := Fields{"id": x.request.id, "upstream": x.upstream.ID, "born": x.upstream.StartedAt, "service": x.service, "state": runNames[state], "runs": x.runsSent, "status": x.refusalStatus,
		"budget_left": x.budgetLeft(), "loads_age_ms": r.members.loadsAge().Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	if outcome == balance.ConnectionLost {
		fields["content"], fields["parts"] = formatContentHash(x.requestHash()), formatParts(x.request.prompt.Parts)
		fields["route"], fields["customer"] = x.route.Name, x.customerName()
	}
	r.cfg.Log.Event("run", "failed", fields)
	r.stats.count("runs_" + runNames[state])
}

// runNames are the names of the states in log lines and metric names.
var runNames = [...]string{runUnsent: "unsent", runRefused: "refused", runUnknown: "unknown", runAnswered: "answered"}

func (x *exchange) budgetLeft() int {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.ForService(x.service).Remaining(r.now(), r.divisor())
}

// closeTicket releases the capacity reserved for the current run and reports its outcome.
func (x *exchange) closeTicket(o balance.Outcome) {
	if x.ticket == nil {
		return
	}
	r := x.relay
	if o == balance.Answered {
		x.noteAnswered()
	}
	r.mu.Lock()
	x.ticket.Close(r.now(), o)
	r.wakeReady(x.service)
	over, lost := r.fleet.PausesOver(), r.fleet.TakeNewlyUnreachable()
	r.mu.Unlock()
	r.logPausesEnded(over)
	r.noteUnreachable(lost, "")
	wake(r.members.loadsChanged)
	x.ticket = nil
}
