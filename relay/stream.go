package relay

// This file defines how a stream goes to the caller, and how it goes on at another
// upstream when its run breaks off. The invariant: the caller sees one head and each
// event once; a stream that did not come to its end ends by closing the connection.

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

// isStream reports whether an answer is a stream of events.
func (x *exchange) isStream(a *answer) bool {
	return x.route.Repeat == route.Stream && a.header.StatusCode() == fasthttp.StatusOK &&
		bytes.HasPrefix(a.header.ContentType(), []byte("text/event-stream"))
}

// acceptStream waits for the first events of a stream, so that a run that fails
// before them can still be answered otherwise.
func (x *exchange) acceptStream(a *answer) (runState, []byte, error) {
	e := &events{src: a.body, keep: x.chargeAnswer}
	if x.events != nil {
		e = x.events
		e.from(a.body)
	}
	x.startReadWait(nil)
	pending, err := e.next()
	x.endReadWait()
	if err != nil && !errors.Is(err, io.EOF) {
		x.release()
		x.relay.conns.discard(a.conn)
		return runUnknown, nil, err
	}
	if x.first == 0 {
		x.first = time.Since(x.arrived)
	}
	x.pace.events(time.Now(), x.route.EventGap)
	x.relay.mu.Lock()
	x.ticket.First(x.relay.now())
	x.relay.wakeWaiting(x.service)
	x.relay.mu.Unlock()
	wake(x.relay.members.loadsChanged)
	x.begun.Store(true)
	x.answer, x.events, x.pending = a, e, pending
	return runAnswered, nil, nil
}

// Read gives the caller's side what comes next of the stream.
func (x *exchange) Read(p []byte) (int, error) {
	for len(x.pending) == 0 {
		x.startReadWait(nil)
		pending, err := x.events.next()
		x.endReadWait()
		x.pending = pending
		if len(pending) > 0 {
			x.pace.events(time.Now(), x.route.EventGap)
			x.lookAtAnswer()
		}
		if errors.Is(err, io.EOF) {
			x.endRun(true, balance.Answered)
			x.outcome = "answered"
			return 0, io.EOF
		}
		if err != nil && !x.goOnMoved() && !x.goOn(err) {
			return 0, err
		}
	}
	n := copy(p, x.pending)
	x.pending = x.pending[n:]
	return n, nil
}

// endRun gives the connection of the current run back.
func (x *exchange) endRun(whole bool, o balance.Outcome) {
	if x.answer == nil || x.answer.conn == nil {
		return
	}
	if !x.release() {
		whole = false // ctx has closed it
	}
	x.relay.finish(x.answer, whole)
	x.answer.conn = nil
	x.measure(o == balance.Answered)
	x.settle(o)
}

// outcomeOfBreak says what a stream that broke off tells about its upstream: nothing where
// its caller left, this box was short of memory, or the connection fell silent.
func (x *exchange) outcomeOfBreak(cause error) balance.Outcome {
	if x.watch.gone.Load() || errors.Is(cause, errMemoryShort) || errors.Is(cause, errSilent) {
		return balance.Neutral
	}
	if isBreak(cause) {
		return balance.Broken
	}
	return balance.Failed
}

// goOn takes a stream up at another upstream after its run broke off.
func (x *exchange) goOn(cause error) bool {
	head := x.answer
	if x.silent.Load() {
		cause = errSilent
	}
	x.endRun(false, x.outcomeOfBreak(cause))
	x.failed(runUnknown, cause)
	for x.route.Resumable && x.events.seen && !x.relay.cfg.Off[balance.Resuming] && x.mayRunAgain(runUnknown) {
		choice, ok := x.place()
		if !ok {
			return false
		}
		if state, _ := x.runOn(choice); state == runAnswered && x.answer != head {
			x.relay.stats.count("streams_resumed")
			return true
		}
	}
	return false
}

// Close ends the exchange; the caller's side calls it in any case.
func (x *exchange) Close() error {
	if x.outcome == "" {
		x.outcome = "broken off"
		if x.watch.gone.Load() {
			x.outcome = callerLeft
		}
		if x.caller != nil && x.caller.cut.Load() {
			x.outcome = "caller does not read"
		}
	}
	x.endRun(false, balance.Neutral)
	if x.move != nil {
		x.relay.closeAside(x.move)
		x.relay.giveUpCopy(x.move, x.request.id, x.service)
	}
	x.close()
	return nil
}

// measure tells the fleet how fast the events of the current run came.
func (x *exchange) measure(whole bool) {
	if x.events == nil || x.ticket == nil {
		return
	}
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.ticket.Events(x.relay.now(), x.events.came, x.events.total, whole)
}
