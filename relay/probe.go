package relay

// This file defines the loop that probes unreachable upstreams with connection attempts, so
// that no request has to find out whether they can be reached again. The invariant: an upstream
// is probed for as long as it is unreachable.

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// probeInterval is the pause between two rounds of probes.
	probeInterval = 500 * time.Millisecond
	// maxProbes is how many upstreams one round probes.
	maxProbes = 4
)

// probeLoop probes unreachable upstreams until ctx ends. It blocks while all can be reached.
func (r *Relay) probeLoop(ctx context.Context) {
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.probeWake:
		}
		for list := r.unreachable(); len(list) > 0 && ctx.Err() == nil; list = r.unreachable() {
			for range min(maxProbes, len(list)) {
				u := list[next%len(list)]
				next++
				go r.probeUnreachable(ctx, u)
			}
			sleep(ctx, probeInterval)
		}
	}
}

// noteUnreachable logs the upstreams that have newly been marked unreachable, and verifies those that may be
// as well; reporter is the box whose report of a cut-off domain led to that, if no failed connection of
// this box did.
func (r *Relay) noteUnreachable(list []balance.UnreachableUpstream, reporter string) {
	for _, u := range list {
		fields := Fields{"upstream": u.ID, "domain": u.Domain, "service": u.Service, "by_domain": u.ByDomain}
		if u.ToVerify > 0 {
			fields["to_verify"] = u.ToVerify
		}
		if u.Cause != "" {
			fields["cause"] = u.Cause
		} else {
			fields["told_by"] = reporter
		}
		r.cfg.Log.Event("upstream", "out of reach", fields)
		r.samplePaths(u.Upstream, r.now()-balance.DialWait, u.ToSample)
	}
}

// unreachable lists the upstreams that are marked unreachable.
func (r *Relay) unreachable() []balance.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Unreachable()
}

// probeUnreachable opens a connection to an upstream and closes it, and marks the upstream
// reachable if that succeeds.
func (r *Relay) probeUnreachable(ctx context.Context, u balance.Upstream) {
	inc := u.Incarnation()
	c, err := dial(ctx, u.Address)
	if err != nil {
		r.handleFailedProbe(ctx, u, err)
		r.probeTunnel(ctx, u)
		return // the next round probes it again
	}
	_ = c.Close()
	r.mu.Lock()
	isListed := r.fleet.NoteReachable(r.now(), inc)
	r.mu.Unlock()
	r.conns.closeIdleTunnelled(u.ID)
	if isListed {
		wake(r.members.loadsChanged) // report it to the other boxes at once
		r.cfg.Log.Event("upstream", "reached again", Fields{"upstream": u.ID, "born": inc.StartedAt})
	}
}

// handleFailedProbe ends what is lost with an upstream to which a probe failed. A host that refuses
// connections closes those of a process that has ended itself, and a process that is about to stop
// finishes its runs after it has closed its listener.
func (r *Relay) handleFailedProbe(ctx context.Context, u balance.Upstream, err error) {
	inc := u.Incarnation()
	switch {
	case !errors.Is(err, syscall.ECONNREFUSED):
		r.closeRetriableRuns(inc)
	case !r.reachedByOther(ctx, u):
		r.noteEnd(inc)
	}
}

// closeRetriableRuns closes the connections of the runs on an incarnation that is unreachable,
// where the request may run again: it is retried on another upstream at once instead of after the
// TCP timeout. It is called only after a probe has failed as well, since overloaded engines let
// connections wait too.
func (r *Relay) closeRetriableRuns(inc balance.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x, c := range r.runConns {
		if c.incarnation == inc && x.route.CanRepeat() && c.tunnel() == nil {
			_ = c.Close()
		}
	}
}

// wakeProbeLoop wakes probeLoop.
func (r *Relay) wakeProbeLoop() {
	select {
	case r.probeWake <- struct{}{}:
	default:
	}
}
