package group

// This file defines how a box notices that it stood still: the machine was suspended,
// frozen or starved. Messages that came meanwhile waited unread, so that the ages in them
// are too low by as much. The invariant: the age of what is known is not taken from a
// message that may have waited.

import "time"

const (
	// standstillFrom is the gap between two ticks from which on a box has stood still; ticks
	// are 100 ms apart.
	standstillFrom = 500 * time.Millisecond
	// drainFor is how long after the first tick that follows messages may come that have
	// waited: those in the socket's buffer are read at once.
	drainFor = 100 * time.Millisecond
)

// noteTick notes a tick, and with it whether the box stood still before.
func (n *Node) noteTick(now time.Duration) {
	if n.stoodStill(now) {
		n.wokeAt = now
	}
	n.lastTick = now
}

// stoodStill reports whether a tick is so late that the box must have stood still.
func (n *Node) stoodStill(now time.Duration) bool { return now-n.lastTick > standstillFrom }

// agesHold reports whether the ages in a message that is read now can be believed.
func (n *Node) agesHold(now time.Duration) bool {
	return !n.stoodStill(now) && now-n.wokeAt >= drainFor
}
