package relay

// This file defines the planned stop of a box. The invariant: the box ends once no connection of a
// caller is open, or its grace period is over; requests without a response get one before.

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// acceptLinger is how long a stopping box still accepts connections: two missed readiness
	// checks, one per second, and a margin.
	acceptLinger = 2500 * time.Millisecond
	// graceMargin is the part of the grace period that is reserved for the last responses and the end of
	// the process.
	graceMargin = 500 * time.Millisecond
	// lastResponseWait is the part of it in which requests without a response are still answered.
	lastResponseWait = 250 * time.Millisecond
)

// Stop performs a planned stop: the box reports that it is not ready, keeps accepting requests until
// the load balancer has stopped sending them, and then waits for active requests. A further call waits
// for the end of the first.
func (r *Relay) Stop() { r.stopOnce.Do(r.stop) }

func (r *Relay) stop() {
	began := time.Now()
	r.stopBegan.Store(int64(began.Sub(r.startedAt)))
	r.stopping.Store(true)
	r.wakeAll()
	r.cfg.Log.Event("box", "stop", r.callerServer.conns.addStates(Fields{"open": r.stats.openRequests.Load()}))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(r.cfg.StopTimeout-graceMargin))
	defer cancel()
	r.members.leave(ctx)
	r.tunnelServer.announceStop()
	sleep(ctx, acceptLinger-time.Since(began))
	context.AfterFunc(ctx, r.overGrace)
	if err := r.closeCallers(ctx); err != nil {
		fields := Fields{"open": r.stats.openRequests.Load(), "error": err.Error()}
		r.cfg.Log.Event("box", "stopped with active requests", r.callerServer.conns.addStates(fields))
		r.logRequestsCut()
		r.logCallersCut()
	}
	r.origins.handOver()
	r.tunnelServer.drain(ctx)
	r.cancel()
	r.conns.close()
	if r.cfg.TunnelListener != nil {
		_ = r.cfg.TunnelListener.Close() // its goroutine reports its end below
	}
	r.members.close()
	if r.cfg.ControlListener != nil {
		_ = r.cfg.ControlListener.Close() // no other box is served any more
	}
	for ; r.runningTasks > 0; r.runningTasks-- {
		<-r.endedTasks
	}
	r.cfg.Log.Event("box", "stopped", nil)
}

// overGrace ends the grace period: requests without a response get one, and no more are taken.
func (r *Relay) overGrace() {
	r.endGrace()
	r.callerServer.conns.wakeWriters()
}

// isGraceOver reports whether the grace period of a planned stop is over.
func (r *Relay) isGraceOver() bool { return r.graceEnd.Err() != nil }

// closeCallers closes callers' connections once no request is active on them. Those that are active at
// the end of the grace period have lastResponseWait to get their responses.
func (r *Relay) closeCallers(ctx context.Context) error {
	err := r.callerServer.close(ctx)
	if ctx.Err() != nil {
		last, cancel := context.WithTimeout(context.Background(), lastResponseWait)
		defer cancel()
		err = r.callerServer.conns.awaitClosed(last)
	}
	return err
}

// endWithoutResponse ends a request without a response when the box ends, so that its caller is told
// whether it may have run.
func (x *exchange) endWithoutResponse() {
	if !x.eventsBegan.Load() {
		x.cancel()
	}
}

// closeIfStopping closes the connection after this response if the box is stopping, unless another
// request has arrived on it.
func (r *Relay) closeIfStopping(ctx *fasthttp.RequestCtx) {
	if c := callerOf(ctx); r.stopping.Load() && (c == nil || !c.hasNext()) {
		ctx.SetConnectionClose()
	}
}

// logRequestsCut logs each request that is still running at an upstream when the grace period ends.
// The process exits before these requests end, so no other line reports them.
func (r *Relay) logRequestsCut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x := range r.runConns {
		f := Fields{"id": x.request.id, "route": x.route.Name, "upstream": x.upstream.ID, "urgency": x.urgency,
			"held_ms": time.Since(x.arrived).Milliseconds(), "left_ms": x.timeLeft().Milliseconds()}
		if x.customer != nil {
			f["customer"] = x.customer.Name
		}
		x.addStopFields(f)
		r.cfg.Log.Event("request", "cut by the stop", f)
	}
}

// logCallersCut logs each connection on which a request is arriving, waits or is answered when the
// grace period ends.
func (r *Relay) logCallersCut() {
	for _, f := range r.callerServer.conns.cutFields() {
		r.cfg.Log.Event("caller", "cut by the stop", f)
	}
}
