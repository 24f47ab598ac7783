package relay

// This file defines the loop that reads the publisher while this box is chosen to. The
// invariant: the result of a read is applied before the next read starts, so that each read
// continues from the mirror's revision.

import (
	"context"
	"errors"
	"time"

	"github.com/doormast/doormast/mirror"
)

// readResult is the result of reading the publisher.
type readResult struct {
	asOf     time.Duration // a moment at which the data read was current
	items    []mirror.Item
	revision uint64
	full     bool
	err      error
	applied  chan<- struct{} // closed when the result was applied
	delay    time.Duration   // delay before the next read; set before applied is closed
}

// readLoop reads while the group wants this box to.
func (m *members) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.shouldRead.Load() {
			select {
			case <-ctx.Done():
			case <-m.readWake:
			}
			continue
		}
		if delay := m.readOnce(ctx); delay > 0 {
			sleep(ctx, delay)
		}
	}
}

// readOnce reads once, hands the result to the members' loop, and waits until it is applied. It
// returns the delay before the next read.
func (m *members) readOnce(ctx context.Context) time.Duration {
	r := m.readPublisher(ctx)
	m.relay.stats.count("publisher_calls")
	applied := make(chan struct{})
	r.applied = applied
	for !m.events.TryPush(memberEvent{read: r}) {
		sleep(ctx, tickInterval)
		if ctx.Err() != nil {
			return 0
		}
	}
	select {
	case <-applied:
		return r.delay
	case <-ctx.Done():
		return 0
	}
}

// readPublisher reads the changes since the mirror's revision, or all items if the mirror is
// empty or the publisher no longer has those changes.
func (m *members) readPublisher(ctx context.Context) *readResult {
	r := &readResult{asOf: m.relay.now(), full: m.revision.Load() == 0}
	publisher := m.relay.cfg.Publisher
	if !r.full {
		wait := time.Duration(m.watchFor.Load())
		r.items, r.revision, r.err = publisher.Changes(ctx, m.revision.Load(), wait)
		if asOf := r.asOf + wait; len(r.items) == 0 && m.relay.now() >= asOf {
			r.asOf = asOf // the publisher waited for changes that long before it answered
		}
	}
	if r.full || errors.Is(r.err, mirror.ErrHistoryExpired) {
		m.readFull(ctx, r)
	}
	return r
}

// readFull reads all published items. A read that continues a failed one returns data that was
// current when the first of them started.
func (m *members) readFull(ctx context.Context, r *readResult) {
	if !m.resumesRead {
		m.fullReadStart = m.relay.now()
	}
	r.asOf, r.full = m.fullReadStart, true
	if m.revision.Load() == 0 {
		var cancel context.CancelCauseFunc
		ctx, cancel = m.untilFilled(ctx)
		defer cancel(nil)
	}
	r.items, r.revision, r.err = m.relay.cfg.Publisher.ReadAll(ctx)
	m.resumesRead = r.err != nil
	if r.err != nil && errors.Is(context.Cause(ctx), mirror.ErrNotNeeded) {
		r.err = mirror.ErrNotNeeded // however the current page ended: a box that has the data has not failed to read
	}
}

// untilFilled returns a context that ends with ctx, or when another box has sent this one the
// published data: after all boxes were killed at once, reading pages that are no longer needed
// would delay other boxes' reads.
func (m *members) untilFilled(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-m.filled:
			cancel(mirror.ErrNotNeeded)
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// applyRead applies a read's result, on the members' loop.
func (m *members) applyRead(now time.Duration, r *readResult) {
	defer close(r.applied)
	if errors.Is(r.err, mirror.ErrNotNeeded) {
		return // another box was faster
	}
	if r.err != nil {
		m.relay.stats.count("publisher_calls_failed")
		m.failures++
		r.delay = m.node.ReadBackoff(m.failures)
		m.node.ReadFailed(now)
		m.relay.published.noteLost(m.relay, r.err)
		return
	}
	m.failures = 0
	if len(r.items) > 0 {
		// With this delay, a hundred entries that change one after the other, as when upstreams
		// start, take some ten reads; without it they take a hundred.
		r.delay = m.relay.cfg.Timing.BatchDelay
	}
	m.node.HandleRead(now, r.asOf, r.items, r.revision, r.full)
	m.watchFor.Store(int64(m.node.WatchTimeout(now))) // before the next call
	m.relay.published.noteRegained(m.relay)
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
