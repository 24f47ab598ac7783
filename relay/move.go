package relay

// This file defines how an answer that runs moves to another upstream: its upstream copies
// the run's memory there and breaks the stream off, and the same request, sent to the other
// with the name of the copy, goes on behind the last event. The invariants: the first
// upstream has stopped before the other begins; and a copy that is not used is given up.

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

const (
	// answerCheck is the least time between two looks at a running answer.
	answerCheck = 200 * time.Millisecond
	// moveWait is the longest that a copy is waited for: 20,000 tokens take 20 ms, and
	// those that wait for the same link as long each.
	moveWait = 1500 * time.Millisecond
)

// Copy names what is left of a run in an upstream's memory.
type Copy struct {
	Name   string // as its upstream knows it; empty: there is none
	Memory string // as the run that goes on from it names it
	Done   bool   // it lies at the other upstream; else it lies where the run was
}

// move is an answer on its way to another upstream.
type move struct {
	from, to balance.Upstream
	copied   chan Copy       // gets one entry
	aside    *balance.Ticket // what the copy takes, until it is used or given up
}

// lookAtAnswer looks, now and then, how far the answer has come: how much memory it takes, and
// whether it should move. It is called with each of its events.
func (x *exchange) lookAtAnswer() {
	if time.Since(x.lookedAt) < answerCheck {
		return
	}
	x.lookedAt = time.Now()
	x.noteMade()
	x.considerMove()
}

// noteMade tells the fleet how long the answer is by now.
func (x *exchange) noteMade() {
	if x.ticket == nil {
		return
	}
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.ticket.Made(x.events.total)
}

// considerMove begins to move the answer where it would end too late.
func (x *exchange) considerMove() {
	r := x.relay
	if r.cfg.Protocol.MoveCall == nil || x.move != nil || x.moved || x.withheldFor() > 0 {
		return
	}
	if r.isPaused(x.upstream.Incarnation()) || !x.route.Resumable && r.takesNone(x.upstream) {
		return // where the copy finds no room, it could go on neither there nor elsewhere
	}
	p := balance.Progress{Events: x.events.total, Between: x.pace.recent, Left: x.left()}
	q := x.placement()
	m, aside := x.moveTo(q, p)
	if aside == nil {
		return
	}
	r.cfg.Log.Event("run", "moves", Fields{"id": x.request.id, "upstream": x.upstream.ID, "to": m.To.ID, "events": p.Events,
		"here_ms": m.Here.Milliseconds(), "there_ms": m.There.Milliseconds(), "left_ms": p.Left.Milliseconds()})
	x.move = &move{from: x.upstream, to: m.To, copied: make(chan Copy, 1), aside: aside}
	go r.copyRun(x.move, x.request.id, x.service)
}

// moveTo decides whether the answer moves, and counts its copy; without a ticket it stays.
func (x *exchange) moveTo(q balance.Request, p balance.Progress) (balance.Move, *balance.Ticket) {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.fleet.MoveTo(r.now(), q, x.upstream.ID, p)
	if !ok || !r.isCurrent(x.upstream) || !x.paid && !r.budgets.Of(x.service).Spend(r.now(), r.divisor()) {
		return m, nil
	}
	x.paid = true
	return m, r.fleet.SetAside(m.To.ID, q)
}

// closeAside ends the count of what the copy takes.
func (r *Relay) closeAside(m *move) {
	r.mu.Lock()
	m.aside.Close(r.now(), balance.Neutral)
	r.mu.Unlock()
	wake(r.members.loadsChanged)
}

// copyRun has a run's memory copied, and the run stopped.
func (r *Relay) copyRun(m *move, id, service string) {
	ctx, cancel := context.WithTimeout(context.Background(), moveWait)
	defer cancel()
	status, body, err := r.call(ctx, m.from, service, r.cfg.Protocol.MoveCall(id, m.to.Address))
	if err != nil {
		r.cfg.Log.Event("run", "not moved", Fields{"id": id, "upstream": m.from.ID, "error": err.Error()})
		m.copied <- Copy{}
		return
	}
	m.copied <- r.cfg.Protocol.ParseMove(m.from.Address, status, body)
}

// call makes a call to an upstream that is no request of a caller.
func (r *Relay) call(
	ctx context.Context, u balance.Upstream, service string, call UpstreamCall,
) (status int, body []byte, err error) {
	c, err := r.conns.get(ctx, u, service)
	if err != nil {
		return 0, nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	a, err := r.roundTrip(c, r.outgoingCall(u, call))
	if err != nil {
		r.conns.discard(c)
		return 0, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(a.body, wholeAnswer))
	r.finish(a, err == nil && stop())
	return a.header.StatusCode(), body, err
}

// goOnMoved takes the stream up where it has moved to, after its first run broke off. False
// means that it has not moved, and that the break is one like any other.
func (x *exchange) goOnMoved() bool {
	m := x.move
	if m == nil {
		return false
	}
	c, ok := m.await(x.ctx)
	if !ok {
		return false // what was copied is given up when the exchange is closed
	}
	x.move = nil
	x.relay.closeAside(m)
	if c.Name == "" {
		return false
	}
	if at := m.copyHolder(c); x.relay.isReplaced(at) || x.relay.takesNone(at) {
		x.relay.dropCopy(m, c, x)
		return false
	}
	x.endRun(false, balance.Neutral)
	x.upstream = m.copyHolder(c)
	x.openMoved()
	n := x.nextRun("")
	n.memory = c.Memory
	if state, _ := x.send(n); state != runAnswered {
		x.relay.dropCopy(m, c, x)
		return false
	}
	x.moved = true
	x.relay.stats.count("streams_moved")
	return true
}

// await waits for the copy; false means that ctx ended first, or has ended by now. The copy
// stays where it is then, for whoever gives it up.
func (m *move) await(ctx context.Context) (Copy, bool) {
	select {
	case c := <-m.copied:
		if ctx.Err() != nil {
			m.copied <- c
			return Copy{}, false
		}
		return c, true
	case <-ctx.Done():
		return Copy{}, false
	}
}

// openMoved counts the request where it goes on.
func (x *exchange) openMoved() {
	q := x.placement()
	r := x.relay
	r.mu.Lock()
	x.ticket = r.fleet.OpenMoved(r.now(), x.upstream.ID, q)
	r.mu.Unlock()
	wake(r.members.loadsChanged)
}

// dropCopy frees a copy that was made and is not used.
func (r *Relay) dropCopy(m *move, c Copy, x *exchange) {
	m.copied <- c
	r.giveUpCopy(m, x.request.id, x.service)
}

// giveUpCopy frees what a move has taken that is not used.
func (r *Relay) giveUpCopy(m *move, id, service string) {
	go func() {
		c := <-m.copied
		if c.Name == "" {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), moveWait)
		defer cancel()
		if _, _, err := r.call(ctx, m.from, service, r.cfg.Protocol.DropCall(c.Name)); err != nil {
			r.cfg.Log.Event("run", "copy not freed", Fields{"id": id, "upstream": m.from.ID, "error": err.Error()})
		}
	}()
}

// outgoingCall writes a call as it goes to an upstream.
func (r *Relay) outgoingCall(u balance.Upstream, call UpstreamCall) outgoing {
	var req fasthttp.Request
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.Path)
	req.Header.SetHost(u.Address)
	req.Header.SetNoDefaultContentType(true)
	if len(call.Body) > 0 {
		req.Header.SetContentType("application/json")
	}
	req.Header.SetContentLength(len(call.Body))
	return outgoing{head: req.Header.Header(), body: call.Body}
}
