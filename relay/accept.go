package relay

// This file defines how connections are accepted. The invariants: a failure to accept, such as a lack
// of descriptors, ends no server; and a box that cannot accept callers does not report that it is
// ready.

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

const (
	// acceptRetryInterval is the time between two attempts to accept a connection after a failure.
	acceptRetryInterval = 20 * time.Millisecond
	// acceptFailureHold is how long after its last failure a listener counts as failing. An attempt
	// that does not fail waits for a connection, which a box that is not ready does not get.
	acceptFailureHold = 10 * acceptRetryInterval
)

// acceptFailures counts failures to accept a connection.
const acceptFailures = "accept_failures"

// acceptor is a listener that only fails once it is closed.
type acceptor struct {
	net.Listener
	relay   *Relay
	serves  string       // whom it accepts, for the log
	failed  atomic.Int64 // when it last failed, Unix ns
	failing atomic.Bool  // it has failed, and not accepted a connection since
}

var _ net.Listener = (*acceptor)(nil)

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		c, err := a.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			a.noteSuccess()
			return c, err
		}
		a.noteFailure(err)
		time.Sleep(acceptRetryInterval)
	}
}

// isFailing reports whether connections cannot be accepted at present.
func (a *acceptor) isFailing() bool {
	return time.Now().UnixNano()-a.failed.Load() < int64(acceptFailureHold)
}

// noteFailure records a failure. Only the first one of a series is logged.
func (a *acceptor) noteFailure(err error) {
	a.failed.Store(time.Now().UnixNano())
	a.relay.stats.count(acceptFailures)
	if !a.failing.Swap(true) {
		a.relay.cfg.Log.Event("box", "cannot accept", Fields{"serves": a.serves, "error": err.Error(), "open": a.relay.stats.openRequests.Load()})
	}
}

// noteSuccess records the end of a series of failures.
func (a *acceptor) noteSuccess() {
	a.failed.Store(0)
	if a.failing.Swap(false) {
		a.relay.cfg.Log.Event("box", "accepts again", Fields{"serves": a.serves})
	}
}
