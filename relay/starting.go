package relay

// This file defines what becomes of requests that a box takes before it knows the document. The
// invariant: one is held for a bounded time, with nothing sent anywhere, so that a refusal after
// it is true.

import (
	"net"
	"time"

	"github.com/doormast/doormast/route"
)

const (
	// startHold is the longest that such a request waits: a box that starts among others has the
	// document well within it.
	startHold = 500 * time.Millisecond
	// startShare is the part of what its caller waits that it may take of that.
	startShare = 4
)

// awaitDocument returns the document in force; nil where none comes in time, or the caller, whose
// connection is given, leaves before. Callers of a box that has just started have mostly been cut
// off by its end, and their next attempt is often the last: a refusal that comes 0.2 s before the
// box could serve loses the request.
func (r *Relay) awaitDocument(q *request, conn net.Conn) (doc *route.Document, left bool) {
	if d := r.published.document(); d != nil {
		return d, false
	}
	hold := startHold
	if q.timeLeft > 0 {
		hold = min(hold, q.timeLeft/startShare)
	}
	r.stats.count("held_starting")
	timer := time.NewTimer(hold)
	defer timer.Stop()
	gone := make(chan struct{})
	watch := watchLeave(conn, func() { close(gone) })
	select {
	case <-r.published.ready:
	case <-timer.C:
	case <-gone:
	}
	watch.stop()
	return r.published.document(), watch.gone.Load()
}
