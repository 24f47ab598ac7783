package balance

// This file defines what is known of the answers of a service: how long they become and how
// fast they go on. The invariant: while too little is known, nothing is said.

import (
	"math"
	"time"
)

const (
	// answerMemory is the share of the past in what is known of answers, an answer.
	answerMemory = 0.98
	// answersFrom is how many answers must be known of for their mean to count.
	answersFrom = 3
	// readingMemory is the time over which is averaged whether an upstream has prompts to read.
	readingMemory = time.Second
	// calmSteps is how finely upstreams are told apart by how much they read; those of the
	// first step are calm.
	calmSteps = 5
)

// answers is what is known of the answers of a service.
type answers struct {
	events mean // of an answer for each token that its caller expects
	moved  mean // ms from one event to the next, of answers that moved there while they ran
	calm   mean // the same of others, at upstreams that were calm when they began
	busy   mean // and at those that were not
}

// renew adds an observation to a mean in which those of the past count less.
func (m *mean) renew(value, weight float64) {
	m.sum *= answerMemory
	m.weight *= answerMemory
	m.add(value, weight)
}

// noteLength takes in that an answer has ended whole. Callers' guesses are right in the
// median and often far off, so that longer ones count for more.
func (a *answers) noteLength(expected, events int) {
	if expected > 0 {
		a.events.renew(float64(events)/float64(expected), float64(expected))
	}
}

// notePace takes in how long the events of an answer took, in one of the means.
func notePace(m *mean, events int, took time.Duration) {
	if events >= 2 {
		m.renew(float64(took)/float64(time.Millisecond)/float64(events-1), 1)
	}
}

// rest is how many events of an answer are still to come; 0 where nothing is known.
func (a *answers) rest(expected, came int) float64 {
	whole := a.events.value() * float64(expected)
	if whole == 0 {
		return 0
	}
	return max(whole-float64(came), longerThan*float64(came))
}

// betweenMoved is the expected time from one event to the next of an answer that moves; 0
// where it is not known. As long as few have moved, it is a part of what others have at
// upstreams that read little, or, while few of those are known, at all: prompts came to those,
// and an answer moves where none wait.
func (a *answers) betweenMoved() time.Duration {
	all := a.calm
	all.add(a.busy.value(), a.busy.weight)
	var ms float64
	switch {
	case a.moved.weight >= answersFrom:
		ms = a.moved.value()
	case a.calm.weight >= answersFrom:
		ms = a.calm.value() * unmovedShare
	case all.weight >= answersFrom:
		ms = all.value() * unmovedShare
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// noteReading brings up to date for how much of the time an upstream has prompts to read.
func (m *member) noteReading(past time.Duration, unread int) {
	left := math.Exp(-float64(past) / float64(readingMemory))
	m.reading *= left
	if unread > 0 {
		m.reading += 1 - left
	}
}

// calmStep tells upstreams apart by how much they read; 0 is calm.
func (m *member) calmStep() int { return int(m.reading * calmSteps) }
