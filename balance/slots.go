package balance

// This file defines how long a request waits for one of an upstream's slots, when streams
// fill it rather than prompts that are to be read. The invariant: a request never waits
// for those that are less urgent, since upstreams put them back for it.

import (
	"math"
	"time"
)

const (
	// heldMemory is the time over which the time that slots are held is averaged.
	heldMemory = 10 * time.Second
	// heldMost bounds that mean: beyond it no caller waits for the end of its answer.
	heldMost = time.Minute
)

// holding is how long requests of a service hold a slot, as this box's own show: the time
// that all have held one, those that go on included, by how many have ended. Without those
// that go on, the first to end would make slots seem to come free soon: a box that had just
// started queued streams at full upstreams until their callers left.
type holding struct {
	running int
	slots   float64 // time that was held, summed over requests
	ended   float64 // requests
	at      time.Duration
}

// advance brings the sums up to date; what is past counts less.
func (h *holding) advance(now time.Duration) {
	past := now - h.at
	left := math.Exp(-float64(past) / float64(heldMemory))
	h.slots = h.slots*left + float64(h.running)*float64(past)
	h.ended *= left
	h.at = now
}

// begin notes that a request has got a slot, and end that it has left it.
func (h *holding) begin(now time.Duration) {
	h.advance(now)
	h.running++
}

func (h *holding) end(now time.Duration) {
	h.advance(now)
	h.running--
	h.ended++
}

// mean is how long a slot is held.
func (h *holding) mean(now time.Duration) time.Duration {
	h.advance(now)
	return min(time.Duration(h.slots/max(h.ended, 1)), heldMost)
}

// queued tells a place where streams hold all slots from one that only looks free since
// little is to be read there. It is what could be read at an upstream, in tokens,
// until a request with the urgency gets a slot there: slots come free one after the other
// while all are held.
func (f *Fleet) queued(now time.Duration, m *member, urgency int) int {
	over := m.work.upTo(urgency).Open + m.others.upTo(urgency).Open + 1 - m.Slots
	if over <= 0 || m.Slots == 0 || f.cfg.Off[Slots] {
		return 0
	}
	held := f.serviceOf(m.Service).holding.mean(now)
	wait := float64(held) / float64(time.Millisecond) * float64(over) / float64(m.Slots)
	return int(wait * f.rate)
}

// backlog is what is read before a request with the urgency gets its first token at an
// upstream, in tokens.
func (f *Fleet) backlog(now time.Duration, m *member, urgency int) int {
	return m.ahead(urgency) + f.queued(now, m, urgency)
}
