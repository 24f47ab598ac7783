package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSubscribe ticks a service by hand: each subscriber has its own interval,
// and one that is behind gets one tick, not the missed ones.
func TestSubscribe(t *testing.T) {
	is := is.New(t)
	s := &Service{step: 10 * time.Millisecond}
	fast, slow := s.Subscribe(10*time.Millisecond), s.Subscribe(50*time.Millisecond)
	n, m := 0, 0
	for now := time.Duration(0); now < 100*time.Millisecond; now += 10 * time.Millisecond {
		s.tick(Tick{Now: now})
		select {
		case <-fast:
			n++
		default:
		}
		select {
		case <-slow:
			m++
		default:
		}
	}
	is.Equal(n, 10)
	is.Equal(m, 2)
	for now := time.Second; now < 2*time.Second; now += 100 * time.Millisecond {
		s.tick(Tick{Now: now})
	}
	is.Equal((<-slow).Now, time.Second)
	is.Equal(len(slow), 0)
}

func TestBootClockGoesOn(t *testing.T) {
	var c SystemClock
	if a, b := c.Boot(), c.Boot(); b < a || a <= 0 {
		t.Errorf("the clock says %v and then %v", a, b)
	}
}
