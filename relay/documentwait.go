package relay

// This file defines how requests are handled that arrive before the box has a routing document and
// knows what the running boxes know: which contents are withheld, and the limits of upstreams. The
// invariant: such a request waits for a bounded time and is sent to no upstream meanwhile, so that a
// refusal may state that it did not run.

import (
	"net"
	"time"

	"github.com/doormast/doormast/route"
)

const (
	// maxDocumentWait is the maximum time that such a request waits; a box that starts beside running
	// ones gets the document well within it.
	maxDocumentWait = 500 * time.Millisecond
	// documentWaitDivisor limits the wait to a fraction of the time that the caller waits.
	documentWaitDivisor = 4
)

// mayPlace reports whether there is a document and the box no longer lacks entries of the others.
func (r *Relay) mayPlace() bool {
	select {
	case <-r.members.informed:
		return r.published.document() != nil
	default:
		return false
	}
}

// awaitDocument returns the current document; nil if none arrives in time or if the caller disconnects
// first. Most callers of a box that has just started lost their connection when its previous process
// ended, and their next attempt is often the last: a refusal sent 0.2 s before the box could serve
// would fail the request.
func (r *Relay) awaitDocument(q *request, conn net.Conn) (doc *route.Document, disconnected bool) {
	if r.mayPlace() {
		return r.published.document(), false
	}
	maxWait := maxDocumentWait
	if q.timeLeft > 0 {
		maxWait = min(maxWait, q.timeLeft/documentWaitDivisor)
	}
	r.stats.count("held_starting")
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	callerGone := make(chan struct{})
	watch := watchDisconnect(conn, func() { close(callerGone) })
	for _, arrived := range []<-chan struct{}{r.published.ready, r.members.informed} {
		select {
		case <-arrived:
			continue
		case <-timer.C:
		case <-callerGone:
		}
		break
	}
	watch.stop()
	return r.published.document(), watch.disconnected.Load()
}
