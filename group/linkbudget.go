package group

// This file defines linkBudget, which keeps lists of boxes from filling a box's link. The invariant:
// the messages that it covers take at most listShare of the link, and as much more as helps
// listBurst at the beginning, so that heartbeats are not delayed.

import "time"

const (
	// listShare is the share of the link's capacity that each kind of list may take.
	listShare = 0.25
	// listBurst is the time whose share may be used at once.
	listBurst = 200 * time.Millisecond
)

// linkBudget limits the bytes of one kind of message.
type linkBudget struct {
	left      float64       // bytes that may be sent now; if not positive, none until it is
	updatedAt time.Duration // when left was last computed
}

// take reports whether a message may be sent over a link of rate bytes per second, and counts it. A
// rate of 0 is unknown, and nothing is limited.
func (b *linkBudget) take(now time.Duration, rate float64, size int) bool {
	if rate == 0 {
		return true
	}
	rate *= listShare
	b.left = min(b.left+rate*(now-b.updatedAt).Seconds(), rate*listBurst.Seconds())
	b.updatedAt = now
	if b.left <= 0 {
		return false
	}
	b.left -= float64(size)
	return true
}
