package relay

// This file defines how a box finds out that a failure domain is cut off, or is told so by its lead, and what becomes of the
// runs there. The invariant: silence between boxes alone leaves no domain. A lead that hears nobody of one tries
// its upstreams, and only where no connection comes up counts the domain as cut off, until one does again.

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// probesAtOnce is how many upstreams of a domain are tried of which no box is heard.
	probesAtOnce = 3
	// probeEvery is the least time between two such trials.
	probeEvery = 500 * time.Millisecond
)

// shareCutOff tells the node which domains this box has left, and leaves those that its lead has left. It is called by
// the members' duty, ten times a second.
func (m *members) shareCutOff(ctx context.Context) {
	r := m.relay
	now := r.now()
	unheard := m.node.SilentDomains(now)
	left, told := r.cutOff(now, m.node.IsLeader(), m.node.UnreachableDomains(now))
	m.node.SetUnreachableDomains(left)
	for _, domain := range left {
		if !slices.Contains(m.left, domain) && (slices.Contains(told, domain) || slices.Contains(unheard, domain)) {
			r.cfg.Log.Event("domain", "cut off", Fields{"domain": domain, "told_by": m.node.LeaderName(), "unheard": unheard})
			r.moveRunsFrom(domain)
			r.tryLater()
		}
	}
	m.left = left
	if len(unheard) > 0 && now-m.probedAt >= probeEvery {
		m.probedAt = now
		r.probe(ctx, unheard)
	}
}

// cutOff lists the domains that this box has left, after it has followed its lead where it does not lead itself, and those
// that it was told of.
func (r *Relay) cutOff(now time.Duration, leads bool, told []string) (left, followed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !leads {
		r.fleet.FollowCutOffDomains(now, told)
		followed = told
	}
	return r.fleet.CutOffDomains(), followed
}

// probe tries a few upstreams of each domain.
func (r *Relay) probe(ctx context.Context, domains []string) {
	r.mu.Lock()
	var list []balance.Upstream
	for _, domain := range domains {
		list = append(list, r.fleet.Sample(domain, probesAtOnce)...)
	}
	r.mu.Unlock()
	for _, u := range list {
		go r.probeOne(ctx, u)
	}
}

// probeOne tries an upstream, and notes whether it can be reached. One that refuses can be.
func (r *Relay) probeOne(ctx context.Context, u balance.Upstream) {
	c, err := dial(ctx, u.Address)
	if err == nil {
		_ = c.Close()
	}
	if ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	r.mu.Lock()
	if err == nil {
		r.fleet.NoteReachable(r.now(), u.Incarnation())
	} else {
		r.fleet.NoteUnreachable(r.now(), u.Incarnation())
	}
	r.mu.Unlock()
	if err != nil {
		r.stats.count("probes_failed")
		r.logUnreached(u.ID)
		r.tryLater()
	}
}

// moveRunsFrom ends the runs on the upstreams of a domain that is cut off, where the request may run again: it goes
// on elsewhere, instead of waiting until its connection is known to be dead.
func (r *Relay) moveRunsFrom(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x, c := range r.runConns {
		u := r.fleet.Get(c.life.ID)
		if u != nil && u.Domain == domain && x.route.Again() {
			_ = c.Close()
		}
	}
}
