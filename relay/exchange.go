package relay

// This file defines one request from its arrival to its end. The invariants: it has
// one final answer; an answer that says that it did not run is only given while
// no run of it may have happened; and everything it holds is given back in close.

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

const (
	// defaultHold is how long a request is held whose route states no time.
	defaultHold = 60 * time.Second
	// shortest is the least time left with which a request is sent (again).
	shortest = 20 * time.Millisecond
	// maxUnsent is how many upstreams may be unreachable before a request is given up.
	maxUnsent = 4
	// comeBack is when a caller that is refused for lack of room shall come back.
	comeBack = 400 * time.Millisecond
	// comeBackStarting is the same while the box knows no document yet.
	comeBackStarting = time.Second
	// wholeAnswer is the most bytes of an answer that is read before it is passed
	// on, so that a failure within it can be answered otherwise.
	wholeAnswer = 4 << 20
)

// exchange is one request under way.
type exchange struct {
	relay    *Relay
	request  *request
	doc      *route.Document
	route    *route.Route
	customer *route.Customer
	service  string
	urgency  int // 0 is the most urgent
	arrived  time.Time
	end      time.Time // when it is given up

	ctx     context.Context
	cancel  context.CancelFunc
	watch   *leaveWatch
	release func() bool // undoes the closing of the current connection by ctx

	tried     []string // upstreams it was sent to, or that could not be reached
	sent      int      // runs begun
	unsent    int      // upstreams that could not be reached
	mayHave   bool     // a run may have happened
	refusedBy int      // status of the last refusal by an upstream
	ticket    *balance.Ticket
	upstream  balance.Upstream
	fetched   bool
	ahead     int // prompt tokens that were to be read before its own
	answer    *answer
	events    *events
	pending   []byte // events on their way to the caller
	first     time.Duration
	late      bool // it would have been served too late
	outcome   string
	comeBack  time.Duration // when to come back, where that was worked out
}

// handle serves one request.
func (f *front) handle(ctx *fasthttp.RequestCtx) {
	r := f.relay
	q := r.readRequest(ctx)
	if r.stopping.Load() {
		ctx.SetConnectionClose()
	}
	x, no := r.admit(q)
	if no != nil {
		r.cfg.Log.Event("request", "refused", Fields{"id": q.id, "status": no.status, "reason": no.reason, "host": q.host,
			"path": q.path(), "version": r.version(), "age_ms": r.age().Milliseconds()})
		r.stats.count("refused_" + no.reason)
		r.answerSelf(ctx, q, *no)
		return
	}
	x.serve(ctx)
}

// answerSelf gives an answer of the box's own.
func (r *Relay) answerSelf(ctx *fasthttp.RequestCtx, q *request, no refusal) {
	if q.id != "" {
		ctx.Response.Header.Set(r.cfg.Protocol.RequestID, q.id)
	}
	refuse(ctx, no)
}

func (r *Relay) version() uint64 {
	if d := r.belief.document(); d != nil {
		return d.Version
	}
	return 0
}

