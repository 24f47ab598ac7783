package relay

// This file defines how closely a stream's events followed each other, as the box passed
// them on. The invariant: only pauses between events of one answer count, not the wait for
// the first.

import "time"

// recentWeight is the share of the newest pause in the mean of those of late.
const recentWeight = 0.25

// pace measures the pauses between events.
type pace struct {
	last    time.Time // when events last came; zero before the first
	longest time.Duration
	recent  time.Duration // of late, from one event to the next
	late    int           // pauses that were longer than the route allows
}

// observe takes in that observe came; allowed is the longest pause that is in time, 0 where
// none is stated.
func (p *pace) observe(now time.Time, allowed time.Duration) {
	if !p.last.IsZero() {
		pause := now.Sub(p.last)
		p.longest = max(p.longest, pause)
		p.recent += time.Duration(recentWeight * float64(pause-p.recent))
		if allowed > 0 && pause > allowed {
			p.late++
		}
	}
	p.last = now
}
