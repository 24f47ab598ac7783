package balance

// This file estimates how fast upstreams prefill prompts, from prompts that arrived at an idle
// upstream, and how long requests without a prompt run. The invariant: the rate stays within its
// bounds, whatever a single prompt indicates.

import "time"

const (
	// rateDecay is the factor by which each new prompt reduces the weight of earlier ones in the
	// prefill rate.
	rateDecay = 0.95
	// minRateTokens is the least prompt length that is used to estimate the rate.
	minRateTokens = 2000
	// rateMin and rateMax bound the rate, in tokens per ms.
	rateMin, rateMax = 5, 500
	// serviceTimeDecay is the factor by which each new request reduces the weight of earlier ones
	// in the mean service time.
	serviceTimeDecay = 0.98
)

// prefillTime returns how long an upstream takes to prefill the given number of tokens.
func (f *Fleet) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / f.prefillRate * float64(time.Millisecond))
}

// learnRate updates the prefill rate with a prompt that had no other ahead of it.
func (f *Fleet) learnRate(tokens int, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / float64(took.Milliseconds()+1)
	f.prefillRate = f.prefillRate*rateDecay + min(max(rate, rateMin), rateMax)*(1-rateDecay)
}

// learnServiceTime updates the service time with a request without a prompt that found a free
// slot. The network round trip is subtracted, since it does not occupy the upstream.
func (f *Fleet) learnServiceTime(m *member, took time.Duration) {
	w := &f.serviceOf(m.Service).plainRunTime
	w.sum *= serviceTimeDecay
	w.weight *= serviceTimeDecay
	w.add(float64(max(took-f.RTT(m.Domain), time.Millisecond))/float64(time.Millisecond), 1)
}

// serviceTime returns how long requests without a prompt occupy a slot of a service; 0 if none
// has been observed.
func (f *Fleet) serviceTime(service string) time.Duration {
	return time.Duration(f.serviceOf(service).plainRunTime.value() * float64(time.Millisecond))
}
