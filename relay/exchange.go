package relay

// This file defines an admitted request: its state, how its caller is answered, and its log line. The
// invariants: each request gets exactly one final response, and close releases everything the request
// holds.

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/internal/framing"
	"github.com/doormast/doormast/route"
)

// exchange is an admitted request and its state until it is answered.
type exchange struct {
	relay              *Relay
	request            *request
	doc                *route.Document
	route              *route.Route
	customer           *route.Customer
	service            string
	urgency            int                               // 0 is the most urgent
	contentHash        atomic.Uint64                     // hash of the request without its ID; 0: not computed yet
	cachedPartSubjects atomic.Pointer[[]balance.Subject] // nil: not computed yet
	arrived            time.Time
	deadline           time.Time // when the request is given up, by the monotonic clock
	// Total suspension time of the machine before the request arrived, a time.Duration.
	suspendedBefore int64

	ctx        context.Context
	cancel     context.CancelFunc
	watch      *disconnectWatch
	caller     *callerConn    // nil if the connection did not come from callerListener
	openEnded  *account.Lease // memory for responses that do not say how long they are; nil: none
	detachConn func() bool    // unregisters the connection, so that ctx no longer closes it
	detachStop func() bool    // the end of the grace period no longer ends the request

	triedInstances []balance.Incarnation // upstream instances it was sent to, or that could not be reached
	unverified     []balance.Incarnation // of these, those that could not be verified in time
	throughOther   bool                  // the run connects through another box, as its upstream could not be verified in time
	usesUnverified bool                  // it may be sent to upstreams that were not verified, as no other is left
	runsSent       int                   // runs started
	sentAt         time.Duration         // when the current run was sent
	answeringSince time.Time             // when the current run's first event arrived
	survived       bool                  // the current run was noted to have been answering for long
	unreachable    int                   // upstreams that could not be reached
	retry          *balance.Retry        // of the run being sent, or taken for a move that is resumed; else nil
	retryTakenAt   time.Time             // when it was taken for a move; zero: it was not
	arrivedBy      time.Duration         // earlier runs have reached their upstreams by then, or never will
	mayHaveRun     bool                  // an upstream may have run the request
	runsCut        int                   // runs during which the upstream closed or reset the connection
	refusalStatus  int                   // status of the last response in which an upstream refused the request
	replacement    string                // ID of the upstream that sent it, if another one than addressed
	ticket         *balance.Ticket
	upstream       balance.Upstream
	fetchOffered   bool          // the upstream was told of another one that has the prompt cached
	prefixCached   bool          // the upstream is assumed to have the prompt's shared prefix cached
	backlog        int           // prompt tokens that the upstream has to process first
	tooLate        bool          // it would have been served too late
	leftRoom       bool          // what is free is kept for streams that go on
	allLimited     bool          // the remaining upstreams have reached their rate limits
	tooLarge       bool          // it fits into no upstream's memory
	takenBy        string        // what a stopping box took it by; empty: it did not arrive during a stop
	cameBack       bool          // the caller probably retried after a refusal, judging by its remaining time
	retryAfter     time.Duration // estimated time until a retry can succeed; 0: unknown
	pausedFor      time.Duration // time until the pause of an upstream ends; 0: pauses are not the reason that none is available
	pauseWaited    time.Duration // total time spent waiting for pauses to end

	move      *move     // the current move to another upstream; nil: none
	moved     bool      // it was moved to another upstream
	checkedAt time.Time // when checkProgress last ran

	wait        atomic.Pointer[upstreamWait] // current wait for bytes from the upstream; nil: not waiting
	silent      atomic.Bool                  // its connection was closed because it delivered nothing
	eventsBegan atomic.Bool                  // events have arrived
	withheldRun atomic.Bool                  // its run was ended because its content is withheld

	response         *response       // of the last run that got one
	failure          *failedResponse // the last error response of an upstream
	events           *eventReader    // of a stream; nil before the response
	origin           *streamOrigin   // where the stream began; nil before its first event
	unproven         bool            // its connection may lead to another software version than the list names
	pendingEvents    []byte          // read, but not yet passed to the caller
	firstEventsAfter time.Duration   // from the arrival to the first events
	pace             pace            // of its events
	endedBy          string          // what marked the end of the response; empty: it is not complete, or no stream and framed
	endedInMove      bool            // its upstream had been asked to move the run
	outcome          string          // final outcome as logged; empty while the request is active
}

// outcomeAnswered is the outcome of a request with a whole response of an upstream.
const outcomeAnswered = "answered"

