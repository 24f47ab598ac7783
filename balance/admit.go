package balance

// This file defines which requests are refused because they would come too late. The
// invariant: of two requests at the same upstream, the less urgent one is not taken
// where the more urgent one was refused within orderMemory, unless less is read for it: all
// that goes before the latter goes before the former.

import "time"

const (
	// The bounds of the time after which a refused caller shall come back.
	comeBackMin = 300 * time.Millisecond
	comeBackMax = 3 * time.Second
	// orderMemory is how long a refusal holds less urgent requests to its own bound: as
	// long as it takes until a caller that was refused has come back, as a rule.
	orderMemory = time.Second
)

// Admission is what is to be decided about a request that found a place.
type Admission struct {
	Target  time.Duration // its latency target; 0: none
	Retried bool          // it has come back after a refusal
}

// refusals is when requests of a service were last refused, and their latency target, by
// urgency.
type refusals [Levels]struct {
	at     time.Duration
	target time.Duration // 0: none was refused
}

// Admit decides whether a request that was placed will be served in time. If not, it
// also says when its caller should come back: once half of what may go before it has
// been read.
func (f *Fleet) Admit(now time.Duration, r Request, a Admission, c Choice) (after time.Duration, ok bool) {
	if a.Target == 0 || f.cfg.Off[AdmissionControl] {
		return 0, true
	}
	s := f.serviceOf(r.Service)
	s.classes.noteTarget(r.Class, a.Target)
	wait := f.readTime(c.Backlog)
	own := f.boundOf(s, a, c)
	if wait <= min(own, f.boundOf(s, s.refusals.hold(now, r.urgencyLevel(), a), c)) {
		return 0, true
	}
	if !f.cfg.Off[Order] {
		s.refusals.note(now, r.urgencyLevel(), a.Target)
	}
	return min(max(wait-own/2, comeBackMin), comeBackMax), false
}

// boundOf is how long a request may wait for what is before it. As long as upstreams have
// little to read on the mean, that is a share of its target. The more they have, the
// narrower it becomes, and the more counts how long the request is read itself: then those
// are taken first whose prompt lies there already and who hold others up the least.
// However long that is, it may wait for a little, so that long prompts are served as well.
func (f *Fleet) boundOf(s *service, a Admission, c Choice) time.Duration {
	t := &f.cfg.Tuning
	calm := part(a.Target, t.Admit)
	if a.Retried {
		calm = part(a.Target, t.AdmitAgain)
	}
	loaded := max(part(a.Target, t.AdmitLoaded)-f.readTime(c.Unread), part(a.Target, t.AdmitLeast))
	load := min(float64(f.readTime(int(s.meanUnread)))/float64(part(a.Target, t.Loaded)), 1)
	return calm + part(loaded-calm, load)
}

// part is a share of a time.
func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// hold is what a request is admitted by while more urgent ones are refused: by their
// target, as if it came for the first time.
func (r *refusals) hold(now time.Duration, level int, a Admission) Admission {
	for _, x := range r[:level] {
		if x.target > 0 && now-x.at < orderMemory {
			a = Admission{Target: min(a.Target, x.target)}
		}
	}
	return a
}

// note takes in a refusal.
func (r *refusals) note(now time.Duration, level int, target time.Duration) {
	r[level].at, r[level].target = now, target
}
