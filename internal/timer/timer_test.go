package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSubscribe calls tick directly and checks that each subscriber has its own
// interval and that one that falls behind receives one tick, not the missed ones.
func TestSubscribe(t *testing.T) {
	is := is.New(t)
	s := &Service{step: 10 * time.Millisecond}
	fast, slow := s.Subscribe(10*time.Millisecond), s.Subscribe(50*time.Millisecond)
	fastTicks, slowTicks := 0, 0
	for now := time.Duration(0); now < 100*time.Millisecond; now += 10 * time.Millisecond {
		s.tick(Tick{Now: now})
		select {
		case <-fast:
			fastTicks++
		default:
		}
		select {
		case <-slow:
			slowTicks++
		default:
		}
	}
	is.Equal(fastTicks, 10)
	is.Equal(slowTicks, 2)
	for now := time.Second; now < 2*time.Second; now += 100 * time.Millisecond {
		s.tick(Tick{Now: now})
	}
	is.Equal((<-slow).Now, time.Second)
	is.Equal(len(slow), 0)
}

func TestBootClockIsMonotonic(t *testing.T) {
	var c SystemClock
	if a, b := c.Boot(), c.Boot(); b < a || a <= 0 {
		t.Errorf("consecutive readings are %v and %v", a, b)
	}
}
