package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// If most upstreams of a service fail, at most half of them back off, and these are the ones with
// the highest failure rates.
func TestAtMostHalfOfUpstreamsBackOff(t *testing.T) {
	for _, failing := range []int{1, 4, 5, 8, 10} {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(10)
			for i := range failing {
				for range 3 + i { // later ones have more failures
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
			is.Equal(len(f.usable(backoffMax, Request{Service: "s"}, nil)), 10) // all are used again after the backoff
		})
	}
}

// A failing upstream is preferred to an unreachable one.
func TestFailingUpstreamIsPreferredToUnreachable(t *testing.T) {
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
