package balance

// This file limits how many requests a box sends to a cold upstream: one that has just started,
// or recovered, and fails if it gets many requests within a second. It addresses the case of
// several upstreams that come back together: they have no backlog, so that all boxes would place
// their next requests there at the same moment.
//
// The limit is divided without coordination. In each failure domain the first few boxes by
// rendezvous rank may send a fixed number of requests each; all others send none. The invariant:
// boxes that know the same set of boxes send at most half of the limit in any second, however
// many they are. The other half covers boxes that know a different set, or do not know yet that
// the upstream is cold.

import (
	"slices"
	"time"
)

// ColdLimit is the request rate that the upstreams of a service can take while they are cold.
type ColdLimit struct {
	Duration     time.Duration // how long an upstream is cold after a start
	MaxPerSecond int           // requests per second, from all boxes together; 0: no limit
}

// DialWait is the longest time that establishing a connection to an upstream may take. A round
// trip takes a few ms; requests for an upstream that cannot be reached are retried elsewhere.
const DialWait = 350 * time.Millisecond

const (
	// coldReserveDivisor sets the part of the limit that boxes which know of each other use:
	// after a partition within a domain, either side may know only its own boxes.
	coldReserveDivisor = 2
	// coldWindow is the time span to which the quota of a box applies: one second, plus the
	// longest time for which a placed request may still wait for its connection.
	coldWindow = time.Second + DialWait
)

// QuotaPeers is the set of boxes of a failure domain that divide quotas among themselves.
type QuotaPeers struct {
	Box   string   // this box
	Boxes []string // all known boxes of the domain, including this one; empty: not known yet
}

// quota returns how many requests this box may send to an upstream when the boxes of its domain
// may send shared requests in total.
func (s QuotaPeers) quota(upstream string, shared int) int {
	if shared == 0 || len(s.Boxes) == 0 {
		return 0
	}
	owners := min(shared, len(s.Boxes))
	rank := s.rank(upstream)
	if rank >= owners {
		return 0
	}
	quota := shared / owners
	if rank < shared%owners {
		quota++
	}
	return quota
}

// rank returns how many boxes precede this one in the rendezvous order for an upstream.
func (s QuotaPeers) rank(upstream string) int {
	key := uint64(Key(upstream))
	own := weight(s.Box, key)
	rank := 0
	for _, box := range s.Boxes {
		w := weight(box, key)
		if w > own || w == own && box < s.Box {
			rank++
		}
	}
	return rank
}

// SetCold sets the limit for cold upstreams of a service.
func (f *Fleet) SetCold(service string, c ColdLimit) {
	f.serviceOf(service).cold = c
	f.quotasStale = true
}

// SetQuotaPeers sets the boxes that the quotas are divided among.
func (f *Fleet) SetQuotaPeers(s QuotaPeers) {
	if s.Box == f.quotaPeers.Box && slices.Equal(s.Boxes, f.quotaPeers.Boxes) {
		return
	}
	f.quotaPeers = s
	f.quotasStale = true
}

// markCold marks an upstream as cold for the time left. It stays cold for longer if that is
// already known.
func (f *Fleet) markCold(now time.Duration, m *member, left time.Duration) {
	if left <= 0 {
		return
	}
	m.setReachability(m.unreachable, false) // its entry reports the restart
	if now+left <= m.coldUntil {
		return
	}
	if now >= m.coldUntil {
		m.coldRequests = nil
		f.coldMembers = append(f.coldMembers, m)
		f.quotasStale = true
	}
	m.coldUntil = now + left
}

// refreshQuotas recomputes the quotas of this box if their inputs have changed. Doing so for each
// request would cost one hash per box and upstream.
func (f *Fleet) refreshQuotas(now time.Duration) {
	if f.quotasStale {
		f.quotasStale = false
		f.refreshColdQuotas(now)
		f.refreshLimitQuotas()
		f.refreshBrittleQuotas()
	}
}

// refreshColdQuotas recomputes the quotas of this box for cold upstreams.
func (f *Fleet) refreshColdQuotas(now time.Duration) {
	f.coldMembers = slices.DeleteFunc(f.coldMembers, func(m *member) bool { return now >= m.coldUntil })
	for _, m := range f.coldMembers {
		m.coldQuota = f.quotaPeers.quota(m.ID, f.domainShare(m, f.serviceOf(m.Service).cold.MaxPerSecond))
	}
}

// domainShare returns the part of an upstream's limit, while it is cold or full, that the boxes of
// this domain have together. All domains with upstreams of the service get the same part, since each of them
// carries a part of the requests. If the upstream's own domain got all of it, the other boxes
// would have prompts prefilled elsewhere that the upstream has cached. If a part is less than one
// request, the upstream's own domain gets the whole limit.
func (f *Fleet) domainShare(m *member, maxPerSecond int) int {
	shared := maxPerSecond / coldReserveDivisor
	domains := make(map[string]bool)
	for _, other := range f.byService[m.Service] {
		domains[other.Domain] = true
	}
	switch {
	case !domains[f.cfg.Domain]:
		return 0
	case len(domains) <= shared:
		return shared / len(domains)
	case m.Domain == f.cfg.Domain:
		return shared
	}
	return 0
}

// coldQuotaLeft reports whether this box may send a request to an upstream now: it is not cold,
// or some of its quota is left.
func (f *Fleet) coldQuotaLeft(now time.Duration, m *member) bool {
	if now >= m.coldUntil || f.serviceOf(m.Service).cold.MaxPerSecond == 0 {
		return true
	}
	f.refreshQuotas(now)
	m.coldRequests = slices.DeleteFunc(m.coldRequests, func(at time.Duration) bool { return now-at >= coldWindow })
	return len(m.coldRequests) < m.coldQuota
}

// leastSentLimited returns the upstream of a list that this box has sent the fewest requests,
// among those that are cold or advertise a limit, or nil if there is none. The few boxes with a
// quota for it would hardly ever select it by rendezvous rank.
func (f *Fleet) leastSentLimited(now time.Duration, list []*member) *member {
	if len(f.coldMembers) == 0 && len(f.limits.byIncarnation) == 0 {
		return nil
	}
	var best *member
	for _, m := range list {
		isLimited := now < m.coldUntil || f.limitOf(m) != nil
		if isLimited && (best == nil || m.history.within(now, coldWindow) < best.history.within(now, coldWindow)) {
			best = m
		}
	}
	return best
}

// recordColdRequest counts a request that is sent to an upstream, if the upstream is cold.
func (m *member) recordColdRequest(now time.Duration) {
	if now < m.coldUntil {
		m.coldRequests = append(m.coldRequests, now)
	}
}

// ColdLeft returns the time until the first cold upstream of a service that accepts requests
// becomes warm; 0 if none is cold.
func (f *Fleet) ColdLeft(now time.Duration, service string) time.Duration {
	var least time.Duration
	for _, m := range f.byService[service] {
		if left := m.coldUntil - now; left > 0 && !m.closed() && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
