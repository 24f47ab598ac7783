package cell

// This file defines the planned stop of a box. Invariant: from its start the
// box owns nothing, and it carries its requests to their end.

import (
	"time"

	"github.com/doormast/doormast/timeline"
)

// Drain starts a planned stop: the box gives up its sets and tells the other
// boxes, but continues with the requests that it carries.
func (n *Node) Drain(now time.Duration) {
	n.advanceTo(now)
	if n.draining {
		return
	}
	n.draining = true
	n.record(timeline.Event{Kind: timeline.Draining, Value: int64(len(n.requests))})
	n.members.announce()
	n.sendHeartbeat(n.members.live())
	n.updateOwners()
	n.flush()
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool { return n.draining }
