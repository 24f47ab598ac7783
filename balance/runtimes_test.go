package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A box that was about to stop took requests that it could not answer any more.
func TestStoppingBoxTakesRequestsThatOutliveIt(t *testing.T) {
	const ms = time.Millisecond
	usual := make([]time.Duration, 0, 100)
	for n := range 100 {
		usual = append(usual, time.Duration(n+1)*10*ms) // the last 64: 370 to 1,000 ms
	}
	for _, c := range []struct {
		name  string
		times []time.Duration
		a     StopArrival
		takes bool
	}{
		{"its own time ends first, nothing known", nil, StopArrival{TimeLeft: 400 * ms, Grace: 500 * ms}, true},
		{"nothing known", nil, StopArrival{TimeLeft: 600 * ms, Grace: 500 * ms}, true},
		{"nothing known, late", nil, StopArrival{TimeLeft: 600 * ms, Grace: 500 * ms, IsLate: true}, false},
		{"few known, twice the longest fits", usual[:minRunTimes-1], StopArrival{TimeLeft: 12000 * ms, Grace: 140 * ms}, true},
		{"few known, twice the longest does not fit", usual[:minRunTimes-1], StopArrival{TimeLeft: 12000 * ms, Grace: 130 * ms}, false},
		{"usually fits", usual, StopArrival{TimeLeft: 12000 * ms, Grace: 970 * ms}, true},
		{"usually does not fit", usual, StopArrival{TimeLeft: 12000 * ms, Grace: 960 * ms}, false},
		{"late, its own time ends first", usual, StopArrival{TimeLeft: 500 * ms, Grace: 500 * ms, IsLate: true}, true},
		{"late, twice the longest fits", usual, StopArrival{TimeLeft: 12000 * ms, Grace: 2000 * ms, IsLate: true}, false},
		{"late, its own time ends just behind", usual, StopArrival{TimeLeft: 7001 * ms, Grace: 7000 * ms, IsLate: true}, false},
		{"no time left", usual, StopArrival{TimeLeft: 12000 * ms, Grace: 0, IsLate: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			times := NewRunTimes()
			for _, took := range c.times {
				times.Note("", took)
			}
			_, takes := times.EndsInGrace(c.a)
			is.Equal(takes, c.takes)
		})
	}
}

func TestRunTimesAreBounded(t *testing.T) {
	is := is.New(t)
	times := NewRunTimes()
	for n := range 2 * maxRunTimeClasses {
		times.Note(fmt.Sprint(n), time.Second)
	}
	is.True(len(times.classes) <= maxRunTimeClasses)
}

// Requests that were given up counted for nothing, so that a class of which the long ones are given up
// seemed to be quick.
func TestRequestsWithoutAnswerMakeNoClassQuick(t *testing.T) {
	is := is.New(t)
	times := NewRunTimes()
	times.NoteUnanswered("", time.Second)
	is.Equal(len(times.classes), 0) // nothing tells how much longer it would have taken
	for range minRunTimes {
		times.Note("", 100*time.Millisecond)
	}
	a := StopArrival{TimeLeft: 12 * time.Second, Grace: 3 * time.Second}
	times.NoteUnanswered("", 50*time.Millisecond) // its caller left early
	_, takes := times.EndsInGrace(a)
	is.True(takes)
	for range minRunTimes {
		times.NoteUnanswered("", 5*time.Second)
	}
	_, takes = times.EndsInGrace(a)
	is.True(!takes)
}
