package relay

// This file defines one run of a request on one upstream: sending it and reading the header of the
// response. The invariant: once a byte may have been sent, the run counts as not executed only if the
// upstream says so.

import (
	"bytes"
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

// runState is the state in which a run ended.
type runState uint8

const (
	runUnsent   runState = iota // no byte was sent
	runRefused                  // the upstream states that it did not run the request
	runUnknown                  // it may have run, and there is no response
	runAnswered                 // there is a response
)

// attachConn registers the connection on which the request runs; detachConn undoes it.
func (x *exchange) attachConn(c *conn) {
	r := x.relay
	x.silent.Store(false)
	r.mu.Lock()
	c.unacked = unackedCheck{}
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

// attempt runs the request on the chosen upstream. It returns a response only with runAnswered. The
// exchange's ctx ends when the caller disconnects or the deadline passes, which closes the connection
// and so ends any read from it.
func (x *exchange) attempt(o outgoingRequest) (runState, *response, error) {
	r := x.relay
	open := r.conns.get
	switch {
	case x.throughOther:
		open = r.openThroughOther
	case x.needsNewConn():
		open = r.conns.openNew
	}
	if o.id == "" {
		reuse := open
		open = func(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
			return r.conns.forAnonymous(ctx, u, service, reuse)
		}
	}
	c, err := open(x.ctx, x.upstream, x.service)
	if err != nil {
		return runUnsent, nil, err
	}
	x.notePath(c)
	if err := x.proveSoftware(c); err != nil {
		r.conns.discard(c)
		return runUnsent, nil, err
	}
	if err := x.checkSend(); err != nil {
		r.conns.putUnused(c)
		return runUnsent, nil, err
	}
	if !x.takeRetry() {
		r.conns.putUnused(c)
		return runUnsent, nil, errBudget
	}
	if err := c.limitSend(x.sendTimeout()); err != nil {
		x.cancelUnsent(c)
		return runUnsent, nil, err
	}
	x.attachConn(c)
	c.sentAt.Store(time.Now().UnixNano())
	x.sentAt = r.now()
	sent := c.send(o)
	x.startReadWait(sent)
	resp, err := r.readResponse(c, o.id, sent)
	c.sentAt.Store(0)
	x.endReadWait()
	x.endRetry(sent.began, err)
	if err != nil {
		x.detachConn()
		r.conns.discard(c)
		return runUnknown, nil, err
	}
	if x.request.method == fasthttp.MethodHead {
		resp.body = bytes.NewReader(nil) // whatever the header describes
	}
	if !r.saysNotRun(&resp.header) {
		return runAnswered, resp, nil
	}
	_ = c.SetReadDeadline(time.Now().Add(discardWait)) // the refusal is known
	isWhole := discardBody(resp) == nil
	r.releaseConn(resp, x.detachConn() && isWhole)
	x.refusalStatus = resp.header.StatusCode()
	x.replacement, err = r.replacedBy(&resp.header, x.upstream.ID)
	return runRefused, nil, err
}

// sendTimeout is how long the request may stay unacknowledged.
func (x *exchange) sendTimeout() time.Duration {
	if x.runsSent > 0 {
		return retryTimeout
	}
	return userTimeout
}

// cancelUnsent closes a connection that cannot be used, and returns the retry.
func (x *exchange) cancelUnsent(c *conn) {
	x.relay.cancelRetry(x.retry)
	x.retry = nil
	x.relay.conns.discard(c)
}

// notePath records the path of the run: what it says about the upstream's path concerns this box
// only if the connection is direct.
func (x *exchange) notePath(c *conn) {
	if c.tunnel() == nil || x.ticket == nil {
		return
	}
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.ticket.UseTunnel()
}

// checkSend returns why the run may no longer be sent now that it has a connection; nil if it may.
func (x *exchange) checkSend() error {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case x.withheldForLocked() > 0:
		return errWithheld
	case !r.fleet.Accepts(r.now(), x.upstream.Incarnation()), !r.mayContinueAt(x, x.upstream):
		return errNotAccepting
	case x.ticket != nil && !x.ticket.MaySend(r.now()):
		return errLimit
	}
	return nil
}

// rejectsRequests reports whether an upstream currently accepts no requests from this box.
func (r *Relay) rejectsRequests(u balance.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.fleet.Accepts(r.now(), u.Incarnation()) || r.fleet.LimitExhausted(r.now(), u.ID)
}

// Errors for what an upstream announced while the request waited for a connection.
var (
	errNotAccepting = &Error{Op: "send request", Kind: KindExhausted}              // it is leaving or asks for a pause
	errLimit        = &Error{Op: "send request within limit", Kind: KindExhausted} // it announces a rate limit
)

// errWithheld reports that the request was found to crash upstreams while it waited.
var errWithheld = &Error{Op: "send withheld request", Kind: KindExhausted}

// errReplaced reports that another instance of the upstream has taken over its address.
var errReplaced = &Error{Op: "send request", Kind: KindReplaced}

// replacedBy returns the ID of the upstream that now has the address, with errReplaced, if a refusal
// names another upstream than the intended one; otherwise it returns no error.
func (r *Relay) replacedBy(h *fasthttp.ResponseHeader, addressed string) (id string, err error) {
	started := headerValue(h, r.cfg.Protocol.CurrentInstance)
	if h.StatusCode() == fasthttp.StatusMisdirectedRequest && started != "" && started != addressed {
		return started, errReplaced
	}
	return "", nil
}
