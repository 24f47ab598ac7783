package balance

// This file estimates how long a request waits for a slot of an upstream when the slots are held
// by running streams and not by prompts to be read. Invariant: a request never waits for less
// urgent ones, since upstreams preempt those for it.

import (
	"math"
	"time"
)

const (
	// holdDecay is the time constant of the average hold time.
	holdDecay = 10 * time.Second
	// maxHoldTime bounds that average; no caller waits longer for the end of its answer.
	maxHoldTime = time.Minute
)

// holding estimates how long requests of a service hold a slot, from this box's own requests: the
// total hold time, including requests that still run, divided by the number of completed ones.
// Without the running ones, the first requests to complete would make slots seem to become free
// soon: a box that had just started queued streams at full upstreams until their callers
// disconnected.
type holding struct {
	running   int
	heldTime  float64       // in ns, summed over requests
	completed float64       // number of completed requests
	at        time.Duration // when the sums were last updated
}

// advance brings the sums up to now, decaying earlier contributions.
func (h *holding) advance(now time.Duration) {
	past := now - h.at
	left := math.Exp(-float64(past) / float64(holdDecay))
	h.heldTime = h.heldTime*left + float64(h.running)*float64(past)
	h.completed *= left
	h.at = now
}

// begin records that a request has got a slot, and end that it has released it.
func (h *holding) begin(now time.Duration) {
	h.advance(now)
	h.running++
}

func (h *holding) end(now time.Duration) {
	h.advance(now)
	h.running--
	h.completed++
}

// mean returns the average time that a slot is held.
func (h *holding) mean(now time.Duration) time.Duration {
	h.advance(now)
	return min(time.Duration(h.heldTime/max(h.completed, 1)), maxHoldTime)
}

// slotWait returns the wait for a slot at an upstream, expressed as the tokens that could be read
// in that time. It distinguishes an upstream whose slots are all held by streams from a free one,
// which also has little to read. While all slots are held, they become free one after the other.
func (f *Fleet) slotWait(now time.Duration, m *member, urgency int) int {
	excess := m.work.upTo(urgency).Requests + m.remoteWork.upTo(urgency).Requests + 1 - m.Slots
	if excess <= 0 || m.Slots == 0 || f.cfg.Off[Slots] {
		return 0
	}
	holdTime := f.serviceOf(m.Service).holding.mean(now)
	wait := float64(holdTime) / float64(time.Millisecond) * float64(excess) / float64(m.Slots)
	return int(wait * f.prefillRate)
}

// backlog returns the tokens that an upstream can read before a request with the given urgency
// gets its first token there: the unread tokens ahead of it and the wait for a slot.
func (f *Fleet) backlog(now time.Duration, m *member, urgency int) int {
	return m.unreadAhead(urgency) + f.slotWait(now, m, urgency)
}
