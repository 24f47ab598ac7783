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

// attachConn notes the connection on which the request runs; release undoes it.
func (x *exchange) attachConn(c *conn) {
	r := x.relay
	x.silent.Store(false)
	r.mu.Lock()
	r.runConns[x] = c
	x.cancelAtDeadline()
	r.mu.Unlock()
	stop := context.AfterFunc(x.ctx, func() { _ = c.Close() })
	x.detachConn = func() bool {
		r.mu.Lock()
		delete(r.runConns, x)
		r.mu.Unlock()
		return stop()
	}
}

// attempt runs the request on the upstream it was placed at. An answer is only returned
// with runAnswered. The exchange's ctx ends when the caller leaves or its time is over,
// which closes the connection under whoever reads from it.
func (x *exchange) attempt(o outgoing) (runState, *response, error) {
	r := x.relay
	open := r.conns.get
	if x.distrusts() {
		open = r.conns.fresh
	}
	c, err := open(x.ctx, x.upstream, x.service)
	if err != nil {
		return runUnsent, nil, err
	}
	if err := x.checkSend(); err != nil {
		r.conns.putBack(c)
		return runUnsent, nil, err
	}
	if !x.spendRetry() {
		r.conns.putBack(c)
		return runUnsent, nil, errBudget
	}
	x.attachConn(c)
	sent := c.send(o)
	x.listen(sent)
	a, err := r.readResponse(c, o.id, sent)
	x.heard()
	if err != nil {
		x.detachConn()
		r.conns.drop(c)
		return runUnknown, nil, err
	}
	if !r.saysNotRun(&a.header) {
		return runAnswered, a, nil
	}
	x.detachConn()
	_, err = io.Copy(io.Discard, a.body)
	r.releaseConn(a, err == nil)
	x.refusalStatus = a.header.StatusCode()
	x.replacement, err = r.replacedBy(&a.header, x.upstream.ID)
	return runRefused, nil, err
}

// checkSend says why the run may no longer be sent, now that it has a connection; nil where it may.
func (x *exchange) checkSend() error {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.fleet.Accepts(r.now(), x.upstream.Incarnation()):
		return errNotAccepting
	case x.ticket != nil && !x.ticket.MayGo(r.now()):
		return errLimit
	}
	return nil
}

// rejectsRequests reports whether an upstream takes no request from this box now.
func (r *Relay) rejectsRequests(u balance.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.fleet.Accepts(r.now(), u.Incarnation()) || r.fleet.LimitExhausted(r.now(), u.ID)
}

// What an upstream came to say while the request waited for a connection.
var (
	errNotAccepting = &Error{Op: "run", Kind: KindExhausted}   // it is leaving, or asks for a pause
	errLimit        = &Error{Op: "limit", Kind: KindExhausted} // it names a limit
)

// errReplaced says that another start of an upstream has its address now.
var errReplaced = &Error{Op: "run", Kind: KindReplaced}

// replacedBy says what an upstream's refusal tells besides: the id of the upstream that has the
// address now; no error where that is the one that was meant, or not told.
func (r *Relay) replacedBy(h *fasthttp.ResponseHeader, meant string) (id string, err error) {
	started := headerValue(h, r.cfg.Protocol.CurrentInstance)
	if h.StatusCode() == fasthttp.StatusMisdirectedRequest && started != "" && started != meant {
		return started, errReplaced
	}
	return "", nil
}
