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

// acceptRetryInterval is the time between two attempts to accept a connection after a failure.
const acceptRetryInterval = 20 * time.Millisecond

// acceptFailures counts failures to accept a connection.
const acceptFailures = "accept_failures"

// acceptor is a listener that only fails once it is closed.
type acceptor struct {
	net.Listener
	relay   *Relay
	serves  string // whom it accepts, for the log
	failing atomic.Bool
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

// noteFailure records a failure. Only the first one of a series is logged.
func (a *acceptor) noteFailure(err error) {
	a.relay.stats.count(acceptFailures)
	if !a.failing.Swap(true) {
		a.relay.cfg.Log.Event("box", "cannot accept", Fields{"serves": a.serves, "error": err.Error(), "open": a.relay.stats.openRequests.Load()})
	}
}

// noteSuccess records the end of a series of failures.
func (a *acceptor) noteSuccess() {
	if a.failing.Swap(false) {
		a.relay.cfg.Log.Event("box", "accepts again", Fields{"serves": a.serves})
	}
}
