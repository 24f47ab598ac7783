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
	relay    *Relay
	request  *request
	doc      *route.Document
	route    *route.Route
	customer *route.Customer
	service  string
	urgency  int           // 0 is the most urgent
	content  atomic.Uint64 // what it is apart from its id; 0: not worked out yet
	arrived  time.Time
	end      time.Time // when it is given up, by the steady clock
	// What the machine was suspended for before it came, a time.Duration.
	sleptBefore int64

	ctx     context.Context
	cancel  context.CancelFunc
	watch   *leaveWatch
	caller  *caller     // nil where its connection is none of the box's callers'
	release func() bool // undoes the closing of the current connection by ctx

	tried         []balance.Incarnation // upstreams it was sent to, or that could not be reached
	sent          int                   // runs begun
	unsent        int                   // upstreams that could not be reached
	paid          bool                  // its next run has been taken from the retry budget
	mayHave       bool                  // a run may have happened
	disconnects   int                   // runs under which the upstream closed or reset the connection
	refusalStatus int                   // status of the last refusal by an upstream
	instead       string                // id of the upstream that gave it, where that is not the one meant
	ticket        *balance.Ticket
	upstream      balance.Upstream
	fetched       bool          // its upstream was told of another that keeps the prompt
	kept          bool          // its upstream was thought to keep the prompt's shared part
	ahead         int           // prompt tokens that were to be read before its own
	late          bool          // it would have been served too late
	limited       bool          // all upstreams that are left take no more
	tooLarge      bool          // no upstream's memory holds it
	again         bool          // it has come back after a refusal, as far as its time left shows
	comeBack      time.Duration // when to come back, where that was worked out; 0: not
	paused        time.Duration // until an upstream may take it after a pause; 0: no pause is why none does
	waited        time.Duration // for ends of pauses

	move     *move     // under way
	moved    bool      // it has gone on elsewhere
	lookedAt time.Time // when it was last looked at whether it should

	wait     atomic.Pointer[upstreamWait] // for the upstream's next bytes; nil: it waits for none
	silent   atomic.Bool                  // its connection was ended as a silent one
	begun    atomic.Bool                  // events of it have come
	withheld atomic.Bool                  // its run was ended since it is withheld

	answer  *answer       // of the last run that brought one
	failure *wholeFailure // the last one of an upstream
	events  *events       // of a stream; nil until one was answered
	pending []byte        // events on their way to the caller
	first   time.Duration // from its arrival to the first events
	pace    pace          // of its events
	outcome string        // how it ended, as the log says; empty while it is under way
}

// serve runs the request and answers the caller.
func (x *exchange) serve(ctx *fasthttp.RequestCtx) {
	r := x.relay
	r.stats.openRequests.Add(1)
	r.mu.Lock()
	r.budgets.Of(x.service).Take(r.now())
	r.mu.Unlock()
	x.ctx, x.cancel = context.WithDeadline(context.Background(), x.end)
	x.watch = watchLeave(ctx.Conn(), x.cancel)
	if x.route.Repeat == route.Stream || len(x.request.body) > largeBody {
		// It may still be sent when the handler has returned, and with it the server's
		// buffer: a stream goes on, an answer comes before a large body has gone out.
		x.request.body = ctx.Request.SwapBody(nil)
	}
	body, no := x.run()
	switch {
	case no != nil:
		x.endWith(ctx, *no)
	case x.events != nil:
		x.copyHead(ctx)
		ctx.Response.SetBodyStream(x, lengthChunked) // its end calls Close
	default:
		x.copyHead(ctx)
		ctx.Response.SetBodyRaw(body)
		x.outcome = "answered"
		x.close()
	}
}

// endWith ends a request that no upstream answered, with a final answer of the box's own.
func (x *exchange) endWith(ctx *fasthttp.RequestCtx, no refusal) {
	x.outcome = no.reason
	if x.watch.gone.Load() {
		ctx.SetConnectionClose()
	}
	x.relay.answerSelf(ctx, x.request, no)
	x.close()
}

// copyHead gives the upstream's head to the caller.
func (x *exchange) copyHead(ctx *fasthttp.RequestCtx) {
	out := &ctx.Response.Header
	if x.relay.stopping.Load() {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(x.answer.header.StatusCode())
	out.SetNoDefaultContentType(true)
	for name, value := range x.answer.header.All() {
		if !namedIn(hopHeaders, name) {
			out.AddBytesKV(name, value)
		}
	}
}

// close gives back what the exchange holds and writes its line.
func (x *exchange) close() {
	r := x.relay
	x.settle(balance.Neutral)
	x.watch.stop()
	x.cancel()
	r.stats.openRequests.Add(-1)
	r.stats.count("requests_" + x.outcome)
	r.stats.latency("first_ms_"+x.route.Name, x.first)
	r.cfg.Log.Event("request", x.outcome, x.fields())
}

// fields are what the line about the request tells.
func (x *exchange) fields() Fields {
	f := Fields{"id": x.request.id, "route": x.route.Name, "upstream": x.upstream.ID, "runs": x.sent, "unreachable": x.unsent,
		"left_ms": x.left().Milliseconds(), "urgency": x.urgency, "first_ms": x.first.Milliseconds(), "total_ms": time.Since(x.arrived).Milliseconds(),
		"version": x.doc.Version, "age_ms": x.relay.publishedAge().Milliseconds(), "kept": x.kept, "fetched": x.fetched, "come_back_ms": x.comeBack.Milliseconds(),
		"ahead": x.ahead, "loads_age_ms": x.relay.members.loadsAge().Milliseconds()}
	if x.route.Target > 0 {
		f["target_ms"] = x.route.Target.Milliseconds()
	}
	if x.events != nil {
		f["late_pauses"], f["longest_pause_ms"] = x.pace.late, x.pace.longest.Milliseconds()
		f["events"], f["expected_tokens"] = x.events.total, x.request.prompt.Expected
	}
	if x.waited > 0 {
		f["waited_ms"] = x.waited.Milliseconds()
	}
	if x.moved {
		f["moved"] = true
	}
	if x.again {
		f["came_back"] = true
	}
	if x.customer != nil {
		f["customer"] = x.customer.Name
	}
	if x.disconnects > 0 {
		f["cut_off"], f["content"] = x.disconnects, formatContentHash(x.contentHash())
	}
	if x.answer != nil {
		f["status"] = x.answer.header.StatusCode()
	}
	return f
}
