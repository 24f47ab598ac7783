package balance

// This file decides when a box connects to an upstream through another box, by a tunnel, because
// its own path is cut. The invariants: an upstream that this box reaches itself is never connected
// to through another box; requests are placed at upstreams behind tunnels only while the box
// itself reaches too few of the service; and an upstream that no other box reaches is asked for
// ever more seldom, so that boxes do not all try to reach one that is down through each other.

import "time"

const (
	// minTunnelDelay is the least head start of a box's own connection attempt, and tunnelDelayRTTs
	// the same in round trips: one connects, and packets may be delayed.
	minTunnelDelay  = 50 * time.Millisecond
	tunnelDelayRTTs = 4
	// minTunnelBackoff and maxTunnelBackoff bound how long no tunnel to an upstream is tried after
	// no other box reached it.
	minTunnelBackoff = time.Second
	maxTunnelBackoff = 4 * time.Second
	// maxTunnelDoublings limits the shift of minTunnelBackoff.
	maxTunnelDoublings = 8
	// maxTunnelFailures is how many upstreams in a row no other box may reach before tunnels are
	// no longer expected to work for those that were not tried yet.
	maxTunnelFailures = 2
	// maxUndecided is how many attempts in a row, each after the other, may end with boxes that lack paths
	// themselves or do not answer, before one attempt is made at a time, and undecidedBackoff the time from
	// its end to the next. The boxes that are asked differ each time.
	maxUndecided     = 4
	undecidedBackoff = 250 * time.Millisecond
)

// tunnelState is what a box knows of the tunnels to an upstream.
type tunnelState struct {
	reached bool          // one was established, and none has failed since
	failed  bool          // no other box reached it when it was last tried
	backoff time.Duration // if failed: time until it is tried again
	retryAt time.Duration // if failed: when it is tried again
}

// tunnelTrend is what a box knows of tunnels to any upstream.
type tunnelTrend struct {
	work      bool          // the last ones were established
	failures  int           // upstreams in a row that no other box reached
	undecided int           // attempts in a row that say nothing about the upstream
	failedAt  time.Duration // when the last of either was counted; 0: none since one was established
	retryAt   time.Duration // if isScarce: when another upstream is tried
}

// isScarce reports whether tunnels to upstreams that were not reached yet are tried one at a time.
func (t *tunnelTrend) isScarce() bool {
	return t.failures >= maxTunnelFailures || t.undecided >= maxUndecided
}

// overlaps reports whether an attempt was made beside one that was counted, so that it counts with it.
func (t *tunnelTrend) overlaps(began time.Duration) bool { return began < t.failedAt }

// ConnectDelay is the head start that a box's own attempt to connect to an upstream of a domain has
// before other attempts follow.
func (f *Fleet) ConnectDelay(domain string) time.Duration {
	return min(max(minTunnelDelay, tunnelDelayRTTs*f.RTT(domain)), DialWait)
}

// TunnelDelay returns whether to connect to an upstream incarnation through another box, and how
// long to attempt a connection of this box before; 0: not at all, since it is known to fail.
func (f *Fleet) TunnelDelay(now time.Duration, l Incarnation) (time.Duration, bool) {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l || !f.mayTryTunnel(now, m) {
		return 0, false
	}
	if m.unreachable {
		return 0, true
	}
	return f.ConnectDelay(m.Domain), f.pathsInDoubt(m)
}

// mayTryTunnel reports whether a tunnel to an upstream may be tried now.
func (f *Fleet) mayTryTunnel(now time.Duration, m *member) bool {
	if f.cfg.Off[Tunnels] || m.tunnel.failed && now < m.tunnel.retryAt {
		return false
	}
	return m.tunnel.reached || f.TunnelWait(now) == 0
}

// BeginTunnel notes that other boxes are asked for a connection. Where they were of no help lately, one
// attempt is made at a time.
func (f *Fleet) BeginTunnel(now time.Duration) {
	if f.tunnels.isScarce() && now >= f.tunnels.retryAt {
		f.tunnels.retryAt = now + DialWait
	}
}

// TunnelWait returns for how long no tunnel is tried to upstreams that none was established to; 0: one may be
// tried now.
func (f *Fleet) TunnelWait(now time.Duration) time.Duration {
	if !f.tunnels.isScarce() {
		return 0
	}
	return max(0, f.tunnels.retryAt-now)
}

// pathsInDoubt reports whether a connection attempt that fails may be due to this box's path: the
// box does not reach some upstream, the path is in doubt by this box's own observation, or there is no
// other one to try.
func (f *Fleet) pathsInDoubt(m *member) bool {
	return m.service.upstreamCount == 1 || m.reports.doubted || f.AnyUnreachable()
}

// AnyUnreachable reports whether this box does not reach some upstream.
func (f *Fleet) AnyUnreachable() bool {
	for _, s := range f.services {
		if s.lostPaths > 0 {
			return true
		}
	}
	return false
}

