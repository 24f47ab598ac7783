package relay

// This file defines when a response is whole whose end nothing marks but the close of its connection. An upstream
// closes the connection at the end, but so does the system of one that was killed. The invariant: the response is whole
// only if the process that wrote it has answered a call that was made endConfirmDelay after the close.

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

const (
	// endConfirmDelay is how long after the close the upstream is asked: one that is told to stop may close its
	// connections, answers under way included, and end afterwards.
	endConfirmDelay = 100 * time.Millisecond
	// endConfirmTimeout limits how long an upstream is asked whether it still runs.
	endConfirmTimeout = time.Second
	// endConfirmInterval is the pause after a call that was not answered, as by an upstream with too many connections.
	endConfirmInterval = 50 * time.Millisecond
	// minStandstill is how late, at the least, a timer fires in a process that was stopped.
	minStandstill = 250 * time.Millisecond
	// maxStandstills bounds what the calls take in a process that is always late.
	maxStandstills = 2
)

// Errors for responses that are not known to be whole.
var (
	// errUpstreamEnded reports that the process that closed the connection does not run any more.
	errUpstreamEnded = &Error{Op: "confirm end of response", Kind: KindTruncated, Err: io.ErrUnexpectedEOF}
	// errEndUnconfirmed reports that the upstream did not say in time whether it still runs.
	errEndUnconfirmed = &Error{Op: "confirm end of response", Kind: KindTruncated}
)

// What showed that the process that closed a connection still runs, in log lines.
const (
	proofOlderConn = "older connection"
	proofStart     = "start"    // it states the start that is listed
	proofInstance  = "instance" // it names itself by the ID that is listed
	proofAnswer    = "answer"   // its upstreams state neither
)

// Counters of responses that ended with their connections.
const (
	endsConfirmed    = "ends_confirmed"
	endsNotConfirmed = "ends_not_confirmed"
)

// needsConfirmation reports whether a response that was read to the close of its connection may have broken off there.
func (x *exchange) needsConfirmation(resp *response) bool {
	return resp.endsWithConnection() && x.request.method != fasthttp.MethodHead && x.relay.cfg.Protocol.ReportCall != nil
}

// confirmEnd makes sure that the upstream has ended the response whose connection it closed; the error says that it has
// not, or that this is not known.
func (x *exchange) confirmEnd(resp *response) error {
	began := time.Now()
	sleep(x.ctx, endConfirmDelay)
	x.awaitCallAllowed()
	calls := &confirmCalls{exchange: x, olderThan: resp.sent.began}
	proof, err := calls.repeatInTime()
	f := Fields{"id": x.request.id, "upstream": x.upstream.ID, "born": x.upstream.StartedAt, "service": x.service, "took_ms": time.Since(began).Milliseconds()}
	if err != nil {
		f["error"] = err.Error()
		x.relay.stats.count(endsNotConfirmed)
		x.relay.cfg.Log.Event("run", "end not confirmed", f)
		return err
	}
	f["by"] = proof
	x.relay.stats.count(endsConfirmed)
	x.relay.cfg.Log.Event("run", "end confirmed", f)
	return nil
}

// awaitCallAllowed waits for the end of a pause that the upstream has asked for: that it wants no calls meanwhile does
// not say that its responses have broken off.
func (x *exchange) awaitCallAllowed() {
	for x.relay.isPaused(x.upstream.Incarnation()) && x.ctx.Err() == nil {
		sleep(x.ctx, endConfirmInterval)
	}
}

// confirmCalls are the calls that find out whether the upstream of a run still runs.
type confirmCalls struct {
	*exchange
	olderThan time.Time // connections opened before this lead to the process that wrote the response, or an earlier one
}

