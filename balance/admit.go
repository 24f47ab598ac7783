package balance

// This file implements admission control: a placed request is refused when its expected wait
// exceeds the bound for its latency target. The invariant: a request whose prompt takes at least
// as long to prefill is never admitted at an upstream where a more urgent one was refused within
// the last refusalHold; everything queued ahead of the more urgent request is also ahead of the
// less urgent one.

import "time"

const (
	// retryAfterMin and retryAfterMax bound the delay after which a refused caller is told to
	// retry.
	retryAfterMin = 300 * time.Millisecond
	retryAfterMax = 3 * time.Second
	// refusalHold is how long a refusal limits less urgent requests to the bound of the refused
	// one: about the time until a refused caller has retried.
	refusalHold = time.Second
)

// Admission holds the caller's side of an admission decision.
type Admission struct {
	Target  time.Duration // latency target; 0: none
	Retried bool          // the caller retries after a refusal
}

// refusals holds, by urgency, when a request of a service was last refused and that request's
// latency target.
type refusals [UrgencyLevels]struct {
	at     time.Duration
	target time.Duration // 0: none was refused
}

// Admit reports whether a placed request is expected to be served within its latency target. If
// it is not, retryAfter is when the caller should try again: the time until the backlog has
// shrunk to half of what the request may wait for.
func (f *Fleet) Admit(now time.Duration, r Request, a Admission, c Choice) (retryAfter time.Duration, ok bool) {
	if a.Target == 0 || f.cfg.Off[AdmissionControl] {
		return 0, true
	}
	s := f.serviceOf(r.Service)
	s.classes.setTarget(r.Class, a.Target)
	wait := f.prefillTime(c.Backlog)
	own := f.waitBound(s, a, c)
	if wait <= min(own, f.waitBound(s, s.refusals.constrain(now, r.urgencyLevel(), a), c)) {
		return 0, true
	}
	if !f.cfg.Off[RefusalOrder] {
		s.refusals.record(now, r.urgencyLevel(), a.Target)
	}
	return min(max(wait-own/2, retryAfterMin), retryAfterMax), false
}

// waitBound returns how long a request may wait for the backlog ahead of it. While the upstreams
// have little to prefill on average, the bound is a fixed share of the latency target. It shrinks
// as their mean backlog grows, and the prefill time of the request itself then counts against it,
// which favors requests whose prompt is already cached and which delay others the least. A
// minimum wait always remains, so that long prompts are served too.
func (f *Fleet) waitBound(s *service, a Admission, c Choice) time.Duration {
	t := &f.cfg.Tuning
	calm := fraction(a.Target, t.AdmitShare)
	if a.Retried {
		calm = fraction(a.Target, t.AdmitRetryShare)
	}
	loaded := max(fraction(a.Target, t.AdmitLoadedShare)-f.prefillTime(c.Unread), fraction(a.Target, t.AdmitMinShare))
	load := min(float64(f.prefillTime(int(s.meanUnread)))/float64(fraction(a.Target, t.LoadedShare)), 1)
	return calm + fraction(loaded-calm, load)
}

// fraction returns the given share of a duration.
func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// constrain returns the terms on which a request is admitted while more urgent ones are being
// refused: the smallest latency target among them and its own, as on a first attempt.
func (r *refusals) constrain(now time.Duration, level int, a Admission) Admission {
	for _, x := range r[:level] {
		if x.target > 0 && now-x.at < refusalHold {
			a = Admission{Target: min(a.Target, x.target)}
		}
	}
	return a
}

// record notes a refusal.
func (r *refusals) record(now time.Duration, level int, target time.Duration) {
	r[level].at, r[level].target = now, target
}
