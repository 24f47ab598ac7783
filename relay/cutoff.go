package relay

// This file defines how a box detects that a failure domain is cut off by a network partition,
// or learns it from its leader, and what happens to the runs there. The invariant: missing
// messages from boxes alone never mark a domain as cut off. A leader that hears from no box of
// a domain probes its upstreams; only if no connection succeeds does it mark the domain as cut
// off, until a connection succeeds again.

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// domainProbeSize is how many upstreams are probed of a domain from which no box is heard.
	domainProbeSize = 3
	// domainProbeInterval is the shortest time between two probes of silent domains.
	domainProbeInterval = 500 * time.Millisecond
)

// syncCutOff passes the domains that this box treats as cut off to the node, and adopts those
// of its leader. It is called by the members' loop, ten times a second.
func (m *members) syncCutOff(ctx context.Context) {
	r := m.relay
	now := r.now()
	silent := m.node.SilentDomains(now)
	cutOff, reported, lost := r.updateCutOff(now, m.node.IsLeader(), m.node.UnreachableDomains(now))
	r.noteUnreachable(lost, m.node.LeaderName())
	m.node.SetUnreachableDomains(cutOff)
	for _, domain := range cutOff {
		if !slices.Contains(m.cutOffDomains, domain) && (slices.Contains(reported, domain) || slices.Contains(silent, domain)) {
			r.cfg.Log.Event("domain", "cut off", Fields{"domain": domain, "told_by": m.node.LeaderName(), "unheard": silent})
			r.closeRetriableRunsIn(domain)
			r.wakeProbeLoop()
		}
	}
	m.cutOffDomains = cutOff
	if len(silent) > 0 && now-m.lastProbe >= domainProbeInterval {
		m.lastProbe = now
		r.probeDomains(ctx, silent)
	}
}

// updateCutOff returns the domains that this box treats as cut off, those that its leader
// reported, and the upstreams that have become unreachable. A box that does not lead first adopts
// its leader's domains.
func (r *Relay) updateCutOff(now time.Duration, isLeader bool, reported []string) (cutOff, adopted []string, lost []balance.UnreachableUpstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isLeader {
		r.fleet.FollowCutOffDomains(now, reported)
		adopted = reported
	}
	return r.fleet.CutOffDomains(), adopted, r.fleet.TakeNewlyUnreachable()
}

// probeDomains probes a few upstreams of each domain.
func (r *Relay) probeDomains(ctx context.Context, domains []string) {
	r.mu.Lock()
	var list []balance.Upstream
	for _, domain := range domains {
		list = append(list, r.fleet.Sample(domain, domainProbeSize)...)
	}
	r.mu.Unlock()
	for _, u := range list {
		go r.probeUpstream(ctx, u)
	}
}

// probeUpstream tries to connect to an upstream and records whether it is reachable. An
// upstream that refuses the connection is left as it is: its host is reachable.
func (r *Relay) probeUpstream(ctx context.Context, u balance.Upstream) {
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
	lost := r.fleet.TakeNewlyUnreachable()
	r.mu.Unlock()
	r.noteUnreachable(lost, "")
	if err != nil {
		r.stats.count("probes_failed")
		r.wakeProbeLoop()
	}
}

// closeRetriableRunsIn closes the connections of the runs in a domain that is cut off, where
// the request may run again: it is retried elsewhere at once instead of after the TCP timeout.
func (r *Relay) closeRetriableRunsIn(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x, c := range r.runConns {
		u := r.fleet.Get(c.incarnation.ID)
		if u != nil && u.Domain == domain && x.route.CanRepeat() && c.tunnel() == nil {
			_ = c.Close()
		}
	}
}
