package balance

// This file decides when a connection that fails puts other paths of this box in doubt. The invariants: a
// path in doubt is verified by a connection attempt before its next request, which would otherwise be lost
// on a connection that has fallen silent; an answer of an upstream ends the doubt about its path, and the
// count of failures in its service; and a single failure leads to a bounded number of attempts.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPathSamples is how many other paths of a service are verified at once after one has failed.
	maxPathSamples = 4
	// sampleInterval is the shortest time between two such verifications for a service.
	sampleInterval = 2 * time.Second
)

// pathFailures are upstreams that became unreachable with no answer of any upstream in between.
type pathFailures struct {
	count  int
	domain string        // of the first
	spread bool          // others are of another failure domain
	first  time.Duration // when the first of these connection attempts began, at the earliest
	last   time.Duration
}

// add counts an upstream of a failure domain. It returns whether the cause may be in this box's own paths:
// there are several, and not all of them are of one domain, which may be cut off or down as a whole;
// hasOthers says that upstreams of other domains are listed.
func (p *pathFailures) add(now time.Duration, domain string, hasOthers bool) bool {
	if p.count == 0 || now-p.last > cutOffWindow {
		*p = pathFailures{first: now - DialWait, domain: domain}
	}
	p.count++
	p.last = now
	p.spread = p.spread || domain != p.domain || !hasOthers
	return p.count >= cutOffThreshold && p.spread
}

// doubtPaths counts an upstream that has become unreachable, the last of newlyUnreachable. It puts all
// paths of this box in doubt, or those to the upstream's service, if others failed just before, or those
// to its domain if all of them are there; if not, some paths to the service are to be verified at once.
func (f *Fleet) doubtPaths(now time.Duration, m *member) {
	s, entry := m.service, &f.newlyUnreachable[len(f.newlyUnreachable)-1]
	all := f.pathFailures.add(now, m.Domain, f.hasOtherDomain(m.Domain))
	own := s.pathFailures.add(now, m.Domain, hasOtherDomain(f.byService[m.Service], m.Domain))
	switch {
	case f.cfg.Off[Tunnels], f.cfg.Off[ReachReports]:
	case all:
		for _, other := range f.byID {
			entry.ToVerify += f.doubtPath(now, f.pathFailures.first, other)
		}
	case own:
		entry.ToVerify = f.doubtService(now, s.pathFailures.first, m.Service)
	case s.pathFailures.count >= cutOffThreshold:
		entry.ToVerify = f.doubtDomain(now, s.pathFailures.first, m)
	default:
		entry.ToSample = f.samplePaths(now, s.pathFailures.first, m)
	}
}

// doubtDomain puts the paths to the upstreams of a service in the domain of one that failed in doubt that
// have not answered since a time, and returns how many these are.
func (f *Fleet) doubtDomain(now, since time.Duration, failed *member) int {
	count := 0
	for _, m := range f.byService[failed.Service] {
		if m.Domain == failed.Domain {
			count += f.doubtPath(now, since, m)
		}
	}
	return count
}

// doubtService puts the paths to all upstreams of a service in doubt that have not answered since a time,
// and returns how many these are.
func (f *Fleet) doubtService(now, since time.Duration, name string) int {
	count := 0
	for _, m := range f.byService[name] {
		count += f.doubtPath(now, since, m)
	}
	return count
}

// doubtPath puts the path to an upstream in doubt unless it has answered since a time. It returns 1 if the
// path is in doubt by this call, else 0.
func (f *Fleet) doubtPath(now, since time.Duration, m *member) int {
	if m.unreachable || m.closed() || m.reports.lost || m.reports.answeredAt >= since {
		return 0
	}
	m.setReportedLost(true)
	m.reports.lostAt, m.reports.doubted = now, true
	return 1
}

// SuspectPath records that a request to an upstream, sent at the time since, is not acknowledged, and that
// a connection attempt is not answered either. The path is in doubt. It returns other upstreams of the
// service to be verified at once.
func (f *Fleet) SuspectPath(now, since time.Duration, l Incarnation) []Upstream {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l || m.reports.answeredAt >= since || f.cfg.Off[Tunnels] || f.cfg.Off[ReachReports] {
		return nil
	}
	f.doubtPath(now, since, m)
	return f.samplePaths(now, since, m)
}

// samplePaths returns some upstreams of the service of one that failed, to be verified at once: of other
// domains first, then those whose last answer is the oldest. There are none if one has answered since.
func (f *Fleet) samplePaths(now, since time.Duration, failed *member) []Upstream {
	s := failed.service
	if now-s.sampledAt < sampleInterval || f.answeredSince(since, failed.Service) {
		return nil
	}
	list := slices.DeleteFunc(slices.Clone(f.byService[failed.Service]), func(m *member) bool {
		return m == failed || m.unreachable || m.closed() || m.reports.verifying
	})
	isNear := func(m *member) int {
		if m.Domain == failed.Domain {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(isNear(a)-isNear(b), cmp.Compare(a.reports.answeredAt, b.reports.answeredAt), cmp.Compare(a.ID, b.ID))
	})
	var samples []Upstream
	for _, m := range list[:min(maxPathSamples, len(list))] {
		samples = append(samples, m.Upstream)
	}
	if len(samples) > 0 {
		s.sampledAt = now
	}
	return samples
}

// answeredSince reports whether an upstream of a service has answered this box since a time.
func (f *Fleet) answeredSince(since time.Duration, name string) bool {
	return slices.ContainsFunc(f.byService[name], func(m *member) bool { return m.reports.answeredAt >= since })
}

// BeginSample reports whether an upstream returned by SuspectPath or with a failure is to be verified, and
// notes that this is in progress. It is avoided until EndVerification.
func (f *Fleet) BeginSample(now time.Duration, l Incarnation) bool {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l {
		return false
	}
	f.doubtPath(now, now, m)
	return f.BeginVerification(l)
}

// DoubtUnanswered puts all paths of this box to a service in doubt if no upstream of it has answered since
// a time, and returns how many these are.
func (f *Fleet) DoubtUnanswered(now, since time.Duration, name string) int {
	if f.answeredSince(since, name) {
		return 0
	}
	return f.doubtService(now, since, name)
}

// hasOtherDomain reports whether upstreams of another failure domain are listed.
func (f *Fleet) hasOtherDomain(domain string) bool {
	for _, m := range f.byID {
		if m.Domain != domain {
			return true
		}
	}
	return false
}

// hasOtherDomain reports whether some upstreams are of another failure domain.
func hasOtherDomain(list []*member, domain string) bool {
	return slices.ContainsFunc(list, func(m *member) bool { return m.Domain != domain })
}
