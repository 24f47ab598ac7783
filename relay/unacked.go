package relay

// This file defines how the box notices that the path to an upstream has fallen silent under a
// request that was sent on an open connection. The invariants: a request that is not acknowledged
// leads to a connection attempt, and only that decides; a request that may run once is ended only
// if another box reaches the upstream, since a host may be silent for a second or so and then
// answer; and whoever is given up on is told at once.

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/doormast/doormast/balance"
)

const (
	// unackedInterval is how often the box looks for requests that are not acknowledged.
	unackedInterval = 100 * time.Millisecond
	// minUnacked is how long a request must have been sent. A peer may delay its acknowledgment by
	// up to 40 ms, and a round trip between regions takes about 60 ms.
	minUnacked = 150 * time.Millisecond
)

// unackedLoop checks the paths of requests that are not acknowledged, until ctx ends.
func (r *Relay) unackedLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, unackedInterval)
		for _, u := range r.unackedUpstreams(time.Now()) {
			go r.checkPath(ctx, u)
		}
	}
}

// unackedCheck is what was found out of the acknowledgment of a request.
type unackedCheck struct {
	acked bool          // all of it
	at    time.Duration // for how long the request had been sent when it was last looked at
}

// due reports whether to look at a request that was sent for a time: after minUnacked, and then each
// time that has doubled, since a path may fall silent after it was checked.
func (u unackedCheck) due(sentFor time.Duration) bool {
	return !u.acked && sentFor >= max(minUnacked, 2*u.at)
}

// unackedUpstreams returns the upstreams to whose paths a request of this box has not been
// acknowledged for minUnacked, and that have answered nothing else since the path was last checked.
func (r *Relay) unackedUpstreams(now time.Time) []balance.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []balance.Upstream
	found := make(map[string]bool)
	for _, c := range r.runConns {
		waited := c.awaitsResponse(now)
		if !c.unacked.due(waited) || found[c.incarnation.ID] {
			continue
		}
		since := r.now() - (waited - c.unacked.at)
		c.unacked = unackedCheck{acked: unacked(c.Conn.(syscall.Conn)) == 0, at: waited}
		if c.unacked.acked || r.fleet.HasAnswered(c.incarnation, since) {
			continue
		}
		u, isListed := r.listedUpstream(c.incarnation.ID)
		if isListed && u.Incarnation() == c.incarnation && !r.fleet.IsUnreachable(c.incarnation) {
			found[u.ID] = true
			list = append(list, u)
		}
	}
	return list
}

// awaitsResponse returns for how long the request on a direct connection has been sent without a
// response; 0 if there is a response.
func (c *conn) awaitsResponse(now time.Time) time.Duration {
	sent := c.sentAt.Load()
	if sent == 0 || c.tunnel() != nil {
		return 0
	}
	return time.Duration(now.UnixNano() - sent)
}

// unacked returns how many bytes of a connection were written and are not acknowledged by the peer;
// 0 if the kernel does not tell.
func unacked(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			count = n
		}
	})
	return count
}

// checkPath tries to connect to an upstream, and records what that says about the path. While the attempt
// takes longer than usual, other paths to the service may be gone as well.
func (r *Relay) checkPath(ctx context.Context, u balance.Upstream) {
	began := r.now()
	result := make(chan dialResult, 1)
	go func() {
		c, err := dial(context.Background(), u.Address)
		result <- dialResult{c, err}
	}()
	r.stats.count("paths_checked")
	timer := time.NewTimer(r.verificationWait(u.Domain))
	defer timer.Stop()
	select {
	case d := <-result:
		result <- d
	case <-timer.C:
		r.suspectPath(u, began-minUnacked)
	}
	r.finishDial(u, began, result)
	r.endLostRuns(ctx, u)
}

// suspectPath notes that nothing has arrived from an upstream since a time, and verifies some others.
func (r *Relay) suspectPath(u balance.Upstream, since time.Duration) {
	r.mu.Lock()
	samples := r.fleet.SuspectPath(r.now(), since, u.Incarnation())
	r.mu.Unlock()
	r.samplePaths(u, since, samples)
}

// samplePaths verifies paths to upstreams of the service of one that does not answer. If none answers
// soon, all paths to the service are in doubt.
func (r *Relay) samplePaths(u balance.Upstream, since time.Duration, samples []balance.Upstream) {
	if len(samples) == 0 {
		return
	}
	wait := time.Duration(0)
	for _, s := range samples {
		wait = max(wait, r.verificationWait(s.Domain))
		r.startSample(s)
	}
	time.AfterFunc(wait, func() { r.doubtUnanswered(u, since, len(samples)) })
}

// doubtUnanswered puts all paths to the service of an upstream in doubt if none has answered since a time.
func (r *Relay) doubtUnanswered(u balance.Upstream, since time.Duration, sampled int) {
	r.mu.Lock()
	count := r.fleet.DoubtUnanswered(r.now(), since, u.Service)
	r.mu.Unlock()
	r.cfg.Log.Event("upstream", "paths sampled", Fields{"upstream": u.ID, "born": u.StartedAt, "service": u.Service, "sampled": sampled, "to_verify": count,
		"silent_ms": (r.now() - since).Milliseconds()})
}

// endLostRuns ends the runs on an unreachable upstream whose requests are not acknowledged: those that may
// run again at once, the others if another box reaches the upstream.
func (r *Relay) endLostRuns(ctx context.Context, u balance.Upstream) {
	inc := u.Incarnation()
	if left := r.closeUnackedRuns(inc, false); left > 0 && r.reachedByOther(ctx, u) {
		r.closeUnackedRuns(inc, true)
	}
}

// closeUnackedRuns closes the connections of runs whose requests an unreachable upstream has not
// acknowledged, and returns how many are left because they may run only once and all is not set.
func (r *Relay) closeUnackedRuns(inc balance.Incarnation, all bool) (left int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fleet.IsUnreachable(inc) {
		return 0
	}
	for x, c := range r.runConns {
		switch {
		case c.incarnation != inc || c.tunnel() != nil || c.sentAt.Load() == 0 || unacked(c.Conn.(syscall.Conn)) == 0:
		case all || x.route.CanRepeat():
			x.silent.Store(true)
			_ = c.Close()
			r.stats.count("runs_lost_on_path")
		default:
			left++
		}
	}
	return left
}
