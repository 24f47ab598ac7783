package relay

// This file defines how a running stream moves to another upstream: its upstream copies the run's
// memory there and ends the stream, and the same request, sent to the other upstream with the name of
// the copy, continues after the last event. The invariants: the first upstream has stopped before the
// other starts, and a copy that is not used is freed.

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

const (
	// progressCheckInterval is the minimum time between two progress checks of a running stream.
	progressCheckInterval = 200 * time.Millisecond
	// moveTimeout is the maximum wait for a copy: 20,000 tokens take 20 ms, plus as much for each copy
	// waiting for the same link.
	moveTimeout = 1500 * time.Millisecond
)

// RunCopy describes the copied memory of a stopped run. Without a name, the run may have been stopped
// or not, unless NotStopped is set.
type RunCopy struct {
	Name        string // as known to the upstream that made it; empty: there is no copy
	Memory      string // as named in the request that continues from it
	Transferred bool   // the copy is at the other upstream; if false, it is still at the first one
	NotStopped  bool   // the call has not stopped the run: it continues, or had ended before
}

// move is the move of a stream to another upstream.
type move struct {
	from, to    balance.Upstream
	copied      chan RunCopy    // receives one value
	reservation *balance.Ticket // memory reserved for the copy until it is used or given up
	retry       *balance.Retry  // the run that will continue from the copy
	started     time.Time
}

// checkProgress reports the length of the response to the fleet, and starts a move if the response
// would end too late, at most once per progressCheckInterval. It is called after each read of events.
func (x *exchange) checkProgress() {
	if time.Since(x.checkedAt) < progressCheckInterval {
		return
	}
	x.checkedAt = time.Now()
	x.reportLength()
	x.noteSurvival()
	x.startMoveIfLate()
}

// reportLength tells the fleet how many events the response has so far.
func (x *exchange) reportLength() {
	if x.ticket == nil {
		return
	}
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.ticket.NoteEventCount(x.events.total)
}

// startMoveIfLate starts to move the stream if it would end too late where it is.
func (x *exchange) startMoveIfLate() {
	r := x.relay
	if r.cfg.Protocol.MoveCall == nil || x.move != nil || x.moved || !x.events.canContinue() || x.withheldFor() > 0 {
		return
	}
	if r.isPaused(x.upstream.Incarnation()) || !x.route.Resumable && r.rejectsRequests(x.upstream) {
		return // without room for the copy, it could continue neither here nor elsewhere
	}
	p := balance.Progress{Events: x.events.total, EventInterval: x.pace.recent, TimeLeft: x.timeLeft()}
	q := x.placement()
	m, plan := x.planMove(q, p)
	if m == nil {
		return
	}
	r.cfg.Log.Event("run", "moves", Fields{"id": x.request.id, "upstream": x.upstream.ID, "to": m.to.ID, "events": p.Events,
		"here_ms": plan.Here.Milliseconds(), "there_ms": plan.There.Milliseconds(), "left_ms": p.TimeLeft.Milliseconds()})
	x.move = m
	go r.requestCopy(m, x.request.id, x.service)
}

// planMove decides whether the stream moves, and takes a retry and reserves memory for its copy; nil
// means that it stays.
func (x *exchange) planMove(q balance.Request, p balance.Progress) (*move, balance.Move) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	plan, ok := r.fleet.MoveTo(r.now(), q, x.upstream.ID, p)
	if !ok || !r.isCurrent(x.upstream) {
		return nil, plan
	}
	retry := r.budgets.ForService(x.service).Take(r.now(), r.divisor())
	if retry == nil {
		return nil, plan
	}
	reservation := r.fleet.Reserve(plan.To.ID, q)
	return &move{from: x.upstream, to: plan.To, copied: make(chan RunCopy, 1), reservation: reservation, retry: retry, started: time.Now()}, plan
}

// closeReservation ends the reservation for the copy.
func (r *Relay) closeReservation(m *move) {
	r.mu.Lock()
	m.reservation.Close(r.now(), balance.Neutral)
	r.mu.Unlock()
	wake(r.members.loadsChanged)
}

// requestCopy tells the upstream to copy the run's memory and to stop the run.
func (r *Relay) requestCopy(m *move, id, service string) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	resp, err := r.callUpstream(ctx, m.from, service, r.cfg.Protocol.MoveCall(id, m.to.Address))
	c := RunCopy{NotStopped: !resp.sent || resp.notRun}
	if err == nil && !resp.notRun {
		c = r.cfg.Protocol.ParseMove(m.from.Address, resp.status, resp.body)
	}
	r.logMoveCall(m, id, resp, c, err)
	if c.Name == "" {
		r.cancelRetry(m.retry) // the stream may go on for long where it is
	}
	m.copied <- c
}

