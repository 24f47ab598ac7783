package decide

// This file defines the notices in upstreams' answers: that an upstream is shutting down,
// and how long it wants no requests. The invariants: a report cannot revoke a notice of
// the same incarnation of the upstream until leavingTimeout has passed; of several
// pauses the latest end applies.

import "time"

// AnswerNotice is a notice from an upstream's answers to one or more boxes.
type AnswerNotice struct {
	Leaving bool          // the upstream is shutting down
	Pause   time.Duration // from now, how long the upstream wants no requests; 0 is no pause
	Age     time.Duration // time since the answer
}

// HasContent reports whether the notice contains anything.
func (n AnswerNotice) HasContent() bool { return n.Leaving || n.Pause > 0 }

// ApplyNotice applies a notice to an upstream. Notices of unknown upstreams are ignored.
func (p *Pool) ApplyNotice(now Time, upstream string, n AnswerNotice) {
	b := p.byName[upstream]
	if b == nil || !n.HasContent() {
		return
	}
	if n.Leaving {
		p.noteLeaving(b, now-n.Age)
	}
	if end := now + n.Pause; n.Pause > 0 && end > b.pausedUntil {
		b.pausedUntil, b.availableSince = end, end // ramp up after the pause, as after a break
		p.recallPending = true                     // slots retained there must not be used during the pause
	}
	p.refreshed = now - refreshInterval
}

// leavingTimeout is how long after its notice an upstream has certainly ended. A later
// report that it is not shutting down is from a new incarnation, even if the upstream
// sends no counter that shows the restart.
const leavingTimeout = time.Minute

// noteLeaving records that an answer at the given time said that its upstream is shutting
// down.
func (p *Pool) noteLeaving(b *backend, at Time) {
	p.recallPending = p.recallPending || !b.isLeaving() // retained slots must not be used again
	b.leavingByAnswer, b.leavingAt = true, max(b.leavingAt, at)
}

// updateLeaving applies a report's statement of whether the upstream is shutting down.
func (p *Pool) updateLeaving(b *backend, r Report) {
	p.recallPending = p.recallPending || r.Leaving && !b.isLeaving()
	b.leavingByReport = r.Leaving
	if since := b.reportAt - b.leavingAt; since > 0 && r.Restarted || since >= leavingTimeout {
		b.leavingByAnswer = r.Leaving
	}
}

// isLeaving reports whether the upstream has said that it is shutting down and takes no new
// requests.
func (b *backend) isLeaving() bool { return b.leavingByReport || b.leavingByAnswer }

// rampsUp reports whether the upstream gets its slots back gradually, because its circuit
// breaker was open or it asked for a pause.
func (b *backend) rampsUp() bool { return b.breakDuration > 0 || b.pausedUntil > 0 }

// remainingPause returns the time until the first paused upstream may be used again. It
// returns 0 if an upstream is usable now or none asked for a pause.
func (p *Pool) remainingPause(now Time) time.Duration {
	var least time.Duration
	for _, b := range p.backends {
		if b.limit > 0 {
			return 0
		}
		if left := b.pausedUntil - now; left > 0 && !b.Leaving && !b.isLeaving() && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
