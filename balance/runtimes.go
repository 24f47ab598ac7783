package balance

// This file defines which requests a box that is about to stop still takes. The invariants: a request
// that arrives after load balancers have stopped sending is taken only if its own time is over before
// the box ends; so is one before, if its class has recently taken longer than the box has left.

import (
	"math"
	"slices"
	"time"
)

const (
	// recentRunTimes is how many times are kept of each class.
	recentRunTimes = 64
	// minRunTimes is how many of them are needed to judge by a quantile.
	minRunTimes = 8
	// maxRunTimeClasses bounds the number of classes.
	maxRunTimeClasses = 1 << 12
	// usualRunTime is the quantile of the times that decides while load balancers still send requests. A
	// refusal delays a caller by the way to another box, a cut costs it the work done.
	usualRunTime = 0.95
	// longestRunTimeFactor multiplies the longest of the times where few are known.
	longestRunTimeFactor = 2
)

// RunTimes keeps how long the recent requests of each class took from their arrival to the end of
// their responses.
type RunTimes struct{ classes map[string]*runTimes }

// runTimes are the recent times of one class.
type runTimes struct {
	list []time.Duration
	next int // index of the oldest one, once the list is full
}

// NewRunTimes returns an empty RunTimes.
func NewRunTimes() *RunTimes { return &RunTimes{classes: make(map[string]*runTimes)} }

// Note records that a request of a class was answered.
func (t *RunTimes) Note(class string, took time.Duration) {
	c := t.classes[class]
	if c == nil {
		if len(t.classes) >= maxRunTimeClasses {
			clear(t.classes)
		}
		c = new(runTimes)
		t.classes[class] = c
	}
	if len(c.list) < recentRunTimes {
		c.list = append(c.list, took)
		return
	}
	c.list[c.next] = took
	c.next = (c.next + 1) % recentRunTimes
}

// NoteUnanswered records that a request of a class that was sent to an upstream has ended without an
// answer. It would have taken longer: that counts where it is longer than usual.
func (t *RunTimes) NoteUnanswered(class string, lasted time.Duration) {
	if c := t.classes[class]; c != nil && lasted > c.expected() {
		t.Note(class, lasted)
	}
}

// StopArrival is a request that arrives at a box that is about to stop.
type StopArrival struct {
	Class    string
	TimeLeft time.Duration // of the request
	Grace    time.Duration // time until the box ends
	IsLate   bool          // load balancers send the box no requests any more
}

// EndsByItself reports whether the request's own time is over before the box ends, however long it
// runs.
func (a StopArrival) EndsByItself() bool { return a.TimeLeft <= a.Grace }

// EndsInGrace reports whether the box may take the request. It also returns the time that the request
// is expected to take; 0 if no request of its class was answered. Such a request is taken while load
// balancers send, as by a box that has just started and has to stop. Afterwards past times decide
// nothing: how long a request runs, waits or is sent again is not known before.
func (t *RunTimes) EndsInGrace(a StopArrival) (expected time.Duration, ok bool) {
	if c := t.classes[a.Class]; c != nil {
		expected = c.expected()
	}
	return expected, a.EndsByItself() || !a.IsLate && expected <= a.Grace
}

// expected returns how long a request of the class is expected to take.
func (c *runTimes) expected() time.Duration {
	if len(c.list) < minRunTimes {
		return longestRunTimeFactor * slices.Max(c.list)
	}
	sorted := slices.Sorted(slices.Values(c.list))
	return sorted[int(math.Ceil(usualRunTime*float64(len(sorted))))-1]
}
