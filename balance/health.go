package balance

// This file defines what the answers of an upstream say about it. The invariant:
// an upstream is only held back for a bounded time, after which a request tries it.

import "time"

// Outcome is what became of a request on an upstream.
type Outcome uint8

// What may become of a request.
const (
	Answered          Outcome = iota
	Full                      // the upstream said that it has no room
	Failed                    // an error, a broken connection, or no answer
	Unreachable               // no connection came up, or it went silent
	Replaced                  // another start of the upstream has its address now
	Neutral                   // ended for reasons that say nothing about the upstream
	ConnectionRefused         // nobody listens at its address
	ConnectionLost            // the connection was reset or closed under a run
)

const (
	// failShare is the share of the past in the mean of failures, an answer.
	failShare = 0.8
	// restMin and restMax bound how long an upstream rests after failing.
	restMin = 200 * time.Millisecond
	restMax = 2 * time.Second
	// restDoublings bounds how often restMin is doubled, beyond what restMax allows.
	restDoublings = 8
	// mostResting is the share of a service's upstreams, in 100, that may rest at once:
	// where more fail, the cause is not theirs, and what is left would be overrun.
	mostResting = 50
	// percent is the whole that a share in 100 is taken of.
	percent = 100
	// fullRest is how long an upstream that had no room is passed over.
	fullRest = 100 * time.Millisecond
)

// health is what this box's own requests tell of an upstream.
type health struct {
	failing  float64 // mean of failures, 1 for a failure and 0 for an answer
	inRow    int     // failures since the last answer
	restTill time.Duration
}

func (h *health) note(now time.Duration, o Outcome) {
	switch o {
	case Answered:
		h.failing *= failShare
		h.inRow = 0
	case Failed, ConnectionLost:
		h.failing = h.failing*failShare + (1 - failShare)
		h.inRow++
		if h.inRow > 1 {
			h.restTill = now + min(restMin<<min(h.inRow, restDoublings), restMax)
		}
	case Full:
		h.restTill = max(h.restTill, now+fullRest)
	}
}

// rests reports whether requests should go elsewhere for now.
func (h *health) rests(now time.Duration) bool { return now < h.restTill }
