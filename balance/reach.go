package balance

// This file tracks which upstreams are unreachable. The invariants: an unreachable upstream gets
// no request while another one is available, until a probe connection or an answer shows that it
// is reachable again; and a failure domain counts as cut off only while none of its upstreams
// answers.

import (
	"slices"
	"strings"
	"time"
)

const (
	// cutOffThreshold is how many upstreams of a failure domain must become unreachable in a row,
	// with no answer from the domain in between, before the domain counts as cut off. A single
	// one may have crashed.
	cutOffThreshold = 2
	// cutOffWindow is the longest time between two of these failures.
	cutOffWindow = 2 * time.Second
)

// domainReach is the connectivity to a failure domain.
type domainReach struct {
	consecutive int           // upstreams that became unreachable since the last answer
	lastFailure time.Duration // time of the last failure
	inferred    int           // upstreams that are unreachable only because the domain is cut off; 0: it is not
}

// UnreachableUpstream is an upstream that has become unreachable.
type UnreachableUpstream struct {
	Upstream
	ByDomain bool   // only because its domain is taken to be cut off
	Cause    string // ID of the upstream whose failed connection led to it; empty if another box reported the domain
	// ToVerify is how many other upstreams are to be verified before their next request, since this
	// failure puts all paths of the box in doubt.
	ToVerify int
	// ToSample are others to be verified at once, since this failure may be one of all paths of the box to the
	// service.
	ToSample []Upstream
}

// domainReachOf returns the connectivity to a failure domain and creates the record if needed.
func (f *Fleet) domainReachOf(name string) *domainReach {
	d := f.domains[name]
	if d == nil {
		d = new(domainReach)
		f.domains[name] = d
	}
	return d
}

// recordFailure counts a failed connection to an upstream; isNew says that the upstream was
// reachable before.
func (d *domainReach) recordFailure(now time.Duration, isNew bool) {
	if now-d.lastFailure > cutOffWindow {
		d.consecutive = 0
	}
	if isNew {
		d.consecutive++
	}
	d.lastFailure = now
}

// recordUnreachable notes that no connection to an upstream was established, or that one went
// silent. If others of its domain have failed in the same way, the whole domain is marked as cut
// off. For its own domain a box relies only on what it observes itself.
func (f *Fleet) recordUnreachable(now time.Duration, m *member) {
	if !f.isListed(m) {
		return // an earlier incarnation says nothing about the path to the present one
	}
	d := f.domainReachOf(m.Domain)
	d.recordFailure(now, !m.unreachable)
	f.recordRefused(now, m)
	if m.Domain != f.cfg.Domain && d.consecutive >= cutOffThreshold && d.inferred == 0 && !f.cfg.Off[DomainCutOff] {
		f.markDomainCutOff(m.Domain, m.ID)
	}
}

// recordRefused notes that the host of an upstream refused a connection. Its domain does not count as
// failing: the host answers, and its upstream may have closed its listener to stop.
func (f *Fleet) recordRefused(now time.Duration, m *member) {
	if !f.isListed(m) {
		return
	}
	isNew := !m.unreachable
	f.lose(m, false, m.ID)
	if isNew {
		f.doubtPaths(now, m)
	}
}