// repeatInTime is repeat for endConfirmTimeout. It begins again, up to maxStandstills times, if the process stood still at
// the end of that: answers may have arrived meanwhile, at connections that have timed out.
func (q *confirmCalls) repeatInTime() (proof string, err error) {
	for standstills := 0; ; standstills++ {
		deadline := time.Now().Add(endConfirmTimeout)
		ctx, cancel := context.WithDeadline(q.ctx, deadline)
		proof, err = q.repeat(ctx)
		cancel()
		if err == nil || errors.Is(err, errUpstreamEnded) || q.ctx.Err() != nil || time.Since(deadline) < minStandstill || standstills == maxStandstills {
			return proof, err
		}
	}
}

// repeat asks until there is proof, the upstream is found to have ended, or ctx ends.
func (q *confirmCalls) repeat(ctx context.Context) (proof string, err error) {
	for ctx.Err() == nil {
		proof, err = q.ask(ctx)
		switch {
		case err == nil:
			return proof, nil
		case errors.Is(err, errUpstreamEnded), errors.Is(err, syscall.ECONNREFUSED):
			return "", errUpstreamEnded
		}
		sleep(ctx, endConfirmInterval)
	}
	return "", errEndUnconfirmed
}

// ask asks once, on a new connection: a process that is about to end has closed its listener, but may answer on
// connections that it has not closed yet. It has to state its start or its ID, or to answer on a connection that
// it had accepted before as well, as another one may listen at its address already.
func (q *confirmCalls) ask(ctx context.Context) (proof string, err error) {
	if q.relay.isPaused(q.upstream.Incarnation()) {
		return "", errNotAccepting
	}
	open := q.relay.conns.connectInPlace
	started, err := q.askStart(ctx, open)
	if err != nil {
		return "", err
	}
	if started != 0 && q.upstream.StartedAt != 0 {
		return proofStart, q.same(started == q.upstream.StartedAt)
	}
	if _, err := q.askStart(ctx, q.openOlder); err == nil {
		return proofOlderConn, nil
	}
	if s := q.doc.Service(q.service); s != nil && s.HealthPath != "" {
		return q.askInstance(ctx, open, s.HealthPath)
	}
	return proofAnswer, nil
}

// askInstance asks the upstream for its ID.
func (q *confirmCalls) askInstance(ctx context.Context, open openFunc, path string) (proof string, err error) {
	health, err := q.call(ctx, open, UpstreamCall{Method: fasthttp.MethodGet, Path: path})
	if err == nil && health.instance == "" {
		err = errEndUnconfirmed // it had no room for the call
	}
	if err != nil {
		return "", err
	}
	return proofInstance, q.same(health.instance == q.upstream.ID)
}

// same returns the error for a process that is not the one that closed the connection.
func (q *confirmCalls) same(isSame bool) error {
	if !isSame {
		return errUpstreamEnded
	}
	return nil
}

// askStart asks for the start that the upstream states in its reports, in Unix ms; 0: it states none.
func (q *confirmCalls) askStart(ctx context.Context, open openFunc) (int64, error) {
	resp, err := q.call(ctx, open, q.relay.cfg.Protocol.ReportCall())
	if err != nil {
		return 0, err
	}
	report, _ := q.relay.cfg.Protocol.ParseReport(resp.status, resp.body, q.request.id)
	return report.StartedAt, nil
}

// call makes a call on a connection that open returns.
func (q *confirmCalls) call(ctx context.Context, open openFunc, call UpstreamCall) (callResponse, error) {
	return q.relay.callUpstreamOn(ctx, open, q.upstream, q.service, call)
}

// errNoOlderConn reports that no idle connection is old enough.
var errNoOlderConn = &Error{Op: "connect", Kind: KindExhausted}

// openOlder returns an idle connection that was opened before the request was sent.
func (q *confirmCalls) openOlder(_ context.Context, u balance.Upstream, _ string) (*conn, error) {
	if c := q.relay.conns.reuseOlder(u, q.olderThan); c != nil {
		return c, nil
	}
	return nil, errNoOlderConn
}
