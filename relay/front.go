package relay

// This file defines the callers' side: the servers that take requests and readiness
// checks, and what becomes of bytes that are no request. The invariant: nothing that
// a caller sends takes more memory or time than the bounds below, nor all of it
// together more than the account allows.

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// The most bytes that are read of a request's head and of its body; where the
	// document bounds bodies more narrowly, admit refuses what is longer.
	headerBytes = 64 << 10
	bodyBytes   = 16 << 20
	// readWait is the longest a caller may take over a request's body, and over its head
	// where the document says nothing.
	readWait = 10 * time.Second
	// idleWait is how long a caller's connection may rest where the document says nothing.
	idleWait = 75 * time.Second
)

// front serves callers and the balancer's readiness checks.
type front struct {
	relay  *Relay
	server *fasthttp.Server
	ready  *fasthttp.Server
}

func newFront(r *Relay) *front {
	f := &front{relay: r}
	f.server = &fasthttp.Server{
		Handler:                       f.handle,
		ErrorHandler:                  f.malformed,
		ExpectHandler:                 f.expected,
		ReadBufferSize:                headerBytes,
		WriteBufferSize:               readBufferSize,
		MaxRequestBodySize:            bodyBytes,
		ReadTimeout:                   readWait,
		IdleTimeout:                   idleWait,
		ReduceMemoryUsage:             true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		CloseOnShutdown:               true,
		Logger:                        silent{},
	}
	f.ready = &fasthttp.Server{Handler: f.handleReady, NoDefaultServerHeader: true, ReduceMemoryUsage: true, Logger: silent{}}
	return f
}

// silent keeps fasthttp's own log lines away: the process has one log.
type silent struct{}

var _ fasthttp.Logger = silent{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

func (f *front) serve(l net.Listener) {
	setCallerBuffers(l)
	_ = f.server.Serve(callers{l, f.relay})
}

func (f *front) serveReady(l net.Listener) { _ = f.ready.Serve(l) }

// close takes no more connections, closes those that rest, and waits for the others
// until ctx ends.
func (f *front) close(ctx context.Context) error {
	err := f.server.ShutdownWithContext(ctx)
	if closeErr := f.relay.cfg.Ready.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (f *front) handleReady(ctx *fasthttp.RequestCtx) {
	if !f.relay.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// expected decides whether a body is asked for that its caller holds back until then.
func (f *front) expected(ctx *fasthttp.RequestCtx) int {
	if c := callerOf(ctx); c != nil && c.broken != nil {
		f.turnAway(ctx, c)
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusContinue
}

// turnAway answers a request that there is no memory for, and ends its connection.
func (f *front) turnAway(ctx *fasthttp.RequestCtx, c *caller) {
	f.relay.turnedAway(c.request, "request")
	ctx.SetConnectionClose()
	f.relay.answerSelf(ctx, &request{id: c.request}, refusal{fasthttp.StatusServiceUnavailable, memoryShortReason, comeBackUsual})
}

// malformed answers what could not be read as a request.
func (f *front) malformed(ctx *fasthttp.RequestCtx, err error) {
	if c := callerOf(ctx); c != nil && errors.Is(c.broken, errMemoryShort) {
		f.turnAway(ctx, c)
		return
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
	f.relay.cfg.Log.Event("request", "malformed", Fields{"status": status, "error": err.Error()})
	ctx.SetConnectionClose()
	refuse(ctx, refusal{status: status, reason: "the request cannot be read"})
}
