package balance

// This file defines how fast upstreams read prompts, learned from those that had
// nothing before them, and how long requests without a prompt run. The invariant: the rate
// stays within its bounds, whatever one prompt seems to tell.

import "time"

const (
	// rateShare is the share of the past in the mean rate of reading, a prompt.
	rateShare = 0.95
	// rateFrom is from how many tokens on a prompt's reading tells the rate.
	rateFrom = 2000
	// The bounds within which a rate is believed, in tokens a ms.
	rateMin, rateMax = 5, 500
	// workShare is the share of the past in the mean time that requests run for, a request.
	workShare = 0.98
)

// readTime is how long an upstream reads a prompt.
func (f *Fleet) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / f.prefillRate * float64(time.Millisecond))
}

// learnRate takes how long a prompt took that had nothing before it.
func (f *Fleet) learnRate(tokens int, took time.Duration) {
	if tokens < rateFrom || took <= 0 {
		return
	}
	rate := float64(tokens) / float64(took.Milliseconds()+1)
	f.prefillRate = f.prefillRate*rateShare + min(max(rate, rateMin), rateMax)*(1-rateShare)
}

// learnWork takes how long a request without a prompt took that found a slot free; what it
// spent on the way is not its upstream's.
func (f *Fleet) learnWork(m *member, took time.Duration) {
	w := &f.serviceOf(m.Service).plainRunTime
	w.sum *= workShare
	w.weight *= workShare
	w.add(float64(max(took-f.RTT(m.Domain), time.Millisecond))/float64(time.Millisecond), 1)
}

// workTime is how long requests without a prompt hold a slot of a service; 0 until some have.
func (f *Fleet) workTime(service string) time.Duration {
	return time.Duration(f.serviceOf(service).plainRunTime.value() * float64(time.Millisecond))
}
