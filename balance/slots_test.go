package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// setHoldTime sets the average time that a slot is held.
func setHoldTime(f *Fleet, held time.Duration) {
	f.serviceOf("s").holding = holding{heldTime: float64(held), completed: 1}
}

func TestHoldTimeIsLearned(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	now := time.Duration(0)
	for range 200 { // sequential requests, 3 s from the first event to the end
		ticket := f.Open(now, "u0", prompt(1))
		ticket.NoteFirstEvent(now + time.Second)
		now += 4 * time.Second
		ticket.Close(now, Answered)
	}
	held := f.serviceOf("s").holding.mean(now)
	is.True(held > 2*time.Second && held < 4*time.Second)
}

// Before any request has completed, the running ones give a lower bound of the hold time.
func TestRunningRequestsCountTowardsHoldTime(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	for range 8 {
		f.Open(0, "u0", prompt(1)).NoteFirstEvent(0)
	}
	is.Equal(f.serviceOf("s").holding.mean(0), time.Duration(0))
	is.Equal(f.serviceOf("s").holding.mean(time.Second), 8*time.Second) // none of 8 completed within a second
	c, _ := f.Place(time.Second, prompt(1), nil)
	is.True(f.prefillTime(c.Backlog) >= time.Second) // the time until one of 8 slots is free
	_, ok := f.Admit(time.Second, prompt(1), Admission{Target: time.Second}, c)
	is.True(!ok)
	is.True(f.serviceOf("s").holding.mean(time.Hour) <= maxHoldTime)
}
