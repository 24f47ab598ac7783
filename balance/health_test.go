package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Where most upstreams of a service fail, half of them at the most are passed over, and
// these are the ones that fail most.
func TestNoMoreThanHalfOfTheUpstreamsRest(t *testing.T) {
	for _, failing := range []int{1, 4, 5, 8, 10} {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(10)
			for i := range failing {
				for range 3 + i { // the later ones fail more often
					f.Open(0, fmt.Sprintf("u%d", i), prompt(1)).Close(0, Failed)
				}
			}
			usable := make(map[string]bool)
			for _, m := range f.usable(0, Request{Service: "s"}, nil) {
				usable[m.ID] = true
			}
			is.Equal(len(usable), 10-min(failing, 5))
			for i := range failing {
				is.Equal(usable[fmt.Sprintf("u%d", i)], i < failing-5)
			}
			is.Equal(len(f.usable(restMax, Request{Service: "s"}, nil)), 10) // and each is tried again
		})
	}
}

// One that cannot be reached is not taken as long as one can that fails.
func TestOneThatFailsIsBetterThanOneOutOfReach(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	f.Open(0, "u0", prompt(1)).Close(0, Unreachable)
	for range 3 {
		f.Open(0, "u1", prompt(1)).Close(0, Failed)
	}
	c, ok := f.Place(time.Millisecond, prompt(1), nil)
	is.True(ok)
	is.Equal(c.Upstream.ID, "u1")
	c, ok = f.Place(time.Millisecond, prompt(1), []string{"u1"})
	is.True(ok) // rather than none
	is.Equal(c.Upstream.ID, "u0")
}
