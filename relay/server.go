package relay

// This file defines the servers for callers' requests and for readiness checks, and the responses to
// input that is not a valid request. The invariant: what one caller sends is bounded in memory and
// time by the limits below, and all callers together by the memory account.

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/framing"
)

const (
	// The maximum size of a request's header and of its body in bytes. If the document sets a lower
	// limit for bodies, admit enforces it.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 16 << 20
	// readTimeout is the time a caller has to send a request's body, and its header if the document sets
	// no limit.
	readTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle if the document sets no limit.
	idleTimeout = 75 * time.Second
)

// callerServer serves callers and the load balancer's readiness checks.
type callerServer struct {
	relay   *Relay
	callers *acceptor
	conns   *callerConns
	server  *fasthttp.Server
	served  chan struct{} // closed when no connection is accepted any more
	ready   *fasthttp.Server
}

func newCallerServer(r *Relay) *callerServer {
	f := &callerServer{relay: r, conns: newCallerConns(), served: make(chan struct{}), callers: &acceptor{Listener: r.cfg.CallerListener, relay: r, serves: "callers"}}
	f.server = &fasthttp.Server{
		Handler:                       f.handle,
		ErrorHandler:                  f.handleReadError,
		ExpectHandler:                 f.handleExpect,
		ReadBufferSize:                maxHeaderBytes,
		WriteBufferSize:               readBufferSize,
		MaxRequestBodySize:            maxBodyBytes,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		ReduceMemoryUsage:             true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		Logger:                        noLogger{},
	}
	f.ready = &fasthttp.Server{Handler: f.handleReady, NoDefaultServerHeader: true, ReduceMemoryUsage: true, Logger: noLogger{}}
	return f
}

// noLogger discards fasthttp's own log lines, since the process writes a single log.
type noLogger struct{}

var _ fasthttp.Logger = noLogger{}

// Printf implements fasthttp.Logger.
func (noLogger) Printf(string, ...any) {}

func (f *callerServer) serve() {
	setCallerBuffers(f.callers.Listener)
	defer close(f.served)
	_ = f.server.Serve(callerListener{f.callers, f.relay})
}

func (f *callerServer) serveReady(l net.Listener) {
	_ = f.ready.Serve(&acceptor{Listener: l, relay: f.relay, serves: "readiness checks"})
}

// close stops accepting connections, closes those at rest and waits for the others until ctx ends. It
// does not leave that to the server, which does not know on which connections a request is arriving.
func (f *callerServer) close(ctx context.Context) error {
	err := f.callers.Close()
	select {
	case <-f.served: // the last accepted connection is listed
	case <-ctx.Done():
	}
	f.conns.closeAtRest()
	if waitErr := f.conns.awaitClosed(ctx); err == nil {
		err = waitErr
	}
	if closeErr := f.relay.cfg.ReadinessListener.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (f *callerServer) handleReady(ctx *fasthttp.RequestCtx) {
	if !f.relay.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handleExpect decides on a request with "Expect: 100-continue" whether its caller is to send the
// body.
func (f *callerServer) handleExpect(ctx *fasthttp.RequestCtx) int {
	if c := callerOf(ctx); c != nil && c.readErr != nil {
		f.refuseForMemory(ctx, c)
		return fasthttp.StatusServiceUnavailable
	}
	if err := framing.CheckRequest(&ctx.Request.Header); err != nil {
		f.refuseMalformed(ctx, fasthttp.StatusBadRequest, err)
		return fasthttp.StatusBadRequest
	}
	return fasthttp.StatusContinue
}

// refuseForMemory refuses a request for lack of memory and closes its connection.
func (f *callerServer) refuseForMemory(ctx *fasthttp.RequestCtx, c *callerConn) {
	f.relay.logTurnedAway(c.requestID, "request")
	ctx.SetConnectionClose()
	f.relay.sendRefusal(ctx, &request{id: c.requestID}, refusal{fasthttp.StatusServiceUnavailable, memoryShortReason, defaultRetryAfter})
}

// handleReadError answers input that could not be read as a request.
func (f *callerServer) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	if c := callerOf(ctx); c != nil {
		c.step(callerAnswer)
		if errors.Is(c.readErr, errMemoryShort) {
			f.refuseForMemory(ctx, c)
			return
		}
	}
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	status := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &network) && network.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	f.refuseMalformed(ctx, status, err)
}

// refuseMalformed refuses what is not a valid request and closes its connection.
func (f *callerServer) refuseMalformed(ctx *fasthttp.RequestCtx, status int, err error) {
	f.relay.cfg.Log.Event("request", "malformed", Fields{"status": status, "error": err.Error()})
	ctx.SetConnectionClose()
	writeRefusal(ctx, refusal{status: status, reason: "the request cannot be read"})
}
