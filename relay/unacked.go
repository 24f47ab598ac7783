package relay

// This file defines how the box notices that the path to an upstream has fallen silent under a
// request that was sent on an open connection. The invariant: a request that is not acknowledged
// leads to a connection attempt, and only that decides; the request itself goes on, since a host may
// be silent for a second or so and then answer.

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/doormast/doormast/balance"
)

const (
	// unackedInterval is how often the box looks for requests that are not acknowledged.
	unackedInterval = 250 * time.Millisecond
	// minUnacked is how long a request must have been sent: a lost packet is sent again after
	// 0.2 s.
	minUnacked = balance.DialWait
)

// unackedLoop checks the paths of requests that are not acknowledged, until ctx ends.
func (r *Relay) unackedLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, unackedInterval)
		for _, u := range r.unackedUpstreams(time.Now()) {
			go r.checkPath(u)
		}
	}
}

// unackedUpstreams returns the upstreams to whose paths a request of this box has not been
// acknowledged for minUnacked, and that have answered nothing else meanwhile. Each run is considered
// once.
func (r *Relay) unackedUpstreams(now time.Time) []balance.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []balance.Upstream
	found := make(map[string]bool)
	for _, c := range r.runConns {
		waited := c.awaitsResponse(now)
		if waited < minUnacked || found[c.incarnation.ID] || r.fleet.HasAnswered(c.incarnation, r.now()-waited) {
			continue
		}
		c.checked = true // either all is acknowledged, or the path is checked now
		u, isListed := r.listedUpstream(c.incarnation.ID)
		if unacked(c.Conn.(syscall.Conn)) > 0 && isListed && u.Incarnation() == c.incarnation && !r.fleet.IsUnreachable(c.incarnation) {
			found[u.ID] = true
			list = append(list, u)
		}
	}
	return list
}

// awaitsResponse returns for how long the request on a direct connection has been sent without a
// response; 0 if there is a response, or the path was checked before. The caller holds the relay's mu.
func (c *conn) awaitsResponse(now time.Time) time.Duration {
	sent := c.sentAt.Load()
	if sent == 0 || c.checked || c.tunnel() != nil {
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

// checkPath tries to connect to an upstream, and records what that says about the path.
func (r *Relay) checkPath(u balance.Upstream) {
	began := r.now()
	result := make(chan dialResult, 1)
	c, err := dial(context.Background(), u.Address)
	result <- dialResult{c, err}
	r.stats.count("paths_checked")
	r.finishDial(u, began, result)
}
