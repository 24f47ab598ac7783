package relay

// This file defines how a stream is forwarded to the caller, and how it is resumed on another upstream
// when its run fails. The invariant: the caller gets one header and each event once; a stream that did
// not reach its end is ended by closing the connection.

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

var _ io.ReadCloser = (*exchange)(nil)

func formatID(id int64) string { return strconv.FormatInt(id, 10) }

// isStream reports whether a response is a stream of events.
func (x *exchange) isStream(resp *response) bool {
	media, _, _ := bytes.Cut(resp.header.ContentType(), []byte(";"))
	return x.route.Repeat == route.Stream && resp.header.StatusCode() == fasthttp.StatusOK &&
		bytes.EqualFold(bytes.TrimSpace(media), []byte("text/event-stream"))
}

// acceptStream waits for the first events of a stream, so that a run that fails before them can still
// be answered otherwise.
func (x *exchange) acceptStream(resp *response) (runState, []byte, error) {
	e := x.newEventReader(resp.body)
	if x.events != nil {
		e = x.events
		e.continueWith(resp.body)
	}
	x.startReadWait(nil)
	pending, err := e.next()
	x.endReadWait()
	isJudgedByCall := e.hasEvents && x.needsConfirmation(resp)
	if errors.Is(err, io.EOF) && !resp.hasFraming() && !isJudgedByCall {
		err = io.ErrUnexpectedEOF // no event, and nothing says that there are none
	}
	if err != nil && !errors.Is(err, io.EOF) {
		x.detachConn()
		x.relay.conns.discard(resp.conn)
		return runUnknown, nil, err
	}
	x.answeringSince, x.survived = time.Now(), false
	if x.firstEventsAfter == 0 {
		x.firstEventsAfter = time.Since(x.arrived)
	}
	x.pace.observe(time.Now(), x.route.EventGap)
	x.relay.mu.Lock()
	x.ticket.NoteFirstEvent(x.relay.now())
	over := x.relay.fleet.PausesOver()
	x.relay.wakeReady(x.service)
	x.relay.mu.Unlock()
	x.relay.logPausesEnded(over)
	wake(x.relay.members.loadsChanged)
	isFirst := !x.eventsBegan.Swap(true)
	x.response, x.events, x.pendingEvents = resp, e, pending
	if isFirst {
		x.noteOrigin()
	}
	return runAnswered, nil, nil
}

// Read returns the next bytes of the stream for the caller.
func (x *exchange) Read(p []byte) (int, error) {
	for len(x.pendingEvents) == 0 {
		x.startReadWait(nil)
		pending, err := x.events.next()
		x.endReadWait()
		x.pendingEvents = pending
		if len(pending) > 0 {
			x.pace.observe(time.Now(), x.route.EventGap)
			x.checkProgress()
		}
		if err == nil {
			continue
		}
		if err = x.finishRun(err); err != nil {
			return 0, err
		}
	}
	n := copy(p, x.pendingEvents)
	x.pendingEvents = x.pendingEvents[n:]
	return n, nil
}

// endRun releases the connection of the current run and reports its outcome.
func (x *exchange) endRun(whole bool, o balance.Outcome) {
	x.releaseRunConn(whole)
	x.reportPace(o == balance.Answered)
	x.closeTicket(o)
}

// releaseRunConn releases the connection of the current run, unless that was done before.
func (x *exchange) releaseRunConn(whole bool) {
	if x.response == nil || x.response.conn == nil {
		return
	}
	if !x.detachConn() {
		whole = false // ctx has closed the connection
	}
	x.relay.releaseConn(x.response, whole)
	x.response.conn = nil
}

// outcomeOfDisconnect returns what an interrupted stream says about its upstream: nothing if the
// caller disconnected, this box lacked memory or stopped the run, the connection was silent, or it led
// through another box and was lost there.
func (x *exchange) outcomeOfDisconnect(cause error) balance.Outcome {
	if errors.Is(cause, errRunStopped) || errors.Is(cause, errEndUnconfirmed) || x.watch.disconnected.Load() || errors.Is(cause, errMemoryShort) || errors.Is(cause, errSilent) || errors.Is(cause, errTunnelLost) {
		return balance.Neutral
	}
	if isConnectionLost(cause) {
		return balance.ConnectionLost
	}
	return balance.Failed
}

// resume continues a stream on another upstream after its run failed.
func (x *exchange) resume(cause error) bool {
	previous := x.response
	if x.silent.Load() {
		cause = errSilent
	}
	x.endRun(false, x.outcomeOfDisconnect(cause))
	x.recordFailure(runUnknown, cause)
	for x.route.Resumable && x.events.hasEvents && !x.relay.cfg.Disabled[balance.Resuming] && x.mayRetry(runUnknown) {
		choice, ok := x.place()
		if !ok && x.mayUseUnverified() {
			continue
		}
		if !ok {
			x.logNotContinued()
			return false
		}
		if state, _ := x.runOn(choice); state == runAnswered && x.response != previous {
			x.noteContinued(wayResumed, *x.origin)
			return true
		}
	}
	return false
}

// Close ends the exchange. The server calls it in any case.
func (x *exchange) Close() error {
	if x.outcome == "" {
		x.outcome = "broken off"
		if x.watch.disconnected.Load() {
			x.outcome = callerLeft
		}
		if x.caller != nil && x.caller.aborted.Load() {
			x.outcome = "caller does not read"
		}
	}
	x.endRun(false, balance.Neutral)
	if x.move != nil {
		x.relay.cancelRetry(x.move.retry)
		x.relay.closeReservation(x.move)
		x.relay.freeCopy(x.move, x.request.id, x.service)
	}
	x.close()
	return nil
}

// reportPace reports to the fleet how fast the events of the current run arrived.
func (x *exchange) reportPace(whole bool) {
	if x.events == nil || x.ticket == nil {
		return
	}
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.ticket.NoteAnswer(x.relay.now(), x.events.bodyEvents, x.events.total, whole)
}
