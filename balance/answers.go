package balance

// This file keeps statistics about the answers of a service: how long they are and how fast their
// events arrive. The invariant: no estimate is given until enough answers have been observed.

import (
	"math"
	"time"
)

const (
	// answerDecay is the factor by which each new answer reduces the weight of earlier ones.
	answerDecay = 0.98
	// minAnswers is the weight of observations from which on their mean is used.
	minAnswers = 3
	// prefillWindow is the time constant over which the prefill activity of an upstream is
	// averaged.
	prefillWindow = time.Second
	// prefillLevels is the number of levels of prefill activity that are distinguished; upstreams
	// of level 0 count as calm.
	prefillLevels = 5
)

// answerStats holds the statistics about the answers of a service.
type answerStats struct {
	events mean // events per token that the caller expects
	moved  mean // ms between events of answers that moved to their upstream while they ran
	calm   mean // ms between events of other answers, at upstreams that were calm when the answer began
	busy   mean // ms between events of other answers, at upstreams that were not calm
}

// addDecayed adds an observation to a mean and reduces the weight of earlier ones.
func (m *mean) addDecayed(value, weight float64) {
	m.sum *= answerDecay
	m.weight *= answerDecay
	m.add(value, weight)
}

// recordLength records the length of an answer that is complete. Callers' estimates are right in
// the median and often far off, so observations are weighted by the expected length.
func (a *answerStats) recordLength(expected, events int) {
	if expected > 0 {
		a.events.addDecayed(float64(events)/float64(expected), float64(expected))
	}
}

// recordInterval records the mean interval between the events of an answer in m.
func recordInterval(m *mean, events int, took time.Duration) {
	if events >= 2 {
		m.addDecayed(float64(took)/float64(time.Millisecond)/float64(events-1), 1)
	}
}

// remainingEvents estimates how many events of an answer are still to come; 0 if unknown.
func (a *answerStats) remainingEvents(expected, received int) float64 {
	whole := a.events.value() * float64(expected)
	if whole == 0 {
		return 0
	}
	return max(whole-float64(received), minRestShare*float64(received))
}

// movedInterval estimates the time between events of an answer that moves; 0 if unknown. Until
// enough answers have moved, it is a share of the interval at calm upstreams or, while too few of
// those are known, at all upstreams: prompts arrived at those, whereas an answer moves to an
// upstream that has none queued.
func (a *answerStats) movedInterval() time.Duration {
	all := a.calm
	all.add(a.busy.value(), a.busy.weight)
	var ms float64
	switch {
	case a.moved.weight >= minAnswers:
		ms = a.moved.value()
	case a.calm.weight >= minAnswers:
		ms = a.calm.value() * movedIntervalShare
	case all.weight >= minAnswers:
		ms = all.value() * movedIntervalShare
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// updatePrefillActivity updates the share of time during which an upstream has prompts to
// prefill.
func (m *member) updatePrefillActivity(elapsed time.Duration, unread int) {
	left := math.Exp(-float64(elapsed) / float64(prefillWindow))
	m.prefillShare *= left
	if unread > 0 {
		m.prefillShare += 1 - left
	}
}

// prefillLevel returns the level of prefill activity of an upstream; 0 is calm.
func (m *member) prefillLevel() int { return int(m.prefillShare * prefillLevels) }
