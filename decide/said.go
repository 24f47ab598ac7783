package decide

// This file defines what upstreams say of themselves in their answers: that they are leaving, and for how long they want no requests.
// The invariants: what an upstream said in an answer is not taken back by a report of the same start of it; and of several pauses the
// latest end counts.

import "time"

// AnswerNotice is what an upstream said in an answer to a box, or to several since.
type AnswerNotice struct {
	Leaving bool
	Pause   time.Duration // for so long from now it wants no requests; 0: it asked for none
	Age     time.Duration // since the answer
}

// Any reports whether it said anything.
func (s AnswerNotice) Any() bool { return s.Leaving || s.Pause > 0 }

// ApplyNotice takes in what an upstream said in an answer.
func (p *Pool) ApplyNotice(now Time, upstream string, s AnswerNotice) {
	b := p.byName[upstream]
	if b == nil || !s.Any() {
		return
	}
	if s.Leaving {
		p.saysLeaving(b, now-s.Age)
	}
	if till := now + s.Pause; s.Pause > 0 && till > b.pausedTill {
		b.pausedTill, b.since = till, till // it gets more by and by, as after a break
		p.recallNow = true                 // what is kept there must not be used meanwhile
	}
	p.refreshed = now - refreshEvery
}

// leavesWithin is how long after an upstream said that it is leaving it has ended for sure: a report that it is not is then one of
// another start, also where it counts nothing.
const leavesWithin = time.Minute

// saysLeaving notes that an answer that came at a moment says that its upstream is leaving.
func (p *Pool) saysLeaving(b *backend, at Time) {
	p.recallNow = p.recallNow || !b.leaves() // what is kept there must not be used again
	b.saysLeaving, b.saidLeaving = true, max(b.saidLeaving, at)
}

// reportsLeaving takes in whether a report says that its upstream is leaving.
func (p *Pool) reportsLeaving(b *backend, r Report) {
	p.recallNow = p.recallNow || r.Leaving && !b.leaves()
	b.draining = r.Leaving
	if since := b.reportAt - b.saidLeaving; since > 0 && r.Restarted || since >= leavesWithin {
		b.saysLeaving = r.Leaving
	}
}

// leaves reports whether an upstream takes no new requests, by its own word.
func (b *backend) leaves() bool { return b.draining || b.saysLeaving }

// returns reports whether an upstream gets more by and by: it was out, or had asked for a pause.
func (b *backend) returns() bool { return b.broken > 0 || b.pausedTill > 0 }

// pauseLeft is how long it takes until an upstream may be used again; 0 where one can be, or none asked for a pause.
func (p *Pool) pauseLeft(now Time) time.Duration {
	var least time.Duration
	for _, b := range p.backends {
		if b.limit > 0 {
			return 0
		}
		if left := b.pausedTill - now; left > 0 && !b.Leaving && !b.leaves() && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