// logMoveCall logs how the call to move a run ended.
func (r *Relay) logMoveCall(m *move, id string, resp callResponse, c RunCopy, err error) {
	f := Fields{"id": id, "upstream": m.from.ID, "to": m.to.ID, "not_stopped": c.NotStopped, "took_ms": time.Since(m.started).Milliseconds()}
	if err != nil {
		f["error"] = err.Error()
		r.cfg.Log.Event("run", "not moved", f)
		return
	}
	f["status"], f["copy"], f["transferred"] = resp.status, boundedText(c.Name), c.Transferred
	r.cfg.Log.Event("run", "asked to move", f)
}

// callResponse is the response to a call of the box itself.
type callResponse struct {
	sent     bool // a byte of the call may have been sent
	notRun   bool // the upstream states that it has not executed the call
	status   int
	body     []byte
	instance string // the ID by which the upstream names itself; empty: it does not
}

// callUpstream makes a call of the box itself to an upstream. If it fails, the response tells only
// whether the call may have been sent.
func (r *Relay) callUpstream(ctx context.Context, u balance.Upstream, service string, call UpstreamCall) (callResponse, error) {
	return r.callUpstreamOn(ctx, r.conns.get, u, service, call)
}

// callUpstreamOn is callUpstream on a connection that open returns.
func (r *Relay) callUpstreamOn(ctx context.Context, open openFunc, u balance.Upstream, service string, call UpstreamCall) (callResponse, error) {
	c, err := r.conns.forAnonymous(ctx, u, service, open)
	if err != nil {
		return callResponse{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	resp, err := r.roundTrip(c, r.buildCall(u, call))
	if err != nil {
		r.conns.discard(c)
		return callResponse{sent: !errors.Is(err, errNotAccepting)}, err
	}
	body, err := readWhole(resp, maxCallResponse)
	r.releaseConn(resp, err == nil && stop())
	return callResponse{true, r.saysNotRun(&resp.header), resp.header.StatusCode(), body, headerValue(&resp.header, r.cfg.Protocol.CurrentInstance)}, err
}

// continueMoved continues the stream from the copy of the run that was stopped. False means that there
// is none, or that it could not be used.
func (x *exchange) continueMoved(end runEnd) bool {
	m, c := end.move, end.copy
	if m == nil {
		return false
	}
	if at := m.copyHolder(c); x.relay.isReplaced(at) || x.relay.rejectsRequests(at) || !x.mayContinueAt(at) || !x.events.canContinue() {
		x.relay.cancelRetry(m.retry)
		x.relay.discardCopy(m, c, x)
		return false
	}
	x.endRun(false, balance.Neutral)
	x.upstream = m.copyHolder(c)
	x.openMoved()
	params := x.nextRun("")
	params.runCopy = c.Memory
	x.retry, x.retryTakenAt = m.retry, m.started
	if state, _ := x.send(params); state != runAnswered {
		x.relay.cancelRetry(x.retry) // unless it was sent
		x.retry = nil
		x.relay.discardCopy(m, c, x)
		return false
	}
	x.moved = true
	x.noteContinued(wayMoved, *x.origin)
	return true
}

// awaitCopy waits for the copy; false means that ctx has ended. The copy then stays in the channel for
// freeCopy.
func (m *move) awaitCopy(ctx context.Context) (RunCopy, bool) {
	select {
	case c := <-m.copied:
		if ctx.Err() != nil {
			m.copied <- c
			return RunCopy{}, false
		}
		return c, true
	case <-ctx.Done():
		return RunCopy{}, false
	}
}

// openMoved reserves capacity for the request where it continues.
func (x *exchange) openMoved() {
	q := x.placement()
	r := x.relay
	r.mu.Lock()
	x.ticket = r.fleet.OpenMoved(r.now(), x.upstream.ID, q)
	r.mu.Unlock()
	wake(r.members.loadsChanged)
}

// discardCopy frees a copy that was made but is not used.
func (r *Relay) discardCopy(m *move, c RunCopy, x *exchange) {
	m.copied <- c
	r.freeCopy(m, x.request.id, x.service)
}

// freeCopy waits for the result of a move and frees its copy in the background.
func (r *Relay) freeCopy(m *move, id, service string) {
	go func() {
		c := <-m.copied
		if c.Name == "" {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
		defer cancel()
		if _, err := r.callUpstream(ctx, m.from, service, r.cfg.Protocol.DropCall(c.Name)); err != nil {
			r.cfg.Log.Event("run", "copy not freed", Fields{"id": id, "upstream": m.from.ID, "error": err.Error()})
		}
	}()
}

// buildCall serializes a call to an upstream.
func (r *Relay) buildCall(u balance.Upstream, call UpstreamCall) outgoingRequest {
	var req fasthttp.Request
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.Path)
	req.Header.SetHost(u.Address)
	req.Header.SetNoDefaultContentType(true)
	if len(call.Body) > 0 {
		req.Header.SetContentType("application/json")
	}
	req.Header.SetContentLength(len(call.Body))
	return outgoingRequest{head: req.Header.Header(), body: call.Body}
}
