package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// holdSlots makes the fleet believe that a slot is held for so long.
func holdSlots(f *Fleet, held time.Duration) {
	f.serviceOf("s").holding = holding{slots: float64(held), ended: 1}
}

func TestHowLongSlotsAreHeldIsLearned(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	now := time.Duration(0)
	for range 200 { // one after the other, 3 s from the first event to the end
		ticket := f.Open(now, "u0", prompt(1))
		ticket.First(now + time.Second)
		now += 4 * time.Second
		ticket.Close(now, Answered)
	}
	held := f.serviceOf("s").holding.mean(now)
	is.True(held > 2*time.Second && held < 4*time.Second)
}

// As long as no request has ended, those that run show how long slots are held at least.
func TestRequestsThatGoOnShowThatSlotsAreHeld(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	for range 8 {
		f.Open(0, "u0", prompt(1)).First(0)
	}
	is.Equal(f.serviceOf("s").holding.mean(0), time.Duration(0))
	is.Equal(f.serviceOf("s").holding.mean(time.Second), 8*time.Second) // none of 8 ended in a second
	c, _ := f.Place(time.Second, prompt(1), nil)
	is.True(f.readTime(c.Backlog) >= time.Second) // one of 8 slots comes free in so long
	_, ok := f.Admit(time.Second, prompt(1), Admission{Target: time.Second}, c)
	is.True(!ok)
	is.True(f.serviceOf("s").holding.mean(time.Hour) <= heldMost)
}
