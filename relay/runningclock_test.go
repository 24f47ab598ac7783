package relay

// This file defines a clock for upper bounds on what the box takes, in a process that shares its cores
// with others. The invariant: it stands still while the process does not run, and keeps time otherwise.

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// runningTick is the interval at which the clock is read.
const runningTick = 5 * time.Millisecond

// runningClock measures the time during which goroutines of the process were woken when they were due.
type runningClock struct{ total atomic.Int64 }

// startRunningClock starts a clock that runs until the end of the test.
func startRunningClock(t testing.TB) *runningClock {
	t.Helper()
	c := new(runningClock)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		for last := time.Now(); ctx.Err() == nil; {
			sleep(ctx, runningTick)
			now := time.Now()
			c.add(now.Sub(last))
			last = now
		}
	})
	t.Cleanup(func() { cancel(); done.Wait() })
	return c
}

// add counts the time since the clock was last read. What is beyond two ticks is not counted: the
// goroutine was due after one.
func (c *runningClock) add(passed time.Duration) {
	c.total.Add(int64(min(passed, 2*runningTick)))
}

func (c *runningClock) elapsed() time.Duration { return time.Duration(c.total.Load()) }

func TestRunningClockLeavesOutStalls(t *testing.T) {
	for _, test := range []struct {
		name   string
		passed []time.Duration
		want   time.Duration
	}{
		{"on time", []time.Duration{runningTick, runningTick}, 2 * runningTick},
		{"a little late", []time.Duration{runningTick + time.Millisecond}, runningTick + time.Millisecond},
		{"stalled", []time.Duration{runningTick, 5 * time.Second, runningTick}, 4 * runningTick},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var c runningClock
			for _, passed := range test.passed {
				c.add(passed)
			}
			is.Equal(c.elapsed(), test.want)
		})
	}
}

func TestRunningClockKeepsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startRunningClock(t)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		is.Equal(c.elapsed(), 4*time.Second)
	})
}
