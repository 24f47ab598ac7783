package balance

// This file defines which requests are refused because they would come too late. The
// invariant: of two requests with the same target at the same upstream, the less
// urgent one is never taken while the more urgent one is refused, since everything
// that goes before the latter goes before the former.

import "time"

// The bounds of the time after which a refused caller shall come back.
const (
	comeBackMin = 300 * time.Millisecond
	comeBackMax = 3 * time.Second
)

// Admission is what is to be decided about a request that found a place.
type Admission struct {
	Target time.Duration // its latency target; 0: none
	Again  bool          // it has come back after a refusal
}

// Admit decides whether a request that was placed will be served in time. If not, it
// also says when its caller should come back: once half of what may go before it has
// been read.
func (f *Fleet) Admit(a Admission, c Choice) (after time.Duration, ok bool) {
	share := f.cfg.Tuning.Admit
	if a.Again {
		share = f.cfg.Tuning.AdmitAgain
	}
	wait := f.readTime(c.Backlog)
	bound := time.Duration(share * float64(a.Target))
	if a.Target == 0 || wait <= bound {
		return 0, true
	}
	return min(max(wait-bound/2, comeBackMin), comeBackMax), false
}
