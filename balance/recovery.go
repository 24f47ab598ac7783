package balance

// This file defines how an upstream that was unreachable is used again. It may have restarted
// under the same id, and so be cold, before its entry says so; the entry is delayed for as long
// as the store is unavailable. The invariant: where a service limits the request rate of cold
// upstreams, an upstream that becomes reachable again gets only its cold quota until the
// published entries cover the time since then, or until it would be warm in any case. Without
// this, restarted upstreams are sent more than they can take until their entries arrive.

import (
	"slices"
	"time"
)

// maxPublishDelay is the longest time from the start of an upstream until its entry is published,
// while the store is available: an upstream writes the entry at once, and a store call takes
// 4 ms, or about 300 ms if the store is slow.
const maxPublishDelay = 500 * time.Millisecond

// markRecovered notes that an upstream is reachable again. It becomes cold if it was unreachable
// before.
func (f *Fleet) markRecovered(now time.Duration, m *member) {
	wasUnreachable, byDomain := m.unreachable, m.unreachableByDomain
	f.markReachable(m)
	if !wasUnreachable {
		return
	}
	m.reachableSince = now
	if !byDomain {
		f.reportReached(now, m)
	}
	cold := f.serviceOf(m.Service).cold
	if cold.MaxPerSecond == 0 || now < m.coldUntil || f.majorityLost(m.Service) {
		return
	}
	f.markCold(now, m, cold.Duration)
	m.setReachability(m.unreachable, now < m.coldUntil)
}

// majorityLost reports whether more of a service's upstreams than may back off at once are
// unreachable, or recovered and without a published entry since. The cause is then on the side of
// this box, and the quotas alone would leave its callers without service.
func (f *Fleet) majorityLost(service string) bool {
	s := f.serviceOf(service)
	return (s.unreachableCount+1)*percent > s.upstreamCount*maxBackoffPercent
}

// setReachability notes whether an upstream is unreachable, and whether it recovered and no entry
// published since is known.
func (m *member) setReachability(unreachable, unsure bool) {
	if m.unreachable || m.assumedCold {
		m.service.unreachableCount--
	}
	switch {
	case unreachable && !m.unreachable:
		m.service.lostPaths++
	case m.unreachable && !unreachable:
		m.service.lostPaths--
		m.tunnel = tunnelState{}
	}
	m.unreachable, m.assumedCold = unreachable, unsure
	if m.unreachable || m.assumedCold {
		m.service.unreachableCount++
	}
}

// NotePublished notes that all entries published up to the time published are known here: an
// upstream that recovered before then, and is cold, has had the time to say so.
func (f *Fleet) NotePublished(now, published time.Duration) {
	for _, m := range f.coldMembers {
		if m.assumedCold && published >= m.reachableSince+maxPublishDelay {
			m.setReachability(m.unreachable, false)
			m.coldUntil = now
			f.quotasStale = true
		}
	}
	f.coldMembers = slices.DeleteFunc(f.coldMembers, func(m *member) bool {
		isWarm := now >= m.coldUntil
		m.setReachability(m.unreachable, m.assumedCold && !isWarm)
		return isWarm
	})
}
