package relay

// This file defines the clock of the box. The invariant: time during which the machine was suspended
// counts like any other time, although the monotonic clock behind timers and deadlines stood still.
// Otherwise an active request would be held past its deadline by the length of the suspension, and old
// information would be taken for new.

import (
	"context"
	"errors"
	"time"
)

// minSuspension is the smallest difference between the two clocks that is taken for a suspension; a
// smaller one may arise between the two readings.
const minSuspension = 100 * time.Millisecond

// now returns the time since the start, including all suspensions detected so far.
func (r *Relay) now() time.Duration {
	return time.Since(r.startedAt) + time.Duration(r.suspendedFor.Load())
}

// detectSuspensionBefore detects a suspension before a newly arrived request is admitted, since the
// suspension must not count against that request. It reads the boot clock, which takes a system call,
// only if the wall clock has moved relative to the monotonic clock.
func (r *Relay) detectSuspensionBefore(now time.Time) {
	started := now.UnixNano() - int64(now.Sub(r.startedAt)) // wall clock time of the start as derived now
	if moved := time.Duration(started - r.startWall.Load()); moved.Abs() < minSuspension {
		return
	}
	r.startWall.Store(started)
	r.detectSuspension()
}

// detectSuspension checks whether the machine was suspended since the last call. The members' task
// calls it before it processes any event.
func (r *Relay) detectSuspension() {
	r.mu.Lock()
	defer r.mu.Unlock()
	boot := r.cfg.Clock.Boot() // read first: a delay between the two readings must not look like a suspension
	suspended := boot - r.startBoot - time.Since(r.startedAt)
	before := time.Duration(r.suspendedFor.Load())
	if suspended-before < minSuspension {
		return
	}
	r.suspendedFor.Store(int64(suspended))
	r.cfg.Log.Event("box", "was suspended", Fields{"for_ms": (suspended - before).Milliseconds(), "open": r.stats.openRequests.Load()})
	for x := range r.runConns {
		x.cancelAtDeadline()
	}
}

// timeLeft returns the time until the request's deadline, including suspensions.
func (x *exchange) timeLeft() time.Duration {
	return time.Until(x.deadline) - time.Duration(x.relay.suspendedFor.Load()-x.suspendedBefore)
}

// cancelAtDeadline schedules the cancellation of a request during which the machine was suspended,
// because its context's deadline follows the monotonic clock.
func (x *exchange) cancelAtDeadline() {
	if x.relay.suspendedFor.Load() > x.suspendedBefore {
		time.AfterFunc(max(x.timeLeft(), 0), x.cancel)
	}
}

// deadlinePassed reports whether the request was cancelled because its deadline passed.
func (x *exchange) deadlinePassed() bool {
	return errors.Is(x.ctx.Err(), context.DeadlineExceeded) || x.ctx.Err() != nil && x.timeLeft() <= 0
}
