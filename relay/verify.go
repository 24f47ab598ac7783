package relay

// This file defines how the box verifies upstreams that other boxes report unreachable, and how it
// shares what it observes itself. The invariants: a request is not placed at a reported upstream
// while another one is left, unless a connection attempt of this box succeeds first; and an
// attempt runs only where a request needs it, or for a few upstreams beside one that failed, one at a
// time for each upstream, so that a report does not make all boxes connect at once.

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
)

// errUnverified reports that an upstream which other boxes report unreachable accepted no
// connection in time.
var errUnverified = &Error{Op: "verify upstream", Kind: KindExhausted}

// Counters of reports and verifications.
const (
	upstreamsReportedLost  = "upstreams_told_lost"
	upstreamsVerified      = "upstreams_verified"
	upstreamsNotVerified   = "upstreams_not_verified"
	requestsLeftUnverified = "requests_left_unverified"
)

// verifyUpstream reports whether the request may be sent to the upstream that was chosen. If the
// upstream is reported unreachable, it waits for a verification, but not for one that is unlikely
// to succeed.
func (x *exchange) verifyUpstream() bool {
	if x.usesUnverified {
		return true
	}
	r := x.relay
	done := r.startVerification(x.upstream)
	if done == nil {
		return true
	}
	timer := time.NewTimer(r.verificationWait(x.upstream.Domain))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		return false
	case <-x.ctx.Done():
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.fleet.IsUnreachable(x.upstream.Incarnation())
}

// connectsThroughOther decides whether the request, whose upstream could not be verified in time,
// goes there through another box instead of leaving it.
func (x *exchange) connectsThroughOther() bool {
	_, x.throughOther = x.relay.tunnelDelay(x.upstream)
	return x.throughOther
}

// openThroughOther opens a connection through another box.
func (r *Relay) openThroughOther(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
	c, err := r.conns.getTunnelled(ctx, u, service, func(ctx context.Context, u balance.Upstream) (net.Conn, error) {
		c, err := r.tunnels.open(ctx, u)
		return connOrNil(c), err
	})
	if err != nil && !errors.Is(err, errConnLimit) {
		return nil, errUnverified
	}
	return c, err
}

// leaveUnverified ends the attempt to use an upstream that could not be verified in time.
func (x *exchange) leaveUnverified() {
	x.triedInstances = append(x.triedInstances, x.upstream.Incarnation())
	x.unverified = append(x.unverified, x.upstream.Incarnation())
	x.relay.stats.count(requestsLeftUnverified)
	x.recordFailure(runUnsent, errUnverified)
}

// mayUseUnverified reports whether the request may go to the upstreams that it has left because
// they could not be verified. That is the case when no other upstream is left: one that is only
// slow to accept connections still serves the open ones.
func (x *exchange) mayUseUnverified() bool {
	if len(x.unverified) == 0 || x.ctx.Err() != nil {
		return false
	}
	isUnverified := func(inc balance.Incarnation) bool { return slices.Contains(x.unverified, inc) }
	x.triedInstances = slices.DeleteFunc(x.triedInstances, isUnverified)
	x.unverified, x.usesUnverified = nil, true
	return true
}

// verificationWait is how long a request waits for a verification.
func (r *Relay) verificationWait(domain string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.ConnectDelay(domain)
}

// startVerification starts the verification of an upstream, unless one is in progress. The
// returned channel is closed at its end; nil means that none is needed.
func (r *Relay) startVerification(u balance.Upstream) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startVerificationIf(u, r.fleet.BeginVerification)
}

// startSample starts the verification of an upstream that no request needs at present.
func (r *Relay) startSample(u balance.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startVerificationIf(u, func(inc balance.Incarnation) bool { return r.fleet.BeginSample(r.now(), inc) })
}

// startVerificationIf is startVerification with the function that decides whether one is needed. The
// caller holds mu.
func (r *Relay) startVerificationIf(u balance.Upstream, begin func(balance.Incarnation) bool) <-chan struct{} {
	inc := u.Incarnation()
	if done := r.verifications[inc]; done != nil {
		return done
	}
	if !begin(inc) {
		return nil
	}
	done := make(chan struct{})
	r.verifications[inc] = done
	go func() {
		r.verify(u)
		close(done)
	}()
	return done
}

// verify tries to connect to an upstream and records the result. Only an attempt that times out
// counts against it: a host that refuses or resets a connection is there, and a request finds that
// out at no cost.
func (r *Relay) verify(u balance.Upstream) {
	began, inc := r.now(), u.Incarnation()
	c, err := dial(context.Background(), u.Address)
	if err == nil {
		_ = c.Close()
	}
	result := verificationResult(err)
	r.mu.Lock()
	delete(r.verifications, inc)
	r.fleet.EndVerification(r.now(), began, inc, result)
	lost := r.fleet.TakeNewlyUnreachable()
	r.wakeReady(u.Service)
	r.mu.Unlock()
	r.noteUnreachable(lost, "")
	fields := Fields{"upstream": u.ID, "born": u.StartedAt, "domain": u.Domain, "reached": err == nil, "took_ms": (r.now() - began).Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	r.cfg.Log.Event("upstream", "verified", fields)
	if result != balance.VerifiedUnreachable {
		r.stats.count(upstreamsVerified)
		if err != nil {
			r.conns.closeIdleDirect(u.ID) // a request on one of them could be lost, unlike on a new one
		}
		return
	}
	r.stats.count(upstreamsNotVerified)
	r.conns.closeIdleDirect(u.ID)
	r.wakeProbeLoop()
}

// verificationResult returns the result of a connection attempt that ended with err.
func verificationResult(err error) balance.VerificationResult {
	var e net.Error
	switch {
	case err == nil:
		return balance.VerifiedReachable
	case errors.As(err, &e) && e.Timeout():
		return balance.VerifiedUnreachable
	}
	return balance.NotSilent
}

// shareReachReports passes what this box observed of connections to the node, and applies the
// reports of other boxes.
func (m *members) shareReachReports(ctx context.Context) {
	r := m.relay
	received := m.node.DrainReachReports()
	now := r.now()
	r.mu.Lock()
	changes := r.fleet.MergeReachReports(now, received)
	queued := r.fleet.TakeReachReports(now)
	r.mu.Unlock()
	m.node.AnnounceReachReports(now, queued)
	m.node.FlushReachReports(now)
	for _, c := range changes {
		r.applyReachChange(ctx, c)
	}
}

// applyReachChange logs a report with an effect. An unreachable upstream that another box reaches
// is probed at once.
func (r *Relay) applyReachChange(ctx context.Context, c balance.ReachChange) {
	fields := Fields{"upstream": c.ID, "born": c.StartedAt, "domain": c.Domain, "told_by": c.Report.Box, "age_ms": c.Report.Age.Milliseconds()}
	if c.Report.Brittle {
		r.logBrittle(c.Upstream, c.Report.Rejects, fields)
		return
	}
	if c.Report.Reached {
		r.cfg.Log.Event("upstream", "reached by others", fields)
		go r.probeUnreachable(ctx, c.Upstream)
		return
	}
	r.stats.count(upstreamsReportedLost)
	r.cfg.Log.Event("upstream", "out of reach of others", fields)
}
