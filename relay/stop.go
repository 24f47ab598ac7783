package relay

// This file defines the planned stop of a box. The invariant: no request is taken that
// nobody would answer.

import (
	"context"
	"time"
)

const (
	// callersLinger is how long a stopping box still accepts connections: two
	// missed readiness checks of a second each, and some room.
	callersLinger = 2500 * time.Millisecond
	// graceMargin is kept of the grace for the process's own end.
	graceMargin = 500 * time.Millisecond
)

// Stop ends the relay as planned: it is no longer ready, goes on taking requests
// until callers are sent elsewhere, and then waits for those under way. Connections
// that rest are closed before anything else ends, so that no request is taken that
// nobody would answer.
func (r *Relay) Stop() {
	r.stopping.Store(true)
	r.wakeAll()
	r.cfg.Log.Event("box", "stop", Fields{"open": r.stats.openRequests.Load()})
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.Grace-graceMargin)
	defer cancel()
	r.members.leave(ctx)
	sleep(ctx, callersLinger)
	// The server goes on with its open connections when its shutdown returns.
	context.AfterFunc(ctx, func() { r.ended.Store(true) })
	if err := r.front.close(ctx); err != nil {
		r.cfg.Log.Event("box", "stopped with requests under way", Fields{"open": r.stats.openRequests.Load(), "error": err.Error()})
		r.logCut()
	}
	r.cancel()
	r.conns.close()
	r.members.close()
	if r.cfg.Control != nil {
		_ = r.cfg.Control.Close() // it serves nobody any more
	}
	for ; r.duties > 0; r.duties-- {
		<-r.ends
	}
	r.cfg.Log.Event("box", "stopped", nil)
}

// logCut writes a line for each request that still runs at an upstream when the grace is
// over: its caller sees it cut, and no other line tells of it, since the process ends first.
func (r *Relay) logCut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x := range r.runs {
		f := Fields{"id": x.request.id, "route": x.route.Name, "upstream": x.upstream.ID, "urgency": x.urgency,
			"held_ms": time.Since(x.arrived).Milliseconds(), "left_ms": x.left().Milliseconds()}
		if x.customer != nil {
			f["customer"] = x.customer.Name
		}
		r.cfg.Log.Event("request", "cut by the stop", f)
	}
}
