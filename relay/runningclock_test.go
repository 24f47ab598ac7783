package relay

// This file defines a clock for upper bounds on what the box takes, in a process that shares its cores
// with others. The invariant: it stands still while the process does not run, and keeps time otherwise, also
// while goroutines have to wait for others of the process.

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// runningTick is the interval at which the clock is read.
const runningTick = 5 * time.Millisecond

// runningClock measures the time during which goroutines of the process were woken when they were due,
// or its cores were busy with others of them.
type runningClock struct{ total atomic.Int64 }

// startRunningClock starts a clock that runs until the end of the test.
func startRunningClock(t testing.TB) *runningClock {
	t.Helper()
	c := new(runningClock)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		for last, lastBusy := time.Now(), busyTime(); ctx.Err() == nil; {
			sleep(ctx, runningTick)
			now, busy := time.Now(), busyTime()
			c.add(now.Sub(last), busy-lastBusy)
			last, lastBusy = now, busy
		}
	})
	t.Cleanup(func() { cancel(); done.Wait() })
	return c
}

// add counts the time since the clock was last read, during part of which the process kept its cores
// busy. What is beyond two ticks and that part is not counted: the goroutine was due after one.
func (c *runningClock) add(passed, busy time.Duration) {
	c.total.Add(int64(min(passed, max(2*runningTick, busy))))
}

// busyTime returns for how long the process has used all cores that it may use, or the equivalent.
func busyTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano()+used.Stime.Nano()) / time.Duration(runtime.GOMAXPROCS(0))
}

func (c *runningClock) elapsed() time.Duration { return time.Duration(c.total.Load()) }

func TestRunningClockLeavesOutStalls(t *testing.T) {
	for _, test := range []struct {
		name   string
		passed []time.Duration
		busy   time.Duration
		want   time.Duration
	}{
		{"on time", []time.Duration{runningTick, runningTick}, 0, 2 * runningTick},
		{"a little late", []time.Duration{runningTick + time.Millisecond}, 0, runningTick + time.Millisecond},
		{"stalled", []time.Duration{runningTick, 5 * time.Second, runningTick}, 0, 4 * runningTick},
		{"busy", []time.Duration{5 * time.Second}, 5 * time.Second, 5 * time.Second},
		{"busy for a part", []time.Duration{5 * time.Second}, 2 * time.Second, 2 * time.Second},
		{"busier than time passed", []time.Duration{runningTick}, time.Second, runningTick},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var c runningClock
			for _, passed := range test.passed {
				c.add(passed, test.busy)
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

// The clock fell behind while the box itself kept its cores busy, which would have hidden a box that is slow
// for that reason.
func TestRunningClockFallsBehindInBusyProcess(t *testing.T) {
	is := is.New(t)
	defer starve(t)()
	used := busyTime()
	c := startRunningClock(t)
	began := time.Now()
	for busyTime()-used < 3*time.Second {
		time.Sleep(runningTick)
	}
	is.True(c.elapsed() >= 3*time.Second/2) // the goroutine that reads it waits for the others too
	is.True(c.elapsed() <= time.Since(began))
}
