package group

// This file defines how a box detects that it was suspended, because the machine was paused,
// frozen or starved of CPU. Messages received meanwhile waited unread, so the ages in them are
// too low by that time. The invariant: the age of the published data is never taken from a
// message that may have waited.

import "time"

const (
	// suspensionThreshold is the gap between two ticks from which a box counts as suspended.
	// Ticks are 100 ms apart.
	suspensionThreshold = 500 * time.Millisecond
	// resumeDrainPeriod is how long after the next tick messages that waited may still be read.
	// The socket buffer is drained at once.
	resumeDrainPeriod = 100 * time.Millisecond
)

// recordTick records the time of a tick, and whether the box was suspended before it.
func (n *Node) recordTick(now time.Duration) {
	if n.wasSuspended(now) {
		n.resumedAt = now
	}
	n.lastTick = now
}

// wasSuspended reports whether a tick is so late that the box must have been suspended.
func (n *Node) wasSuspended(now time.Duration) bool { return now-n.lastTick > suspensionThreshold }

// agesAreValid reports whether the ages in a message read now are reliable.
func (n *Node) agesAreValid(now time.Duration) bool {
	return !n.wasSuspended(now) && now-n.resumedAt >= resumeDrainPeriod
}