// serve runs the request and answers its caller.
func (x *exchange) serve(ctx *fasthttp.RequestCtx) {
	r := x.relay
	r.stats.openRequests.Add(1)
	r.mu.Lock()
	r.budgets.ForService(x.service).CountRequest(r.now())
	r.mu.Unlock()
	x.ctx, x.cancel = context.WithDeadline(context.Background(), x.deadline)
	x.watch = watchDisconnect(ctx.Conn(), x.cancel)
	x.detachStop = context.AfterFunc(r.graceEnd, x.endWithoutResponse)
	if x.route.Repeat == route.Stream || len(x.request.body) > asyncBodyBytes {
		// The body may still be sent after the handler has returned and the server reuses its buffer: a
		// stream may be sent again, and a response may arrive before a large body has been sent
		// completely.
		x.request.body = ctx.Request.SwapBody(nil)
	}
	body, refused := x.runUntilAnswered()
	switch {
	case refused != nil:
		x.endWithRefusal(ctx, *refused)
	case x.events != nil:
		x.copyHeaders(ctx)
		ctx.Response.SetBodyStream(x, framing.LengthChunked) // the server calls Close at its end
	default:
		x.copyHeaders(ctx)
		ctx.Response.SetBodyRaw(body)
		x.allowStall()
		x.outcome = outcomeAnswered
		x.close()
	}
}

// endWithRefusal ends a request that no upstream answered with a response generated by the box.
func (x *exchange) endWithRefusal(ctx *fasthttp.RequestCtx, refused refusal) {
	x.outcome = refused.reason
	if x.watch.disconnected.Load() {
		ctx.SetConnectionClose()
	}
	x.relay.sendRefusal(ctx, x.request, refused)
	x.close()
}

// copyHeaders copies the status and headers of the upstream's response.
func (x *exchange) copyHeaders(ctx *fasthttp.RequestCtx) {
	out := &ctx.Response.Header
	x.relay.closeIfStopping(ctx)
	ctx.SetStatusCode(x.response.header.StatusCode())
	out.SetNoDefaultContentType(true)
	for name, value := range x.response.header.All() {
		if !containsHeader(hopByHopHeaders, name) {
			out.AddBytesKV(name, value)
		}
	}
}

// close releases what the exchange holds and logs the request.
func (x *exchange) close() {
	r := x.relay
	x.detachStop()
	x.closeTicket(balance.Neutral)
	if x.openEnded != nil {
		x.openEnded.Close()
	}
	x.watch.stop()
	x.cancel()
	x.noteRunTime()
	r.stats.openRequests.Add(-1)
	r.stats.count("requests_" + x.outcome)
	r.stats.latency("first_ms_"+x.route.Name, x.firstEventsAfter)
	r.cfg.Log.Event("request", x.outcome, x.logFields())
}

// logFields returns the fields of the request's log line.
func (x *exchange) logFields() Fields {
	f := Fields{"id": x.request.id, "route": x.route.Name, "upstream": x.upstream.ID, "runs": x.runsSent, "unreachable": x.unreachable,
		"left_ms": x.timeLeft().Milliseconds(), "urgency": x.urgency, "first_ms": x.firstEventsAfter.Milliseconds(), "total_ms": time.Since(x.arrived).Milliseconds(),
		"version": x.doc.Version, "age_ms": x.relay.publishedAge().Milliseconds(), "kept": x.prefixCached, "fetched": x.fetchOffered, "come_back_ms": x.retryAfter.Milliseconds(),
		"ahead": x.backlog, "loads_age_ms": x.relay.members.loadsAge().Milliseconds()}
	if x.route.Target > 0 {
		f["target_ms"] = x.route.Target.Milliseconds()
	}
	if x.events != nil {
		f["late_pauses"], f["longest_pause_ms"] = x.pace.late, x.pace.longest.Milliseconds()
		f["events"], f["expected_tokens"] = x.events.total, x.request.prompt.Expected
	}
	if x.endedBy != "" {
		f["ended_by"] = x.endedBy
	}
	if x.endedBy != "" && x.events != nil {
		f["asked_to_move"] = x.endedInMove
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
		f["cut_off"], f["content"] = x.runsCut, formatContentHash(x.requestHash())
	}
	x.addStopFields(f)
	if x.response != nil {
		f["status"] = x.response.header.StatusCode()
	} else {
		x.addPathFields(f)
	}
	return f
}

// addPathFields adds to the log line of a request without a response whether the upstreams of its
// service are down or only this box's paths to them, as far as other boxes have told.
func (x *exchange) addPathFields(f Fields) {
	r := x.relay
	r.mu.Lock()
	paths, wait := r.fleet.Paths(r.now(), x.service), r.fleet.TunnelWait(r.now())
	isLost := r.fleet.IsUnreachable(x.upstream.Incarnation())
	r.mu.Unlock()
	if paths.Unreachable == 0 {
		return
	}
	f["upstreams"], f["out_of_reach"], f["reached_by_others"] = paths.Listed, paths.Unreachable, paths.ReachedByOthers
	f["path_lost"], f["tunnels_wait_ms"] = isLost, wait.Milliseconds()
	if paths.ReportedBy != "" {
		f["told_by"], f["told_age_ms"] = paths.ReportedBy, paths.ReportAge.Milliseconds()
	}
}
