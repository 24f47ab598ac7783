package relay

// This file defines a request that was admitted: what is known of it, how its caller
// is answered, and its line in the log. The invariants: it has one final answer; and
// everything it holds is given back in close.

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// exchange is one request under way.
type exchange struct {
	relay       *Relay
	request     *request
	doc         *route.Document
	route       *route.Route
	customer    *route.Customer
	service     string
	urgency     int           // 0 is the most urgent
	contentHash atomic.Uint64 // what it is apart from its id; 0: not worked out yet
	arrived     time.Time
	deadline    time.Time // when it is given up, by the steady clock
	// What the machine was suspended for before it came, a time.Duration.
	suspendedBefore int64

	ctx        context.Context
	cancel     context.CancelFunc
	watch      *disconnectWatch
	caller     *callerConn // nil where its connection is none of the box's callers'
	detachConn func() bool // undoes the closing of the current connection by ctx

	triedInstances []balance.Incarnation // upstreams it was sent to, or that could not be reached
	runsSent       int                   // runs begun
	unreachable    int                   // upstreams that could not be reached
	retryPaid      bool                  // its next run has been taken from the retry budget
	mayHaveRun     bool                  // a run may have happened
	runsCut        int                   // runs under which the upstream closed or reset the connection
	refusalStatus  int                   // status of the last refusal by an upstream
	replacement    string                // id of the upstream that gave it, where that is not the one meant
	ticket         *balance.Ticket
	upstream       balance.Upstream
	fetchOffered   bool          // its upstream was told of another that keeps the prompt
	prefixCached   bool          // its upstream was thought to keep the prompt's shared part
	backlog        int           // prompt tokens that were to be read before its own
	tooLate        bool          // it would have been served too late
	allLimited     bool          // all upstreams that are left take no more
	tooLarge       bool          // no upstream's memory holds it
	cameBack       bool          // it has come back after a refusal, as far as its time left shows
	retryAfter     time.Duration // when to come back, where that was worked out; 0: not
	pausedFor      time.Duration // until an upstream may take it after a pause; 0: no pause is why none does
	pauseWaited    time.Duration // for ends of pauses

	move      *move     // under way
	moved     bool      // it has gone on elsewhere
	checkedAt time.Time // when it was last looked at whether it should

	waits       atomic.Pointer[wait] // for the upstream's next bytes; nil: it waits for none
	silent      atomic.Bool          // its connection was ended as a silent one
	eventsBegan atomic.Bool          // events of it have come
	withheldRun atomic.Bool          // its run was ended since it is withheld

	response         *response       // of the last run that brought one
	failure          *failedResponse // the last one of an upstream
	events           *eventReader    // of a stream; nil until one was answered
	pendingEvents    []byte          // events on their way to the caller
	firstEventsAfter time.Duration   // from its arrival to the first events
	pace             pace            // of its events
	outcome          string          // how it ended, as the log says; empty while it is under way
}

// serve runs the request and answers the caller.
func (x *exchange) serve(ctx *fasthttp.RequestCtx) {
	r := x.relay
	r.stats.open.Add(1)
	r.mu.Lock()
	r.budgets.Of(x.service).Take(r.now())
	r.mu.Unlock()
	x.ctx, x.cancel = context.WithDeadline(context.Background(), x.deadline)
	x.watch = watchDisconnect(ctx.Conn(), x.cancel)
	if x.route.Repeat == route.Stream || len(x.request.body) > asyncBodyBytes {
		// It may still be sent when the handler has returned, and with it the server's
		// buffer: a stream goes on, an answer comes before a large body has gone out.
		x.request.body = ctx.Request.SwapBody(nil)
	}
	body, no := x.runUntilAnswered()
	switch {
	case no != nil:
		x.endWithRefusal(ctx, *no)
	case x.events != nil:
		x.copyHeaders(ctx)
		ctx.Response.SetBodyStream(x, lengthChunked) // its end calls Close
	default:
		x.copyHeaders(ctx)
		ctx.Response.SetBodyRaw(body)
		x.outcome = "answered"
		x.close()
	}
}

// endWithRefusal ends a request that no upstream answered, with a final answer of the box's own.
func (x *exchange) endWithRefusal(ctx *fasthttp.RequestCtx, no refusal) {
	x.outcome = no.reason
	if x.watch.disconnected.Load() {
		ctx.SetConnectionClose()
	}
	x.relay.sendRefusal(ctx, x.request, no)
	x.close()
}

// copyHeaders gives the upstream's head to the caller.
func (x *exchange) copyHeaders(ctx *fasthttp.RequestCtx) {
	out := &ctx.Response.Header
	if x.relay.stopping.Load() {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(x.response.header.StatusCode())
	out.SetNoDefaultContentType(true)
	for name, value := range x.response.header.All() {
		if !containsHeader(hopByHopHeaders, name) {
			out.AddBytesKV(name, value)
		}
	}
}

// close gives back what the exchange holds and writes its line.
func (x *exchange) close() {
	r := x.relay
	x.closeTicket(balance.Neutral)
	x.watch.stop()
	x.cancel()
	r.stats.open.Add(-1)
	r.stats.count("requests_" + x.outcome)
	r.stats.latency("first_ms_"+x.route.Name, x.firstEventsAfter)
	r.cfg.Log.Event("request", x.outcome, x.logFields())
}

// logFields are what the line about the request tells.
func (x *exchange) logFields() Fields {
	f := Fields{"id": x.request.id, "route": x.route.Name, "upstream": x.upstream.ID, "runs": x.runsSent, "unreachable": x.unreachable,
		"left_ms": x.timeLeft().Milliseconds(), "urgency": x.urgency, "first_ms": x.firstEventsAfter.Milliseconds(), "total_ms": time.Since(x.arrived).Milliseconds(),
		"version": x.doc.Version, "age_ms": x.relay.age().Milliseconds(), "kept": x.prefixCached, "fetched": x.fetchOffered, "come_back_ms": x.retryAfter.Milliseconds(),
		"ahead": x.backlog, "loads_age_ms": x.relay.members.loadsAge().Milliseconds()}
	if x.route.Target > 0 {
		f["target_ms"] = x.route.Target.Milliseconds()
	}
	if x.events != nil {
		f["late_pauses"], f["longest_pause_ms"] = x.pace.late, x.pace.longest.Milliseconds()
		f["events"], f["expected_tokens"] = x.events.total, x.request.prompt.Expected
	}
	if x.pauseWaited > 0 {
		f["waited_ms"] = x.pauseWaited.Milliseconds()
	}
	if x.moved {
		f["moved"] = true
	}
	if x.cameBack {
		f["came_back"] = true
	}
	if x.customer != nil {
		f["customer"] = x.customer.Name
	}
	if x.runsCut > 0 {
		f["cut_off"], f["content"] = x.runsCut, contentName(x.contentOf())
	}
	if x.response != nil {
		f["status"] = x.response.header.StatusCode()
	}
	return f
}