// admit decides whether a request may run at all.
func (r *Relay) admit(q *request) (*exchange, *refusal) {
	if r.ended.Load() {
		return nil, &refusal{fasthttp.StatusServiceUnavailable, "stopping", comeBack}
	}
	doc := r.belief.document()
	if doc == nil {
		return nil, &refusal{fasthttp.StatusServiceUnavailable, "starting", comeBackStarting}
	}
	rt := doc.Match(q.host, q.path())
	if rt == nil {
		return nil, &refusal{status: fasthttp.StatusNotFound, reason: "no route"}
	}
	if doc.Limits.BodyBytes > 0 && len(q.body) > doc.Limits.BodyBytes {
		return nil, &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	customer := doc.Customer(q.key)
	if customer == nil && !rt.Public && len(doc.Customers) > 0 {
		return nil, &refusal{status: fasthttp.StatusUnauthorized, reason: "unknown key"}
	}
	x := &exchange{relay: r, request: q, doc: doc, route: rt, customer: customer, urgency: doc.Urgency(rt, customer, r.cfg.Protocol.Priorities),
		service: rt.Pick(xxhash.Sum64String(q.id)), arrived: time.Now()}
	x.end = x.arrived.Add(holdTime(rt, q))
	return x, nil
}

// holdTime is how long a request is held.
func holdTime(rt *route.Route, q *request) time.Duration {
	hold := defaultHold
	if rt.Timeout > 0 {
		hold = rt.Timeout
	}
	if q.timeLeft > 0 {
		hold = min(hold, q.timeLeft)
	}
	return hold
}

// serve runs the request and answers the caller.
func (x *exchange) serve(ctx *fasthttp.RequestCtx) {
	r := x.relay
	r.stats.open.Add(1)
	r.mu.Lock()
	r.budget.Take(r.now())
	r.mu.Unlock()
	x.ctx, x.cancel = context.WithDeadline(context.Background(), x.end)
	x.watch = watchLeave(ctx.Conn(), x.cancel)
	if x.route.Repeat == route.Stream {
		// A stream may be sent again after the handler has returned.
		x.request.body = append([]byte(nil), x.request.body...)
	}
	body, no := x.run()
	if no != nil {
		x.outcome = no.reason
		if x.watch.gone.Load() {
			ctx.SetConnectionClose()
		}
		r.answerSelf(ctx, x.request, *no)
		x.close()
		return
	}
	x.copyHead(ctx)
	if x.events != nil {
		ctx.Response.SetBodyStream(x, -1)
		return
	}
	ctx.Response.SetBodyRaw(body)
	x.outcome = "answered"
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
	for k, v := range x.answer.header.All() {
		if !containsFold(hopHeaders, string(k)) {
			out.AddBytesKV(k, v)
		}
	}
}

// run sends the request to upstreams until one answers, or it is given up. The
// body is that of an answer that is no stream.
func (x *exchange) run() ([]byte, *refusal) {
	for {
		choice, ok := x.place()
		switch {
		case x.late:
			return nil, x.giveUp("too much before it")
		case !ok:
			return nil, x.giveUp("no upstream")
		}
		state, body := x.runOn(choice)
		if state == runAnswered {
			return body, nil
		}
		if !x.mayRunAgain(state) {
			return nil, x.giveUp("no answer")
		}
	}
}

// place chooses an upstream and counts the request there.
func (x *exchange) place() (balance.Choice, bool) {
	if x.ctx.Err() != nil {
		return balance.Choice{}, false
	}
	r := x.relay
	tight := x.doc.Tight(x.route)
	q := balance.Request{Service: x.service, Parts: x.request.prompt.Parts, Tokens: x.request.prompt.Tokens, Output: x.request.prompt.Output, Urgency: x.urgency, Tight: tight}
	r.mu.Lock()
	defer r.mu.Unlock()
	choice, ok := r.fleet.Place(r.now(), q, x.tried)
	if !ok {
		return choice, false
	}
	if x.sent == 0 && len(q.Parts) > 0 {
		if x.comeBack, ok = r.fleet.Admit(x.admission(), choice); !ok {
			x.upstream, x.ahead, x.late = *choice.Upstream, choice.Backlog, true
			return choice, false
		}
	}
	x.ticket = r.fleet.Open(r.now(), choice.Upstream.ID, q)
	x.upstream = *choice.Upstream
	x.fetched, x.ahead = choice.Fetch != "", choice.Backlog
	return choice, true
}

// cameBack is the share of the route's time below which a request has come back
// after a refusal: a first attempt has all of it.
const cameBack = 0.95

func (x *exchange) admission() balance.Admission {
	return balance.Admission{Target: x.route.Target, Again: float64(time.Until(x.end)) < cameBack*float64(x.route.Timeout)}
}

// runOn runs the request on an upstream. With runAnswered, either the whole body
// has been read or the stream's first events are pending.
func (x *exchange) runOn(choice balance.Choice) (runState, []byte) {
	x.tried = append(x.tried, x.upstream.ID)
	o := x.relay.outgoing(x.request, x.nextRun(choice.Fetch))
	state, a, err := x.attempt(x.ctx, x.upstream.ID, x.upstream.Address, o)
	if state != runUnsent {
		x.sent++
	}
	var body []byte
	if state == runAnswered {
		state, body, err = x.accept(a)
	}
	if state != runAnswered {
		x.failed(state, err)
	}
	return state, body
}

func (x *exchange) nextRun(fetch string) run {
	n := run{upstream: x.upstream, timeLeft: time.Until(x.end), urgency: x.urgency, customer: x.customer, fetch: fetch, lastSeen: x.request.lastSeen}
	if x.events != nil && x.events.seen {
		n.lastSeen = formatID(x.events.last)
	}
	return n
}

// accept takes an answer in: the first events of a stream, or a whole body.
func (x *exchange) accept(a *answer) (runState, []byte, error) {
	if x.isStream(a) {
		return x.acceptStream(a)
	}
	body, err := io.ReadAll(io.LimitReader(a.body, wholeAnswer+1))
	x.release()
	whole := err == nil && len(body) <= wholeAnswer
	x.relay.finish(a, whole)
	if !whole {
		return runUnknown, nil, err
	}
	if x.events != nil {
		return runUnknown, nil, errNoStream
	}
	x.answer = a
	if a.header.StatusCode() >= fasthttp.StatusInternalServerError && x.route.Again() && x.mayRunAgain(runUnknown) {
		return runUnknown, nil, errors.New(fasthttp.StatusMessage(a.header.StatusCode()))
	}
	x.settle(outcomeOf(a.header.StatusCode()))
	return runAnswered, body, nil
}

// errNoStream says that a stream was not taken up where it was to go on.
var errNoStream = errors.New("the answer is no stream")

// outcomeOf says what a status tells about the upstream that gave it.
func outcomeOf(status int) balance.Outcome {
	if status >= fasthttp.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Answered
}

// failed notes a run that brought nothing.
func (x *exchange) failed(state runState, err error) {
	r := x.relay
	outcome := balance.Failed
	switch {
	case x.ctx.Err() != nil:
		outcome = balance.Neutral
	case state == runUnsent:
		x.unsent++
		if !errors.Is(err, errConnections) {
			outcome = balance.Unreachable
		}
	case errors.Is(err, syscall.ETIMEDOUT):
		outcome = balance.Unreachable
	case state == runRefused:
		outcome = balance.Full
	}
	if state == runUnknown {
		x.mayHave = true
	}
	x.settle(outcome)
	if outcome == balance.Unreachable {
		r.conns.forget(x.upstream.ID)
		r.tryLater()
	}
	fields := Fields{"id": x.request.id, "upstream": x.upstream.ID, "state": runNames[state], "runs": x.sent, "status": x.refusedBy,
		"budget_left": x.budgetLeft(), "loads_age_ms": x.relay.members.loadsAge().Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	r.cfg.Log.Event("run", "failed", fields)
	r.stats.count("runs_" + runNames[state])
}

var runNames = [...]string{runUnsent: "unsent", runRefused: "refused", runUnknown: "unknown", runAnswered: "answered"}

func (x *exchange) budgetLeft() int {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Left(r.now(), r.boxes())
}

// settle closes the count of the current run.
func (x *exchange) settle(o balance.Outcome) {
	if x.ticket == nil {
		return
	}
	r := x.relay
	r.mu.Lock()
	x.ticket.Close(r.now(), o)
	r.mu.Unlock()
	x.ticket = nil
}

// mayRunAgain decides whether the request may go to another upstream after a run
// that came as far as state, and takes it from the budget.
func (x *exchange) mayRunAgain(state runState) bool {
	if x.ctx.Err() != nil || time.Until(x.end) < shortest {
		return false
	}
	if state == runUnsent {
		return x.unsent < maxUnsent && (x.sent == 0 || x.sent < x.route.MaxAttempts)
	}
	if x.sent >= x.route.MaxAttempts || state == runUnknown && !x.route.Again() {
		return false
	}
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Spend(r.now(), r.boxes())
}

// giveUp is the final answer of a request that no upstream answered.
func (x *exchange) giveUp(reason string) *refusal {
	if x.watch.gone.Load() {
		return &refusal{status: fasthttp.StatusBadGateway, reason: "caller left"}
	}
	late := errors.Is(x.ctx.Err(), context.DeadlineExceeded)
	switch {
	case x.mayHave && late:
		return &refusal{status: fasthttp.StatusGatewayTimeout, reason: "out of time"}
	case x.mayHave:
		return &refusal{status: fasthttp.StatusBadGateway, reason: reason}
	}
	return &refusal{fasthttp.StatusServiceUnavailable, reason, max(comeBack, x.comeBack)}
}

// close gives back what the exchange holds and writes its line.
func (x *exchange) close() {
	r := x.relay
	x.settle(balance.Neutral)
	x.watch.stop()
	x.cancel()
	r.stats.open.Add(-1)
	r.stats.count("requests_" + x.outcome)
	r.stats.latency("first_ms_"+x.route.Name, x.first)
	r.cfg.Log.Event("request", x.outcome, x.fields())
}

func (x *exchange) fields() Fields {
	f := Fields{"id": x.request.id, "route": x.route.Name, "upstream": x.upstream.ID, "runs": x.sent, "unreachable": x.unsent,
		"urgency": x.urgency, "first_ms": x.first.Milliseconds(), "total_ms": time.Since(x.arrived).Milliseconds(),
		"version": x.doc.Version, "age_ms": x.relay.age().Milliseconds(), "fetched": x.fetched, "come_back_ms": x.comeBack.Milliseconds(), "ahead": x.ahead, "loads_age_ms": x.relay.members.loadsAge().Milliseconds()}
	if x.customer != nil {
		f["customer"] = x.customer.Name
	}
	if x.answer != nil {
		f["status"] = x.answer.header.StatusCode()
	}
	return f
}
