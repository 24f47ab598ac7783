package balance

// This file defines how fast upstreams read prompts, learned from those that had
// nothing before them. The invariant: the rate stays within its bounds, whatever one
// prompt seems to tell.

import "time"

const (
	// rateShare is the share of the past in the mean rate of reading, a prompt.
	rateShare = 0.95
	// rateFrom is from how many tokens on a prompt's reading tells the rate.
	rateFrom = 2000
	// The bounds within which a rate is believed, in tokens a ms.
	rateMin, rateMax = 5, 500
)

// readTime is how long an upstream reads a prompt.
func (f *Fleet) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / f.rate * float64(time.Millisecond))
}

// learnRate takes how long a prompt took that had nothing before it.
func (f *Fleet) learnRate(tokens int, took time.Duration) {
	if tokens < rateFrom || took <= 0 {
		return
	}
	rate := float64(tokens) / float64(took.Milliseconds()+1)
	f.rate = f.rate*rateShare + min(max(rate, rateMin), rateMax)*(1-rateShare)
}
