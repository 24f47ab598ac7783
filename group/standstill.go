package group

// This file defines how a box notices that it stood still: the machine was suspended,
// frozen or starved. Messages that came meanwhile waited unread, so that the ages in them
// are too low by as much. The invariant: no age is believed of a message that may have
// waited.

import "time"

const (
	// pauseFrom is the gap between two ticks from which on a box has stood still; ticks
	// are 100 ms apart.
	pauseFrom = 500 * time.Millisecond
	// drainFor is how long after that messages may come that have waited: those in the
	// socket's buffer are read at once.
	drainFor = 100 * time.Millisecond
)

// noteTick notes a tick, and with it whether the box stood still before.
func (n *Node) noteTick(now time.Duration) {
	if n.stoodStill(now) {
		n.wokeAt = now
	}
	n.lastTick = now
}

func (n *Node) stoodStill(now time.Duration) bool { return now-n.lastTick > pauseFrom }

// agesCount reports whether the ages in a message that is read now can be believed.
func (n *Node) agesCount(now time.Duration) bool {
	return !n.stoodStill(now) && now-n.wokeAt >= drainFor
}
