package balance

// This file defines how many requests a box may send to a cold upstream: one that has
// just started, or returned, and falls over when many are sent to it in a second. The load
// that it answers is that of upstreams that come back together: they have nothing to read,
// so that all boxes place their next requests there at the same moment.
//
// The ration is divided without anybody counting. Of the boxes of each failure domain a few,
// the first by rendezvous, may each send so many; all others send nothing. The invariant:
// boxes that know of the same boxes send half of the bound in any second, however many they
// are. The other half is for those that know of others, or do not know yet that the upstream
// is cold.

import (
	"slices"
	"time"
)

// ColdLimit is what the upstreams of a service bear while they are cold.
type ColdLimit struct {
	Lasts time.Duration // for how long one is after a start
	Most  int           // requests in one second, from all boxes together; 0: no bound
}

// DialWait is the longest that a connection to an upstream may take to come up; a round trip
// is a few ms, and what cannot be reached is tried elsewhere.
const DialWait = 350 * time.Millisecond

const (
	// coldHalf is the part of the bound that boxes which know of each other share: after a
	// cut within a domain, either side may know of its own boxes only.
	coldHalf = 2
	// coldWindow is the span in which a box keeps to its ration: a second, and the longest
	// time in which a request that was placed may still wait for its connection.
	coldWindow = time.Second + DialWait
)

// QuotaPeers are the boxes that share what the cold upstreams of a failure domain bear.
type QuotaPeers struct {
	Box   string   // this one
	Boxes []string // all of the domain that are known, this one among them; empty: not known yet
}

// ration is how many requests the box may send to a cold upstream within coldWindow, where
// the boxes of its domain share so many.
func (s QuotaPeers) ration(upstream string, shared int) int {
	if shared == 0 || len(s.Boxes) == 0 {
		return 0
	}
	owners := min(shared, len(s.Boxes))
	place := s.place(upstream)
	if place >= owners {
		return 0
	}
	ration := shared / owners
	if place < shared%owners {
		ration++
	}
	return ration
}

// place is how many boxes go before this one, for an upstream.
func (s QuotaPeers) place(upstream string) int {
	key := uint64(Key(upstream))
	own := weight(s.Box, key)
	place := 0
	for _, box := range s.Boxes {
		w := weight(box, key)
		if w > own || w == own && box < s.Box {
			place++
		}
	}
	return place
}

// SetCold notes what the upstreams of a service bear while they are cold.
func (f *Fleet) SetCold(service string, c ColdLimit) {
	f.serviceOf(service).cold = c
	f.rationsStale = true
}

// SetSharers notes which boxes share the rations.
func (f *Fleet) SetSharers(s QuotaPeers) {
	if s.Box == f.sharers.Box && slices.Equal(s.Boxes, f.sharers.Boxes) {
		return
	}
	f.sharers = s
	f.rationsStale = true
}

// cool notes that an upstream is cold for a while. One that is known to be cold for longer
// stays so.
func (f *Fleet) cool(now time.Duration, m *member, left time.Duration) {
	if left <= 0 {
		return
	}
	m.setLost(m.unreachable, false) // its entry says so
	if now+left <= m.coldTill {
		return
	}
	if now >= m.coldTill {
		m.coldSent = nil
		f.cold = append(f.cold, m)
		f.rationsStale = true
	}
	m.coldTill = now + left
}

// shareAnew works out this box's rations anew, once after each change of what they depend
// on: to do so for each request would cost a hash for each box and upstream.
func (f *Fleet) shareAnew(now time.Duration) {
	if f.rationsStale {
		f.rationsStale = false
		f.shareCold(now)
		f.shareLimits()
	}
}

// shareCold works out this box's rations of cold upstreams.
func (f *Fleet) shareCold(now time.Duration) {
	f.cold = slices.DeleteFunc(f.cold, func(m *member) bool { return now >= m.coldTill })
	for _, m := range f.cold {
		m.ration = f.sharers.ration(m.ID, f.domainsPart(m))
	}
}

// domainsPart is what the boxes of this box's domain share of the bound of a cold upstream:
// all domains that have upstreams of the service have the same part, since each takes a part
// of the requests. If the upstream's own domain had all of it, the other boxes would have to
// read elsewhere what it keeps. Where
// a part is less than one request, the upstream's own domain has all of it.
func (f *Fleet) domainsPart(m *member) int {
	shared := f.serviceOf(m.Service).cold.Most / coldHalf
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

// bears reports whether this box may send a request to an upstream now: it is not cold, or
// some of its ration is left.
func (f *Fleet) bears(now time.Duration, m *member) bool {
	if now >= m.coldTill || f.serviceOf(m.Service).cold.Most == 0 {
		return true
	}
	f.shareAnew(now)
	m.coldSent = slices.DeleteFunc(m.coldSent, func(at time.Duration) bool { return now-at >= coldWindow })
	return len(m.coldSent) < m.ration
}

// rationed is the upstream of a list that this box has sent the least of those that are cold or name a limit,
// nil where there is none. The few boxes that may send to it would hardly ever find it by rendezvous.
func (f *Fleet) rationed(now time.Duration, list []*member) *member {
	if len(f.cold) == 0 && len(f.limits.byLife) == 0 {
		return nil
	}
	var best *member
	for _, m := range list {
		isRationed := now < m.coldTill || f.limitOf(m) != nil
		if isRationed && (best == nil || m.history.within(now, coldWindow) < best.history.within(now, coldWindow)) {
			best = m
		}
	}
	return best
}

// noteCold counts a request that is sent to an upstream, where that is cold.
func (m *member) noteCold(now time.Duration) {
	if now < m.coldTill {
		m.coldSent = append(m.coldSent, now)
	}
}

// ColdLeft is how long it takes until an upstream of a service that takes requests is not
// cold any more; 0 where there is none that is cold.
func (f *Fleet) ColdLeft(now time.Duration, service string) time.Duration {
	var least time.Duration
	for _, m := range f.byService[service] {
		if left := m.coldTill - now; left > 0 && !m.closed() && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
