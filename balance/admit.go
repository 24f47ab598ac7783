package balance

// This file defines which requests are refused because they would come too late. The
// invariant: of two requests at the same upstream, the less urgent one is not taken
// where the more urgent one was refused within orderMemory, since all that goes before
// the latter goes before the former.

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
	Target time.Duration // its latency target; 0: none
	Again  bool          // it has come back after a refusal
}

// refusals is when requests of a service were last refused, and the wait that would have
// been too long, by urgency.
type refusals [Levels]struct {
	at    time.Duration
	bound time.Duration // 0: none was refused
}

// Admit decides whether a request that was placed will be served in time. If not, it
// also says when its caller should come back: once half of what may go before it has
// been read.
func (f *Fleet) Admit(now time.Duration, r Request, a Admission, c Choice) (after time.Duration, ok bool) {
	if a.Target == 0 || f.cfg.Off[AdmissionControl] {
		return 0, true
	}
	own := f.boundOf(a)
	refused := &f.serviceOf(r.Service).refusals
	wait := f.readTime(c.Backlog)
	if wait <= refused.bound(now, r.level(), own) {
		return 0, true
	}
	if !f.cfg.Off[Order] {
		refused.note(now, r.level(), time.Duration(f.cfg.Tuning.Admit*float64(a.Target)))
	}
	return min(max(wait-own/2, comeBackMin), comeBackMax), false
}

// boundOf is how long a request may wait for what is before it.
func (f *Fleet) boundOf(a Admission) time.Duration {
	share := f.cfg.Tuning.Admit
	if a.Again {
		share = f.cfg.Tuning.AdmitAgain
	}
	return time.Duration(share * float64(a.Target))
}

// bound is how long a request may wait that may wait for own by itself: no longer than
// the more urgent ones that were refused lately.
func (r *refusals) bound(now time.Duration, level int, own time.Duration) time.Duration {
	for _, x := range r[:level] {
		if x.bound > 0 && now-x.at < orderMemory {
			own = min(own, x.bound)
		}
	}
	return own
}

// note takes in a refusal.
func (r *refusals) note(now time.Duration, level int, bound time.Duration) {
	r[level].at, r[level].bound = now, bound
}
