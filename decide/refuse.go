package decide

// This file defines when a request is refused and what the refusal contains. The
// invariant: no request of a lower tier could have given way instead. Each refusal
// carries the counts that prove it.

import (
	"container/heap"
	"time"
)

// fitQueues refuses requests of classes whose queue limit was lowered below the
// number of waiting requests.
func (p *Pool) fitQueues(now Time) {
	for _, c := range p.classes {
		for c.rule.Queue > 0 && c.waiting > c.rule.Queue {
			p.refuse(now, c.tail(), OverClassLimit)
		}
	}
}

// admit returns the reason why a new bid cannot wait here, or NoReason. A request that
// resumes after a pause was admitted before and is always accepted.
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
	if rule.RefuseLate && !p.canMeetTarget(now, w) {
		return Late
	}
	return NoReason
}

// evict refuses one waiting request of the lowest tier below tier, and reports whether
// there was one.
func (p *Pool) evict(now Time, tier int) bool {
	for i := len(p.classes) - 1; i >= 0 && p.classes[i].rule.Tier > tier; i-- {
		if c := p.classes[i]; c.waiting > 0 {
			p.refuse(now, c.tail(), Evicted)
			return true
		}
	}
	return false
}

// canMeetTarget reports whether a new request can still meet its first-token target.
// It can if enough running requests of lower tiers could be paused for it.
func (p *Pool) canMeetTarget(now Time, w *waiter) bool {
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

// waitLimit returns how long a request of the class may wait and still get its first
// token in time. The upstream's average time to first token is subtracted, but at most
// half of the target, so that a slow upstream does not cause the class to be refused
// altogether.
func (p *Pool) waitLimit(c *classQueue) time.Duration {
	return c.rule.FirstToken - min(p.timeToFirstToken, c.rule.FirstToken/2)
}

// expectedWait estimates how long a new request of the class would wait: the work
// ahead of it in higher tiers and, by the class's share, in its own tier, divided by
// the pool's token rate.
func (p *Pool) expectedWait(now Time, class *classQueue) time.Duration {
	p.refreshIfStale(now)
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
		// The floor serves the class's own work regardless of the tiers.
		seconds = min(seconds, class.work/(class.rule.Floor*p.rate))
	}
	return time.Duration(seconds * float64(time.Second))
}

// schedule sets when a waiter must be handled next: at the caller's deadline or at its
// target, whichever is earlier.
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

// expire handles the waiters that are due. Requests past their deadlines are refused,
// and so are those past their targets if the class refuses late requests; others move
// to the late queue.
func (p *Pool) expire(now Time) {
	for len(p.expiry) > 0 && p.expiry[0].expires <= now {
		w := p.expiry[0]
		deadline := w.bid.Remaining > 0 && now >= w.arrived+w.bid.Waited+w.bid.Remaining
		if deadline || w.class.rule.RefuseLate && w.bid.Resume == "" {
			p.refuse(now, w, Late)
			continue
		}
		heap.Pop(&p.expiry)
		w.class.markLate(w)
		p.schedule(w)
	}
}

// refuseNew refuses a bid that is not in the queue. If its target passes before any
// running request could have given way, no lower-tier counts are recorded.
func (p *Pool) refuseNew(now Time, w *waiter, reason Reason) {
	v := Verdict{Kind: RefuseBid, ID: w.bid.ID, Box: w.bid.Box, Class: w.bid.Class, Reason: reason}
	if w.class != nil {
		v.Tier = w.class.rule.Tier
		if now < w.target || now-max(w.offered, p.lastAdopted) >= preemptTime {
			p.countPreemptible(now, &v)
		}
		v.RetryAfter = p.retryAfter(now, w.class)
	} else {
		v.RetryAfter = time.Second
	}
	p.verdicts = append(p.verdicts, v)
}

// refuse removes a waiting request and refuses it.
func (p *Pool) refuse(now Time, w *waiter, reason Reason) {
	w.class.removeWaiter(w)
	p.removeWaiter(w)
	p.refuseNew(now, w, reason)
}

// countPreemptible sets the numbers of lower-tier requests that could have given way
// to the refused request.
func (p *Pool) countPreemptible(now Time, v *Verdict) {
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
		v.LowerRunning = max(0, p.pausable(v.Tier)-p.recentlyGranted(now, v.Tier)-ahead)
	}
}

// retryAfter returns when a refused caller should retry: after the expected wait of
// the class, or when the first paused upstream returns. Jitter of up to half of that
// time prevents callers that were refused together from retrying together.
func (p *Pool) retryAfter(now Time, class *classQueue) time.Duration {
	wait := max(p.expectedWait(now, class), time.Second)
	if left := p.remainingPause(now); left > 0 {
		wait = left
	}
	return wait + time.Duration(p.random.Float64()*float64(wait)/2)
}