// CutOffDomains returns the sorted names of the failure domains that this box treats as cut off.
func (f *Fleet) CutOffDomains() []string {
	var list []string
	for name, d := range f.domains {
		if d.inferred > 0 {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// FollowCutOffDomains applies the list of cut-off domains of another box: domains that are new in
// the list are marked as cut off, and domains that have left the list are restored.
func (f *Fleet) FollowCutOffDomains(now time.Duration, reported []string) {
	if f.cfg.Off[DomainCutOff] {
		return
	}
	for _, name := range reported {
		if !slices.Contains(f.reportedCutOff, name) && name != f.cfg.Domain {
			f.markDomainCutOff(name, "")
		}
	}
	for _, name := range f.reportedCutOff {
		if !slices.Contains(reported, name) {
			f.restoreDomain(now, name)
		}
	}
	f.reportedCutOff = reported
}

// Sample returns up to count upstreams of a failure domain that are not known to be unreachable,
// in no particular order.
func (f *Fleet) Sample(domain string, count int) []Upstream {
	var list []Upstream
	for _, m := range f.byID {
		if len(list) == count {
			break
		}
		if m.Domain == domain && !m.closed() && !m.unreachable {
			list = append(list, m.Upstream)
		}
	}
	return list
}

// NoteUnreachable records that a probe connection to an upstream incarnation failed.
func (f *Fleet) NoteUnreachable(now time.Duration, l Incarnation) {
	if m := f.byID[l.ID]; m != nil && m.Incarnation() == l {
		f.recordUnreachable(now, m)
	}
}

// markDomainCutOff marks all upstreams of a failure domain as unreachable. cause is as in
// UnreachableUpstream.
func (f *Fleet) markDomainCutOff(name, cause string) {
	for _, m := range f.byID {
		if m.Domain == name && !m.unreachable {
			f.lose(m, true, cause)
		}
	}
}

// lose stops sending requests to an upstream until it is reachable again, and queues that for
// TakeNewlyUnreachable. cause is as in UnreachableUpstream.
func (f *Fleet) lose(m *member, byDomain bool, cause string) {
	if !m.unreachable {
		f.newlyUnreachable = append(f.newlyUnreachable, UnreachableUpstream{Upstream: m.Upstream, ByDomain: byDomain, Cause: cause})
	}
	f.markUnreachable(m, byDomain)
}

// markUnreachable sets the unreachable state of an upstream; byDomain says that this follows from
// the state of its domain and not from a failure of its own.
func (f *Fleet) markUnreachable(m *member, byDomain bool) {
	f.markReachable(m)
	m.setReachability(true, m.assumedCold)
	m.unreachableByDomain = byDomain
	if byDomain {
		f.domainReachOf(m.Domain).inferred++
	}
}

// markReachable clears the unreachable state of an upstream, also when it is removed.
func (f *Fleet) markReachable(m *member) {
	if m.unreachableByDomain {
		f.domainReachOf(m.Domain).inferred--
	}
	m.setReachability(false, m.assumedCold)
	m.unreachableByDomain = false
}

// recordReachable notes that an upstream is reachable, and hence its domain.
func (f *Fleet) recordReachable(now time.Duration, m *member) {
	if !f.isListed(m) {
		return
	}
	d := f.domainReachOf(m.Domain)
	d.consecutive, f.pathFailures.count, m.service.pathFailures.count = 0, 0, 0
	m.noteReached(now)
	f.markRecovered(now, m)
	if d.inferred > 0 {
		f.restoreDomain(now, m.Domain)
	}
}

// restoreDomain restores the upstreams of a failure domain that were unreachable only because of
// the domain. Those that failed themselves are probed first.
func (f *Fleet) restoreDomain(now time.Duration, name string) {
	for _, m := range f.byID {
		if m.Domain == name && m.unreachableByDomain {
			f.markRecovered(now, m)
		}
	}
}

// NoteReachable records that a probe connection to an upstream incarnation was established, and
// reports whether that incarnation is still the one listed.
func (f *Fleet) NoteReachable(now time.Duration, l Incarnation) bool {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l {
		return false
	}
	f.recordReachable(now, m)
	return true
}

// NoteReachableByID records that a probe connection to an upstream was established.
func (f *Fleet) NoteReachableByID(id string) {
	if m := f.byID[id]; m != nil {
		f.recordReachable(f.lastPutAt, m)
	}
}

// TakeNewlyUnreachable returns the upstreams that became unreachable since the last call. Each
// caller of a method that may mark upstreams takes them, so that they are logged when it happens.
func (f *Fleet) TakeNewlyUnreachable() []UnreachableUpstream {
	list := f.newlyUnreachable
	f.newlyUnreachable = nil
	return list
}

// Unreachable returns the unreachable upstreams that are not evacuated, sorted by id so that a
// caller can probe them in turn.
func (f *Fleet) Unreachable() []Upstream {
	var list []Upstream
	for _, m := range f.byID {
		if m.unreachable && !m.evacuated {
			list = append(list, m.Upstream)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}
