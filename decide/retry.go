package decide

// This file defines when a request that failed may be tried again. The
// invariant: over any time, a class spends on retries at most retryShare of its first attempts in a failure domain, and
// retryBurst, of which a box that starts brings its part once more; so that retries cannot feed an overload.

const (
	retryShare  = 0.1
	retryBurst  = 10
	maxAttempts = 4
)

// RetryBudget is the part of a class's retry budget that one box has.
type RetryBudget struct {
	credit  float64
	started bool
}

// RecordAttempt notes a first attempt, which earns credit. The burst is divided among so many boxes, and each may save up one retry
// at least.
func (r *RetryBudget) RecordAttempt(boxes int) {
	most := max(1, retryBurst/float64(max(boxes, 1)))
	if !r.started {
		r.started, r.credit = true, most
	}
	r.credit = min(r.credit+retryShare, most)
}

// Spend takes one retry from the budget and reports whether there was one; there is none before the first attempt.
func (r *RetryBudget) Spend() bool {
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// Failure describes an attempt that failed.
type Failure struct {
	MayHaveRun bool // a byte may have left for the upstream
	Repeatable bool // the request may run twice
	Resumable  bool // an upstream can go on from what was delivered
	Delivered  int  // tokens the caller has had
	Attempts   int  // attempts so far, this one included
	TimeLeft   bool // the caller's deadline has not passed
}

// MayRetry says whether a request may be tried again after a failure. What is
// not repeatable and may have run is never tried again, whatever the budget.
func MayRetry(f Failure, budget *RetryBudget) Reason {
	switch {
	case f.MayHaveRun && !f.Repeatable:
		return UpstreamFailed
	case f.Delivered > 0 && !f.Resumable:
		return UpstreamFailed
	case !f.TimeLeft:
		return Late
	case f.Attempts >= maxAttempts || !budget.Spend():
		return RetriesSpent
	}
	return NoReason
}
