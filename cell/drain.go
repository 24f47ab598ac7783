package cell

// This file defines the planned stop of a box. The invariant: it owns nothing from then on, and carries what it has to its end.

import (
	"time"

	"github.com/doormast/doormast/timeline"
)

// Drain begins a planned stop: the box gives up what it owns and tells the
// others, but goes on with what it carries.
func (n *Node) Drain(now time.Duration) {
	n.at(now)
	if n.draining {
		return
	}
	n.draining = true
	n.record(timeline.Event{Kind: timeline.Draining, Value: int64(len(n.locals))})
	n.members.announce()
	n.sendHeartbeat(n.members.live())
	n.reown()
	n.flush()
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool { return n.draining }
