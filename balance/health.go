package balance

// This file tracks the health of an upstream from the outcomes of this box's requests. The
// invariant: an upstream backs off only for a bounded time, after which a request is tried there.

import "time"

// Outcome is how a request on an upstream ended.
type Outcome uint8

// The outcomes of a request.
const (
	Answered          Outcome = iota
	Full                      // the upstream replied that it has no capacity
	Failed                    // an error, a broken connection, or no answer
	Unreachable               // no connection was established, or it went silent
	Replaced                  // another incarnation of the upstream has its address now
	Neutral                   // ended for a reason that says nothing about the upstream
	ConnectionRefused         // nothing listens at the upstream's address
	ConnectionLost            // the connection was reset or closed during a run
)

const (
	// failureDecay is the weight that the failure rate keeps with each new outcome.
	failureDecay = 0.8
	// backoffMin and backoffMax bound how long an upstream backs off after consecutive failures.
	backoffMin = 200 * time.Millisecond
	backoffMax = 2 * time.Second
	// maxBackoffDoublings limits the shift of backoffMin; backoffMax applies long before it.
	maxBackoffDoublings = 8
	// maxBackoffPercent is the share of a service's upstreams that may back off at once, in
	// percent. If more fail, the cause is not in the upstreams, and the remaining ones would be
	// overloaded.
	maxBackoffPercent = 50
	percent           = 100
	// fullBackoff is how long an upstream that reported no capacity backs off.
	fullBackoff = 100 * time.Millisecond
)

// health is the state of an upstream derived from this box's own requests.
type health struct {
	failureRate         float64 // exponentially weighted mean: 1 per failure, 0 per answer
	consecutiveFailures int     // failures since the last answer
	backoffUntil        time.Duration
}

func (h *health) record(now time.Duration, o Outcome) {
	switch o {
	case Answered:
		h.failureRate *= failureDecay
		h.consecutiveFailures = 0
	case Failed, ConnectionLost:
		h.failureRate = h.failureRate*failureDecay + (1 - failureDecay)
		h.consecutiveFailures++
		if h.consecutiveFailures > 1 {
			h.backoffUntil = now + min(backoffMin<<min(h.consecutiveFailures, maxBackoffDoublings), backoffMax)
		}
	case Full:
		h.backoffUntil = max(h.backoffUntil, now+fullBackoff)
	}
}

// backingOff reports whether requests should go elsewhere for now.
func (h *health) backingOff(now time.Duration) bool { return now < h.backoffUntil }
