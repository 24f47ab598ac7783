package decide

// This file defines when a failed request may be retried. The invariant: over any
// period, a class spends on retries at most retryRatio of its first attempts in a failure
// domain plus retryBurst; a box that starts adds its part of the burst once more. This
// keeps retries from amplifying an overload.

const (
	// retryRatio is the number of retries per first attempt.
	retryRatio = 0.1
	// retryBurst is the number of retries that a class may accumulate, over all boxes.
	retryBurst = 10
	// maxAttempts is the maximum number of attempts of a request, the first one included.
	maxAttempts = 4
)

// RetryBudget is one box's part of the retry budget of a class.
type RetryBudget struct {
	credit  float64
	started bool
}

// RecordAttempt adds the credit that a first attempt earns. The burst is divided among
// the given number of boxes, but each box can accumulate at least one retry.
func (r *RetryBudget) RecordAttempt(boxes int) {
	most := max(1, retryBurst/float64(max(boxes, 1)))
	if !r.started {
		r.started, r.credit = true, most
	}
	r.credit = min(r.credit+retryRatio, most)
}

// Spend takes one retry from the budget and reports whether the budget allowed it. There
// is none before the first attempt.
func (r *RetryBudget) Spend() bool {
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// Failure describes a failed attempt.
type Failure struct {
	MayHaveRun bool // a byte may have been sent to the upstream
	Repeatable bool // the request may run twice
	Resumable  bool // an upstream can continue from the delivered part
	Delivered  int  // tokens delivered to the caller
	Attempts   int  // attempts so far, including this one
	TimeLeft   bool // the caller's deadline has not passed
}

// MayRetry returns NoReason if a request may be retried after a failure, and takes the
// retry from the budget; otherwise it returns the reason for the refusal. A request that
// is not repeatable and may have run is never retried.
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
