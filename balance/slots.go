package balance

// This file defines how long a request waits for one of an upstream's slots, when streams
// fill it rather than prompts that are to be read. The invariant: a request never waits
// for those that are less urgent, since upstreams put them back for it.

import "time"

// heldMemory is how many requests the mean time that a slot is held goes back to.
const heldMemory = 20

// learnHeld takes in how long a request held its slot.
func (l *lanes) learnHeld(held time.Duration) { l.held += (held - l.held) / heldMemory }

// queued tells a place where streams hold all slots from one that only looks free since
// little is to be read there (0.013 of worth over five days with trouble, 0.03 on the day
// with the greatest burst of streams). It is what could be read at an upstream, in tokens, until a request with the
// urgency gets a slot there: slots come free one after the other while all are held.
func (f *Fleet) queued(m *member, urgency int) int {
	over := m.work.upTo(urgency).Open + m.others.upTo(urgency).Open + 1 - m.Slots
	if over <= 0 || m.Slots == 0 || f.cfg.Off[Slots] {
		return 0
	}
	wait := float64(f.lanesOf(m.Service).held.Milliseconds()) * float64(over) / float64(m.Slots)
	return int(wait * f.rate)
}

// backlog is what is read before a request with the urgency gets its first token at an
// upstream, in tokens.
func (f *Fleet) backlog(m *member, urgency int) int { return m.ahead(urgency) + f.queued(m, urgency) }
