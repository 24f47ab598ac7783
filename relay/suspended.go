package relay

// This file defines the box's time. The invariant: time for which the machine was suspended counts as any
// other, though the steady clock, by which timers and deadlines run, stood still. Without that a request
// under way is held beyond its time by as long as its machine slept, and what is known is taken for
// new.

import (
	"context"
	"errors"
	"time"
)

// sleptFrom is the least time by which the two clocks must have come apart for the machine to
// have been suspended; what is less may lie between two readings.
const sleptFrom = 100 * time.Millisecond

// now is the time since the start, what the machine was suspended for included as far as it has
// been noticed.
func (r *Relay) now() time.Duration { return time.Since(r.start) + time.Duration(r.slept.Load()) }

// noticeBefore notices a suspension before a request that has just come is taken in: it was not under way
// then, and is to keep its time. The boot clock is only asked where the time of day has moved against the steady
// clock, since that is a system call.
func (r *Relay) noticeBefore(now time.Time) {
	started := now.UnixNano() - int64(now.Sub(r.start)) // the time of day at the start, as it seems by now
	if moved := time.Duration(started - r.startWall.Load()); moved.Abs() < sleptFrom {
		return
	}
	r.startWall.Store(started)
	r.noticeSleep()
}

// noticeSleep notices that the machine was suspended since it was last called, which the members' duty
// does before it takes anything in.
func (r *Relay) noticeSleep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	boot := r.cfg.Clock.Boot() // the earlier of the two: a pause between them is no suspension
	slept := boot - r.startBoot - time.Since(r.start)
	before := time.Duration(r.slept.Load())
	if slept-before < sleptFrom {
		return
	}
	r.slept.Store(int64(slept))
	r.cfg.Log.Event("box", "was suspended", Fields{"for_ms": (slept - before).Milliseconds(), "open": r.stats.openRequests.Load()})
	for x := range r.runs {
		x.endInTime()
	}
}

// left is how long the request may still take.
func (x *exchange) left() time.Duration {
	return time.Until(x.end) - time.Duration(x.relay.slept.Load()-x.sleptBefore)
}

// endInTime ends the request when its time is over, where the machine was suspended since it came: its
// context goes by the steady clock.
func (x *exchange) endInTime() {
	if x.relay.slept.Load() > x.sleptBefore {
		time.AfterFunc(max(x.left(), 0), x.cancel)
	}
}

// outOfTime reports whether the request was ended since its time is over.
func (x *exchange) outOfTime() bool {
	return errors.Is(x.ctx.Err(), context.DeadlineExceeded) || x.ctx.Err() != nil && x.left() <= 0
}
