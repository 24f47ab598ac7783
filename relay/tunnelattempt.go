package relay

// This file defines an attempt to connect to an upstream through another box: several boxes are asked, one after
// the other. The invariants: the first connection that comes up is used, and all others are closed; and an attempt
// that fails says something about the upstream only if a box declined that does not lack paths itself.

import (
	"context"
	"errors"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

const (
	// maxTunnelAttempts is how many boxes are asked for one connection.
	maxTunnelAttempts = 6
	// tunnelAttemptInterval is how long a box is waited for until the next one is asked as well.
	tunnelAttemptInterval = 60 * time.Millisecond
	// minTunnelAnswerWait is how long a box must have had for its answer to count as silent.
	minTunnelAnswerWait = tunnelDialWait + tunnelAttemptInterval
)

// tunnelResult is the result of asking one box.
type tunnelResult struct {
	via     string
	conn    *tunnelConn
	result  wire.TunnelResponse_Result
	inDoubt bool          // the box lacks paths itself
	err     error         // the box did not answer
	waited  time.Duration // for the answer
}

// isConclusive reports whether the answer says something about the upstream, and not about the box alone.
func (t *tunnelResult) isConclusive() bool {
	switch t.result {
	case wire.TunnelResponse_FULL, wire.TunnelResponse_STOPPING:
		return false
	}
	return t.err == nil && !t.inDoubt
}

// String returns the box that was asked and how it answered.
func (t *tunnelResult) String() string {
	switch {
	case t.err != nil:
		return t.via + "=SILENT"
	case t.inDoubt:
		return t.via + "=IN_DOUBT"
	}
	return t.via + "=" + t.result.String()
}

// open connects to an upstream through another box within balance.DialWait. It asks the next box as
// soon as one declines, or has not answered for tunnelAttemptInterval.
func (t *tunnels) open(ctx context.Context, u balance.Upstream) (*tunnelConn, error) {
	a := &tunnelAttempt{tunnels: t, upstream: u, candidates: t.begin(u), began: time.Now(), beganAt: t.relay.now()}
	ctx, cancel := context.WithTimeout(ctx, balance.DialWait)
	defer cancel()
	results := make(chan tunnelResult, len(a.candidates))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for len(a.failed) < len(a.candidates) {
		select {
		case <-timer.C:
			if a.asked < len(a.candidates) {
				t.ask(ctx, a.candidates[a.asked], u, results)
				a.asked++
				timer.Reset(tunnelAttemptInterval)
			}
		case res := <-results:
			if res.conn != nil {
				go closeLater(results, a.asked-len(a.failed)-1)
				a.noteOutcome(res.via, nil)
				return res.conn, nil
			}
			a.failed = append(a.failed, res)
			timer.Reset(0)
		case <-ctx.Done():
			go closeLater(results, a.asked-len(a.failed))
			a.noteOutcome("", ctx.Err())
			return nil, errNoTunnel
		}
	}
	err := a.failure()
	if t.havePeers() {
		a.noteOutcome("", err)
	}
	return nil, err
}

// begin returns the boxes to ask for a connection to an upstream, and notes that they are asked.
func (t *tunnels) begin(u balance.Upstream) []string {
	r := t.relay
	r.mu.Lock()
	r.fleet.BeginTunnel(r.now())
	r.mu.Unlock()
	return t.candidates(u)
}

// tunnelAttempt is an attempt to connect to an upstream through another box.
type tunnelAttempt struct {
	tunnels    *tunnels
	upstream   balance.Upstream
	candidates []string // boxes to ask, in turn
	asked      int      // of them
	failed     []tunnelResult
	began      time.Time
	beganAt    time.Duration // the same by the relay's clock
}

// failure returns the error of an attempt in which no box connected.
func (a *tunnelAttempt) failure() error {
	for _, res := range a.failed {
		if res.result == wire.TunnelResponse_REFUSED {
			return syscall.ECONNREFUSED // as another box was told by the upstream's host
		}
	}
	return errNoTunnel
}

// closeLater closes the connections that come up after another one was taken.
func closeLater(results <-chan tunnelResult, count int) {
	for range count {
		if res := <-results; res.conn != nil {
			_ = res.conn.Close()
		}
	}
}

// noteOutcome records and logs whether a connection was opened. A failure says something about the upstream
// only if a box that does not lack paths itself has declined.
func (a *tunnelAttempt) noteOutcome(via string, err error) {
	r, u := a.tunnels.relay, a.upstream
	if errors.Is(err, context.Canceled) {
		return // this box's own attempt was faster, or the request ended
	}
	r.mu.Lock()
	switch {
	case err == nil:
		r.fleet.NoteTunnel(r.now(), u.Incarnation(), true)
	case slices.ContainsFunc(a.failed, func(res tunnelResult) bool { return res.isConclusive() }):
		r.fleet.NoteTunnelFailure(r.now(), a.beganAt, u.Incarnation())
	default:
		r.fleet.NoteTunnelUndecided(r.now(), a.beganAt)
	}
	wait := r.fleet.TunnelWait(r.now())
	r.mu.Unlock()
	fields := Fields{"upstream": u.ID, "born": u.StartedAt, "service": u.Service, "asked": a.asked, "took_ms": time.Since(a.began).Milliseconds()}
	if len(a.failed) > 0 {
		fields["answers"] = a.answers()
	}
	if err != nil {
		fields["error"], fields["wait_ms"] = err.Error(), wait.Milliseconds()
		r.stats.count(tunnelsNotOpened)
		r.cfg.Log.Event("tunnel", "not opened", fields)
		return
	}
	fields["via"] = via
	r.stats.count(tunnelsOpened)
	r.cfg.Log.Event("tunnel", "opened", fields)
}

// answers lists the boxes that did not help, each with its answer.
func (a *tunnelAttempt) answers() string {
	list := make([]string, len(a.failed))
	for i, res := range a.failed {
		list[i] = res.String()
	}
	return strings.Join(list, " ")
}
