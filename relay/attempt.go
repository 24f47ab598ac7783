package relay

// This file defines one run of a request on one upstream: it is sent, and the head
// of its answer is read. The invariant: once a byte may have left, only the
// upstream's own word makes the run count as one that did not happen.

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

// runState is how far a run came.
type runState uint8

const (
	runUnsent   runState = iota // no byte left
	runRefused                  // the upstream says that it did not run it
	runUnknown                  // it may have run, and there is no answer
	runAnswered                 // there is an answer
)

// hold notes the connection on which the request runs; release undoes it.
func (x *exchange) hold(c *conn) {
	r := x.relay
	x.silent.Store(false)
	r.mu.Lock()
	r.runs[x] = c
	x.endInTime()
	r.mu.Unlock()
	stop := context.AfterFunc(x.ctx, func() { _ = c.Close() })
	x.release = func() bool {
		r.mu.Lock()
		delete(r.runs, x)
		r.mu.Unlock()
		return stop()
	}
}

// attempt runs the request on the upstream it was placed at. An answer is only returned
// with runAnswered. The exchange's ctx ends when the caller leaves or its time is over,
// which closes the connection under whoever reads from it.
func (x *exchange) attempt(o outgoing) (runState, *answer, error) {
	r := x.relay
	open := r.conns.get
	if x.needsNewConn() {
		open = r.conns.openNew
	}
	c, err := open(x.ctx, x.upstream, x.service)
	if err != nil {
		return runUnsent, nil, err
	}
	if err := x.mayGo(); err != nil {
		r.conns.putUnused(c)
		return runUnsent, nil, err
	}
	if !x.spendRetry() {
		r.conns.putUnused(c)
		return runUnsent, nil, errBudget
	}
	x.hold(c)
	sent := c.send(o)
	x.startReadWait(sent)
	a, err := r.readAnswer(c, o.id, sent)
	x.endReadWait()
	if err != nil {
		x.release()
		r.conns.discard(c)
		return runUnknown, nil, err
	}
	if !r.notRun(&a.header) {
		return runAnswered, a, nil
	}
	x.release()
	_, err = io.Copy(io.Discard, a.body)
	r.finish(a, err == nil)
	x.refusalStatus = a.header.StatusCode()
	x.instead, err = r.whyRefused(&a.header, x.upstream.ID)
	return runRefused, nil, err
}

// mayGo says why the run may no longer be sent, now that it has a connection; nil where it may.
func (x *exchange) mayGo() error {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.fleet.Accepts(r.now(), x.upstream.Incarnation()):
		return errTakesNone
	case x.ticket != nil && !x.ticket.MayGo(r.now()):
		return errLimit
	}
	return nil
}

// takesNone reports whether an upstream takes no request from this box now.
func (r *Relay) takesNone(u balance.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.fleet.Accepts(r.now(), u.Incarnation()) || r.fleet.TakesNoMore(r.now(), u.ID)
}

// What an upstream came to say while the request waited for a connection.
var (
	errTakesNone = &Error{Op: "run", Kind: KindFull}   // it is leaving, or asks for a pause
	errLimit     = &Error{Op: "limit", Kind: KindFull} // it names a limit
)

// errReplaced says that another start of an upstream has its address now.
var errReplaced = &Error{Op: "run", Kind: KindReplaced}

// whyRefused says what an upstream's refusal tells besides: the id of the upstream that has the
// address now; no error where that is the one that was meant, or not told.
func (r *Relay) whyRefused(h *fasthttp.ResponseHeader, meant string) (id string, err error) {
	started := headerValue(h, r.cfg.Protocol.CurrentInstance)
	if h.StatusCode() == fasthttp.StatusMisdirectedRequest && started != "" && started != meant {
		return started, errReplaced
	}
	return "", nil
}