// TunnelProbeDue reports whether an unreachable upstream is to be tried through another box, so
// that no request has to find out whether that works. It is not where requests would use no tunnel.
func (f *Fleet) TunnelProbeDue(now time.Duration, l Incarnation) bool {
	m := f.byID[l.ID]
	return m != nil && m.Incarnation() == l && m.unreachable && m.service.needsTunnels() && !m.tunnel.reached && f.mayTryTunnel(now, m)
}

// NoteTunnel records whether a tunnel to an upstream incarnation was established.
func (f *Fleet) NoteTunnel(now time.Duration, l Incarnation, established bool) {
	m := f.byID[l.ID]
	switch {
	case m == nil || m.Incarnation() != l:
	case established:
		m.tunnel = tunnelState{reached: true}
		f.tunnels = tunnelTrend{work: true}
	default:
		f.noteTunnelFailure(now, now, m)
	}
}

// NoteTunnelFailure records that no other box reached an upstream incarnation in an attempt that began at
// the given time.
func (f *Fleet) NoteTunnelFailure(now, began time.Duration, l Incarnation) {
	if m := f.byID[l.ID]; m != nil && m.Incarnation() == l {
		f.noteTunnelFailure(now, began, m)
	}
}

// noteTunnelFailure is NoteTunnelFailure. Of attempts that were made beside each other, one counts as a
// failure of tunnels to any upstream.
func (f *Fleet) noteTunnelFailure(now, began time.Duration, m *member) {
	backoff := min(max(minTunnelBackoff, 2*m.tunnel.backoff), maxTunnelBackoff)
	m.tunnel = tunnelState{failed: true, backoff: backoff, retryAt: now + backoff}
	if f.tunnels.overlaps(began) {
		return
	}
	f.tunnels.failures++
	f.tunnels.failedAt = now
	if excess := f.tunnels.failures - maxTunnelFailures; excess >= 0 {
		f.tunnels.work = false
		f.tunnels.retryAt = now + min(minTunnelBackoff<<min(excess, maxTunnelDoublings), maxTunnelBackoff)
	}
}

// NoteTunnelUndecided records that an attempt that began at the given time ended with boxes that lack paths
// themselves or do not answer.
func (f *Fleet) NoteTunnelUndecided(now, began time.Duration) {
	t := &f.tunnels
	if t.overlaps(began) {
		return
	}
	t.undecided++
	t.failedAt = now
	if t.isScarce() {
		t.retryAt = max(t.retryAt, now+undecidedBackoff)
	}
}

// NoteDial records the result of a connection attempt to an upstream incarnation that was not made
// for a single request, or not used by it. began is when it was made. An attempt that fails takes away the
// one upstream; its domain is not counted as failing, since boxes look at many paths at the same time.
func (f *Fleet) NoteDial(now, began time.Duration, l Incarnation, o Outcome) {
	m := f.byID[l.ID]
	switch {
	case m == nil || m.Incarnation() != l:
	case o == Answered:
		f.recordReachable(now, m)
	case m.unreachable || m.reports.answeredAt > began:
	case o == Unreachable && f.isListed(m):
		f.reportLost(now, m, began)
		f.lose(m, false, m.ID)
		f.doubtPaths(now, m)
	case o == ConnectionRefused:
		f.recordRefused(now, m)
	}
}

// TunnelReaches reports whether an upstream incarnation is unreachable for this box and was last
// reached through another one.
func (f *Fleet) TunnelReaches(l Incarnation) bool {
	m := f.byID[l.ID]
	return m != nil && m.Incarnation() == l && m.unreachable && m.tunnel.reached
}

// behindTunnel reports whether an unreachable upstream is expected to be reached through another
// box.
func (f *Fleet) behindTunnel(m *member) bool {
	return !f.cfg.Off[Tunnels] && (m.tunnel.reached || f.tunnels.work && !m.tunnel.failed)
}

// MayTryTunnel reports whether an upstream incarnation may be asked for through another box now.
func (f *Fleet) MayTryTunnel(now time.Duration, l Incarnation) bool {
	m := f.byID[l.ID]
	return m != nil && m.Incarnation() == l && f.mayTryTunnel(now, m)
}

// isLost reports whether an upstream is reached neither by this box nor through another one.
func (f *Fleet) isLost(m *member) bool { return m.unreachable && !f.behindTunnel(m) }

// LacksPaths reports whether a failure of this box to reach an upstream of a service says nothing about
// others: it reaches too few of the service, or none has answered since several became unreachable.
func (f *Fleet) LacksPaths(name string) bool {
	s := f.serviceOf(name)
	return s.needsTunnels() || s.pathFailures.count >= cutOffThreshold
}

// needsTunnels reports whether the upstreams that this box reaches itself are too few of a
// service's to serve its requests.
func (s *service) needsTunnels() bool { return s.lostPaths*percent > s.upstreamCount*maxBackoffPercent }
