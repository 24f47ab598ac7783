package relay

// This file defines the duty that reads the publisher while this box is to. The
// invariant: a reading is taken in before the next one begins, so that each goes on
// where the mirror is.

import (
	"context"
	"errors"
	"time"

	"github.com/doormast/doormast/mirror"
)

// readResult is what came of a reading of the publisher.
type readResult struct {
	known    time.Duration // a moment at which what was read was the newest
	items    []mirror.Item
	revision uint64
	whole    bool
	err      error
	taken    chan<- struct{} // closed when it was taken in
	pause    time.Duration   // to wait before the next reading; set before taken is closed
}

// readDuty reads while the group wants this box to.
func (m *members) readDuty(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.reads.Load() {
			select {
			case <-ctx.Done():
			case <-m.kick:
			}
			continue
		}
		if pause := m.readOnce(ctx); pause > 0 {
			sleep(ctx, pause)
		}
	}
}

// readOnce reads once, hands in what came of it, and waits until that is taken in. It
// returns how long to wait before the next reading.
func (m *members) readOnce(ctx context.Context) time.Duration {
	r := m.callPublisher(ctx)
	m.relay.stats.count("publisher_calls")
	taken := make(chan struct{})
	r.taken = taken
	for !m.events.TryPush(memberEvent{read: r}) {
		sleep(ctx, memberTick)
		if ctx.Err() != nil {
			return 0
		}
	}
	select {
	case <-taken:
		return r.pause
	case <-ctx.Done():
		return 0
	}
}

// callPublisher asks for the changes behind the mirror's revision, or for everything
// where the mirror is empty or they are no longer known.
func (m *members) callPublisher(ctx context.Context) *readResult {
	r := &readResult{known: m.relay.now(), whole: m.revision.Load() == 0}
	publisher := m.relay.cfg.Publisher
	if !r.whole {
		watch := time.Duration(m.watch.Load())
		r.items, r.revision, r.err = publisher.Changes(ctx, m.revision.Load(), watch)
		if waited := r.known + watch; len(r.items) == 0 && m.relay.now() >= waited {
			r.known = waited // the publisher has waited that long before it answered
		}
	}
	if r.whole || errors.Is(r.err, mirror.ErrForgotten) {
		m.readEverything(ctx, r)
	}
	return r
}

// readEverything reads all that is published. A reading that goes on where one failed
// tells how it was when the first of them began.
func (m *members) readEverything(ctx context.Context, r *readResult) {
	if !m.goesOn {
		m.wholeFrom = m.relay.now()
	}
	r.known, r.whole = m.wholeFrom, true
	if m.revision.Load() == 0 {
		var end context.CancelCauseFunc
		ctx, end = m.untilKnown(ctx)
		defer end(nil)
	}
	r.items, r.revision, r.err = m.relay.cfg.Publisher.Everything(ctx)
	m.goesOn = r.err != nil
	if r.err != nil && errors.Is(context.Cause(ctx), mirror.ErrNotNeeded) {
		r.err = mirror.ErrNotNeeded // however the page under way ended: a box that knows is none that cannot read
	}
}

// untilKnown ends with ctx, or when another box has told this one what is published: after all
// boxes were killed at once, pages that nobody needs any more would keep others from theirs.
func (m *members) untilKnown(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, end := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-m.known:
			end(mirror.ErrNotNeeded)
		case <-ctx.Done():
		}
	}()
	return ctx, end
}

// takeRead takes in, on the members' duty, what came of a reading.
func (m *members) takeRead(now time.Duration, r *readResult) {
	defer close(r.taken)
	if errors.Is(r.err, mirror.ErrNotNeeded) {
		return // another box was faster
	}
	if r.err != nil {
		m.failures++
		r.pause = m.node.ReadBackoff(m.failures)
		m.node.ReadFailed()
		m.relay.belief.lose(m.relay, r.err)
		return
	}
	m.failures = 0
	if len(r.items) > 0 {
		// A hundred entries that change one after the other, as when upstreams start, are
		// some ten readings with this, and a hundred without.
		r.pause = m.relay.cfg.Timing.BatchDelay
	}
	m.node.HandleRead(now, r.known, r.items, r.revision, r.whole)
	m.relay.belief.regain(m.relay)
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
