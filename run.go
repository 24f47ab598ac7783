package doormast

// This file defines the runs of requests on upstreams. The invariant: before the first
// byte of a request is sent, the core has been notified that the upstream may have it.

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/caller"
	"github.com/doormast/doormast/internal/upstream"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// run is a request that this box handles, with its current run on an upstream, if any.
// Its fields are owned by the core goroutine.
type run struct {
	box            *Box
	request        cell.Request
	exchange       *caller.Exchange
	arrived        time.Duration
	cancel         context.CancelFunc
	address        string
	delivered      int  // tokens delivered by runs that have ended
	mayHaveRun     bool // a run that has ended may have been executed
	firstTokenSeen bool // the first token has arrived
	callerDone     bool // its caller has disconnected or got its final response
}

// dispatch starts a run on the upstream that the action names.
func (b *Box) dispatch(a cell.Action) {
	r := b.runs[a.Request]
	u := b.upstream(a.Upstream)
	if r == nil || u == nil {
		b.notify(notice{kind: noticeFinished, request: a.Request, result: cell.Result{Outcome: decide.Failed}})
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel, r.address = cancel, u.Address
	tier := 0
	if c := b.class(r.request.Class); c != nil {
		tier = c.Tier
	}
	x := r.exchange
	c := upstream.Call{
		ID:       timeline.RequestText(a.Request),
		Address:  u.Address,
		Plain:    x.Plain || u.Kind == table.Plain,
		Method:   x.Method,
		Path:     x.Path,
		Body:     x.Body,
		Type:     x.Type,
		Key:      r.request.Key,
		Priority: tier,
		From:     a.Tokens,
		Resume:   a.Resume,
		Fresh:    a.Redispatch,
		StartBy:  a.StartBy,
	}
	go b.runCall(ctx, c, x, a.Request)
}

// runCall executes one run in its own goroutine, and sends the core a notice of its end.
func (b *Box) runCall(ctx context.Context, c upstream.Call, x *caller.Exchange, id uint64) {
	s := &sink{box: b, exchange: x, id: id}
	result := b.runner.Run(ctx, c, s)
	if result.Outcome == decide.Answered {
		x.Done()
	}
	b.notify(notice{kind: noticeFinished, request: id, result: result})
}

// sink forwards the response of an upstream to the caller.
type sink struct {
	box      *Box
	exchange *caller.Exchange
	id       uint64
	started  atomic.Bool
}

var _ upstream.Sink = (*sink)(nil)

// Sending notifies the core before the request is sent; false if the caller has disconnected, and
// the request must not be sent.
func (s *sink) Sending() bool {
	select {
	case <-s.exchange.Disconnected():
		return false
	default:
	}
	s.box.notify(notice{kind: noticeSending, request: s.id})
	return true
}

// Event forwards one event.
func (s *sink) Event(data []byte) error {
	if s.started.CompareAndSwap(false, true) {
		s.box.notify(notice{kind: noticeFirstToken, request: s.id})
	}
	return s.exchange.Event(data)
}

// Whole forwards the complete response of a plain service.
func (s *sink) Whole(status int, contentType string, body []byte) error {
	s.box.notify(notice{kind: noticeFirstToken, request: s.id})
	return s.exchange.Whole(status, contentType, body)
}

func (b *Box) upstream(name string) *table.Upstream {
	t := b.table.Load()
	if t == nil {
		return nil
	}
	for i := range t.Upstreams {
		if t.Upstreams[i].Name == name {
			return &t.Upstreams[i]
		}
	}
	return nil
}

func (b *Box) cancelRun(id uint64) {
	if r := b.runs[id]; r != nil && r.cancel != nil {
		r.cancel()
	}
}

// dropCaller records that no caller waits for the request any more.
func (b *Box) dropCaller(id uint64) {
	r := b.runs[id]
	if r == nil {
		return
	}
	r.callerDone = true
	if r.cancel == nil {
		delete(b.runs, id)
	}
}

// pauseRun asks the upstream to pause a run. The outcome arrives as the end of the run.
func (b *Box) pauseRun(id uint64) {
	r := b.runs[id]
	if r == nil || r.cancel == nil {
		return
	}
	address, text := r.address, timeline.RequestText(id)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := b.runner.Pause(ctx, address, text); err != nil {
			b.logFor("upstream").Warnf("cannot pause request %s: %v", text, err)
		}
	}()
}

// refuseArrivals refuses the requests that are queued when the box closes; later ones are refused on arrival.
func (b *Box) refuseArrivals() {
	b.arrivals.Close()
	for _, a := range b.arrivals.Drain(nil) {
		a.Exchange.Refuse(cell.Final{Reason: decide.Stopping, RetryAfter: time.Second})
	}
}

// endRuns cancels all runs when the box closes. It refuses their requests and reports to each
// caller whether the request may have been executed.
func (b *Box) endRuns() {
	for _, r := range b.runs {
		isRunning := r.cancel != nil
		if isRunning {
			r.cancel()
		}
		r.exchange.Refuse(cell.Final{Reason: decide.Stopping, Ran: isRunning || r.mayHaveRun, RetryAfter: time.Second})
	}
}
