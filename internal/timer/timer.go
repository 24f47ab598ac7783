// Package timer is the timer service that the parts of a process subscribe to,
// and the clocks that they go by.
//
// Leases end by a clock that also counts the time for which the machine was
// suspended, so a process that is woken late sees how late it is.
package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time in two ways: since the machine's start, suspension
// included, and since 1970.
type Clock interface {
	Boot() time.Duration
	Wall() time.Time
}

// SystemClock is the machine's own clock.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Boot reads CLOCK_BOOTTIME.
func (SystemClock) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: the machine has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall reads the wall clock.
func (SystemClock) Wall() time.Time { return time.Now() }

// Tick is what subscribers get.
type Tick struct {
	Now  time.Duration // the boot clock
	Wall time.Time
}

// Service ticks its subscribers.
type Service struct {
	clock Clock
	step  time.Duration
	mu    sync.Mutex
	subs  []*subscription
	stop  context.CancelFunc
	done  chan struct{}
}

type subscription struct {
	every time.Duration
	next  time.Duration
	ticks chan Tick
}

// Config configures a Service.
type Config struct {
	Clock Clock
	Step  time.Duration // the finest interval
}

// Start starts a service; Close ends it.
func Start(ctx context.Context, cfg Config) *Service {
	ctx, stop := context.WithCancel(ctx)
	s := &Service{clock: cfg.Clock, step: cfg.Step, stop: stop, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

// Subscribe returns a channel that gets a tick each interval. A subscriber that
// is behind gets one tick, not the missed ones.
func (s *Service) Subscribe(every time.Duration) <-chan Tick {
	sub := &subscription{every: every, ticks: make(chan Tick, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, sub)
	return sub.ticks
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(s.step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(Tick{s.clock.Boot(), s.clock.Wall()})
		}
	}
}

func (s *Service) tick(t Tick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.subs {
		if t.Now < sub.next {
			continue
		}
		sub.next = t.Now + sub.every - s.step/2
		select {
		case sub.ticks <- t:
		default:
		}
	}
}

// Close stops the ticks and waits for the service to end.
func (s *Service) Close() error {
	s.stop()
	<-s.done
	return nil
}
