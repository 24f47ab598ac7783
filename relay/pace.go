package relay

// This file defines how the pauses between a stream's events are measured when the box forwards them.
// The invariant: only pauses between events of one response count, not the wait for the first event.

import "time"

// recentWeight is the weight of the newest pause in the moving average of the pauses.
const recentWeight = 0.25

// pace measures the pauses between a stream's events.
type pace struct {
	last    time.Time // when events last arrived; zero before the first
	longest time.Duration
	recent  time.Duration // moving average of the pauses
	late    int           // pauses that were longer than the route allows
}

// observe records that events arrived. A pause longer than allowed is counted as late; 0: no limit.
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
