package decide

// This file defines when a request is refused, and what a refusal says. The
// invariant: nothing of a lower tier that could have given way is left, which the
// refusal itself gives evidence of.

import (
	"container/heap"
	"time"
)

// fitQueues refuses the newest of what waits beyond limits that were lowered.
func (p *Pool) fitQueues(now Time) {
	for _, c := range p.classes {
		for c.rule.Queue > 0 && c.waiting > c.rule.Queue {
			p.refuse(now, c.tail(), OverClassLimit)
		}
	}
}

// admit says why a new bid cannot wait here, or NoReason. A request that comes
// back after a pause was admitted before and is not asked again.
func (p *Pool) admit(now Time, w *waiter) Reason {
	rule := &w.class.rule
	if w.bid.Resume != "" {
		return NoReason
	}
	if rule.Queue > 0 && w.class.waiting >= rule.Queue {
		return OverClassLimit
	}
	if p.cfg.Queue > 0 && len(p.waiting) >= p.cfg.Queue && !p.evict(now, rule.Tier) {
		return QueueFull
	}
	if rule.Refuse && !p.inTime(now, w) {
		return Late
	}
	return NoReason
}

// evict refuses one request of a tier lower than tier, the lowest there is, and
// reports whether there was one.
func (p *Pool) evict(now Time, tier int) bool {
	for i := len(p.classes) - 1; i >= 0 && p.classes[i].rule.Tier > tier; i-- {
		if c := p.classes[i]; c.waiting > 0 {
			p.refuse(now, c.tail(), Evicted)
			return true
		}
	}
	return false
}

// inTime reports whether a new request can still meet its first-token target.
// While something of a lower tier runs that could be paused for it, it can.
func (p *Pool) inTime(now Time, w *waiter) bool {
	limit := p.waitLimit(w.class)
	if now-w.arrived >= limit {
		return false
	}
	ahead := 0
	for _, c := range p.classes {
		if c.rule.Tier <= w.class.rule.Tier {
			ahead += c.waiting
		}
	}
	if p.pausable(w.class.rule.Tier) > ahead {
		return true
	}
	return now-w.arrived+p.expectedWait(now, w.class) <= limit
}

// waitLimit is how long a request of the class may wait and still have its first
// token in time. An upstream's own time for that is taken off, but never more
// than half, so that a slow upstream does not close the class.
func (p *Pool) waitLimit(c *classQueue) time.Duration {
	return c.rule.FirstToken - min(p.first, c.rule.FirstToken/2)
}

// expectedWait is how long a new request of the class would wait: what is ahead
// of it in higher tiers and, by the class's share, in its own, over the pace at
// which the pool gets through work.
func (p *Pool) expectedWait(now Time, class *classQueue) time.Duration {
	p.freshen(now)
	higher, same, weights := 0.0, 0.0, 0.0
	for _, c := range p.classes {
		switch {
		case c.rule.Tier < class.rule.Tier:
			higher += c.work
		case c.rule.Tier == class.rule.Tier && (c.waiting > 0 || c == class):
			same += c.work
			weights += c.rule.Weight
		}
	}
	own := class.work * weights / class.rule.Weight
	seconds := (higher + min(same, own)) / p.rate
	if class.rule.Floor > 0 {
		// Whatever the tiers do, the floor gets through the class's own work.
		seconds = min(seconds, class.work/(class.rule.Floor*p.rate))
	}
	return time.Duration(seconds * float64(time.Second))
}

// schedule files when something has to be done about a waiter: its caller's
// deadline passes, or its target does.
func (p *Pool) schedule(w *waiter) {
	w.target = w.arrived + p.waitLimit(w.class)
	w.expires = never
	if w.bid.Remaining > 0 {
		w.expires = w.offered + w.bid.Remaining
	}
	if !w.late {
		w.expires = min(w.expires, w.target)
	}
	if w.index >= 0 {
		heap.Fix(&p.expiry, w.index)
	} else if w.expires != never {
		heap.Push(&p.expiry, w)
	}
}

// expire deals with the waiters whose moment has come.
func (p *Pool) expire(now Time) {
	for len(p.expiry) > 0 && p.expiry[0].expires <= now {
		w := p.expiry[0]
		deadline := w.bid.Remaining > 0 && now >= w.arrived+w.bid.Waited+w.bid.Remaining
		if deadline || w.class.rule.Refuse && w.bid.Resume == "" {
			p.refuse(now, w, Late)
			continue
		}
		heap.Pop(&p.expiry)
		w.class.delay(w)
		p.schedule(w)
	}
}

// refuseNew refuses a bid that was never let in. One whose target passes before
// anything could give way for it is late by itself, so it needs no evidence.
func (p *Pool) refuseNew(now Time, w *waiter, reason Reason) {
	v := Verdict{Kind: RefuseBid, ID: w.bid.ID, Box: w.bid.Box, Class: w.bid.Class, Reason: reason}
	if w.class != nil {
		v.Tier = w.class.rule.Tier
		if now < w.target || now-max(w.offered, p.learnt) >= giveWayTime {
			p.evidence(now, &v)
		}
		v.RetryAfter = p.retryAfter(now, w.class)
	} else {
		v.RetryAfter = time.Second
	}
	p.verdicts = append(p.verdicts, v)
}

// refuse refuses a request that waits.
func (p *Pool) refuse(now Time, w *waiter, reason Reason) {
	w.class.forget(w)
	p.drop(w)
	p.refuseNew(now, w, reason)
}

// evidence counts what of a lower tier could have given way to w.
func (p *Pool) evidence(now Time, v *Verdict) {
	switch v.Reason {
	case QueueFull, Evicted:
		for _, c := range p.classes {
			if c.rule.Tier > v.Tier {
				v.LowerWaiting += c.waiting
			}
		}
	case Late:
		ahead := 0
		for _, c := range p.classes {
			if c.rule.Tier <= v.Tier {
				ahead += c.waiting
			}
		}
		v.LowerRunning = max(0, p.pausable(v.Tier)-p.recent(now, v.Tier)-ahead)
	}
}

// retryAfter tells a caller when to come back: once what waits now will have
// been worked off, with jitter so that those refused together do not return
// together.
func (p *Pool) retryAfter(now Time, class *classQueue) time.Duration {
	wait := max(p.expectedWait(now, class), time.Second)
	if left := p.pauseLeft(now); left > 0 {
		wait = left
	}
	return wait + time.Duration(p.random.Float64()*float64(wait)/2)
}
