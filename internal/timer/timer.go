// Package timer defines the clocks of a process and a service that sends periodic
// ticks to its subscribers.
//
// Leases expire by the boot clock, which also counts the time for which the
// machine was suspended, so that a process that resumes late sees the elapsed time.
package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides the monotonic and the wall time.
type Clock interface {
	Boot() time.Duration // since the machine's boot, time in suspension included
	Wall() time.Time     // wall-clock time, which counts from 1970
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Boot reads CLOCK_BOOTTIME.
func (SystemClock) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall returns the wall-clock time.
func (SystemClock) Wall() time.Time { return time.Now() }

// Tick holds the time at which a tick was sent.
type Tick struct {
	Now  time.Duration // boot clock
	Wall time.Time
}

// Service sends ticks to its subscribers.
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
	Step  time.Duration // resolution of the service, its shortest interval
}

// Start starts a service, which runs until ctx ends or Close is called.
func Start(ctx context.Context, cfg Config) *Service {
	ctx, stop := context.WithCancel(ctx)
	s := &Service{clock: cfg.Clock, step: cfg.Step, stop: stop, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

// Subscribe returns a channel that receives a tick at each interval. A subscriber
// that falls behind receives one pending tick; the missed ones are dropped.
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
