package relay

// This file defines the duty that tries upstreams which could not be reached, so
// that no request has to find out for itself. The invariant: while an upstream cannot
// be reached, it is tried.

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// trialEvery is the pause between two trials of an upstream.
	trialEvery = 500 * time.Millisecond
	// trialsAtOnce bounds the trials under way.
	trialsAtOnce = 4
)

// trialDuty tries upstreams until ctx ends. It sleeps while all can be reached.
func (r *Relay) trialDuty(ctx context.Context) {
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.trialNeeded:
		}
		for list := r.unreached(); len(list) > 0 && ctx.Err() == nil; list = r.unreached() {
			for range min(trialsAtOnce, len(list)) {
				u := list[next%len(list)]
				next++
				go r.try(ctx, u.ID, u.Address)
			}
			sleep(ctx, trialEvery)
		}
	}
}

// logUnreached logs the upstreams that have come to count as out of reach; cause is the
// one that just could not be reached.
func (r *Relay) logUnreached(cause string) {
	r.mu.Lock()
	list := r.fleet.TakeNewlyUnreachable()
	r.mu.Unlock()
	for _, u := range list {
		r.cfg.Log.Event("upstream", "out of reach", Fields{"upstream": u.ID, "domain": u.Domain, "service": u.Service,
			"cause": cause, "by_domain": u.ByDomain})
	}
}

// unreached lists the upstreams that cannot be reached.
func (r *Relay) unreached() []balance.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Unreachable()
}

// try opens a connection and closes it.
func (r *Relay) try(ctx context.Context, id, address string) {
	life := r.lifeOf(id)
	c, err := dial(ctx, address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.noteEnd(life)
		}
		r.moveRuns(life)
		return // it is tried again
	}
	_ = c.Close()
	r.mu.Lock()
	isListed := r.fleet.NoteReachable(r.now(), life)
	r.mu.Unlock()
	if isListed {
		r.cfg.Log.Event("upstream", "reached again", Fields{"upstream": id, "born": life.StartedAt})
	}
}

// moveRuns ends the runs on a life of an upstream that is out of reach or over, where the request may
// run again: it goes on elsewhere, instead of waiting until the connection is known
// to be dead. It is only called once a trial has failed as well: engines that are overrun
// let connections wait too.
func (r *Relay) moveRuns(l balance.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x, c := range r.runConns {
		if c.life == l && x.route.Again() {
			_ = c.Close()
		}
	}
}

// tryLater wakes the duty.
func (r *Relay) tryLater() {
	select {
	case r.trialNeeded <- struct{}{}:
	default:
	}
}
