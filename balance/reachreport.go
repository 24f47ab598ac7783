package balance

// This file defines the reports between boxes about upstreams whose connections time out, and
// about their return. Without them every box detects it by itself, at the cost of a request that
// is lost if it may run only once. The invariants: a report makes no upstream unreachable, it only
// makes a box verify an upstream before its next request there; and a report has no effect on an
// upstream that has answered the box since, or where too many upstreams of a service are reported.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReachReportAge is the age from which a report is ignored. It says nothing about the
	// present, and a box that was suspended or cut off may send old ones.
	maxReachReportAge = 3 * time.Second
	// reachReportInterval is the shortest time between two reports of the same kind about an
	// upstream that a box forwards. Boxes that detect the same at the same time report the same.
	reachReportInterval = time.Second
)

// ReachReport says that connections to an upstream time out, or that one was established again.
type ReachReport struct {
	Life    uint32 // incarnation key
	Reached bool   // a connection was established again; otherwise they time out
	// Verified states, with Reached, that the box had not lost the upstream itself: it verified the
	// report of another box.
	Verified bool
	// Brittle states that the upstream may reject only Rejects requests in a second, and Full besides
	// that it has rejected one. They are sent with Reached and Verified, so that boxes which do not know
	// them make nothing of it.
	Brittle bool
	Rejects int
	Full    bool
	Age     time.Duration // since the earliest time for which it holds
	Box     string        // name of the box that observed it; empty: this one
}

// Aged returns the report as it is some time later.
func (t ReachReport) Aged(by time.Duration) ReachReport {
	t.Age += by
	return t
}

// ReachChange is an upstream with a report that has an effect on this box.
type ReachChange struct {
	Upstream
	Report ReachReport
}

// reachReports is the state of an upstream that follows from reports, or is kept for them.
type reachReports struct {
	lost         bool          // another box reports it unreachable, or this box doubts its paths, and it was not verified since
	doubted      bool          // if lost: no other box reports it
	lostAt       time.Duration // if lost: the time for which that was reported
	verifying    bool          // a connection attempt that verifies it is in progress
	answeredAt   time.Duration // when this box last had an answer or a connection
	lastLost     time.Duration // when a report that it is unreachable was last queued; 0: never
	lastReached  time.Duration // the same for a report of its return
	lastVerified time.Duration // the same for a report of a verification
	lastBrittle  time.Duration // the same for a report that it is brittle
	lastFull     time.Duration // the same for a report that it rejected a request
	reachedBy    string        // the box that last reported that it reaches it; empty: none did
	reachedAt    time.Duration // if reachedBy: the time for which that was reported
}

// reachKey identifies a queued report.
type reachKey struct {
	life uint32
	kind reachKind
}

// reachKind is what a report says.
type reachKind uint8

const (
	lostKind     reachKind = iota // connections time out
	reachedKind                   // a connection was established again
	verifiedKind                  // a box verified the report of another one with success
	brittleKind                   // it states that it is brittle
	fullKind                      // it is brittle, and has rejected a request
)

// kind returns what the report says.
func (t ReachReport) kind() reachKind {
	switch {
	case !t.Reached:
		return lostKind
	case t.Brittle && t.Full:
		return fullKind
	case t.Brittle:
		return brittleKind
	case t.Verified:
		return verifiedKind
	}
	return reachedKind
}

// queuedReachReport is a report to be sent, with the time for which it holds.
type queuedReachReport struct {
	at  time.Duration
	box string
}

// queueReachReport queues a report for other boxes unless a similar one was queued lately.
func (f *Fleet) queueReachReport(now time.Duration, m *member, kind reachKind, at time.Duration, box string) {
	last := m.reports.lastQueued(kind)
	if *last > 0 && now-*last < reachReportInterval {
		return
	}
	*last = now
	f.reachReports[reachKey{m.key, kind}] = queuedReachReport{at, box}
}

// lastQueued returns where the time of the last queued report of a kind is kept.
func (r *reachReports) lastQueued(kind reachKind) *time.Duration {
	switch kind {
	case reachedKind:
		return &r.lastReached
	case verifiedKind:
		return &r.lastVerified
	case brittleKind:
		return &r.lastBrittle
	case fullKind:
		return &r.lastFull
	}
	return &r.lastLost
}

// reportLost queues a report that this box's own connection to an upstream timed out, unless
// another box has reported it before. began is when the attempt, or the request, began.
func (f *Fleet) reportLost(now time.Duration, m *member, began time.Duration) {
	if f.cfg.Off[ReachReports] || !f.isListed(m) || m.closed() || m.unreachable || m.reports.lost && !m.reports.doubted {
		return
	}
	f.queueReachReport(now, m, lostKind, max(began, now-DialWait), "")
}

// reportReached queues a report that an upstream is reachable again, unless another box has reported
// that lately. All boxes probe an upstream that they found unreachable; the first one to reach it
// spares the others the rest of their round of probes.
func (f *Fleet) reportReached(now time.Duration, m *member) {
	if !f.cfg.Off[ReachReports] {
		f.queueReachReport(now, m, reachedKind, now, "")
	}
}

// TakeReachReports returns the queued reports sorted by incarnation key, and clears the queue.
func (f *Fleet) TakeReachReports(now time.Duration) []ReachReport {
	if len(f.reachReports) == 0 {
		return nil
	}
	var list []ReachReport
	for key, x := range f.reachReports {
		report := ReachReport{Life: key.life, Reached: key.kind != lostKind, Verified: key.kind >= verifiedKind, Brittle: key.kind >= brittleKind, Full: key.kind == fullKind, Age: now - x.at, Box: x.box}
		if m := f.byKey[key.life]; key.kind >= brittleKind && m != nil && m.brittle != nil {
			report.Rejects = m.brittle.rejects
		}
		list = append(list, report)
	}
	clear(f.reachReports)
	slices.SortFunc(list, compareReachReports)
	return list
}

// compareReachReports orders reports by incarnation key, then losses before returns.
func compareReachReports(a, b ReachReport) int {
	return cmp.Or(cmp.Compare(a.Life, b.Life), cmp.Compare(a.kind(), b.kind()))
}

// MergeReachReports applies the reports of other boxes and queues them to be forwarded. It returns
// those with an effect: upstreams that are to be verified, and unreachable ones that are to be
// probed at once because another box reaches them.
func (f *Fleet) MergeReachReports(now time.Duration, list []ReachReport) []ReachChange {
	if f.cfg.Off[ReachReports] {
		return nil
	}
	var changes []ReachChange
	for _, t := range list {
		m := f.byKey[t.Life]
		if m == nil || m.closed() || t.Age < 0 || t.Age >= maxReachReportAge {
			continue
		}
		if t.kind() >= brittleKind {
			if f.mergeBrittleReport(now, m, t) {
				changes = append(changes, ReachChange{m.Upstream, t})
			}
			continue
		}
		f.queueReachReport(now, m, t.kind(), now-t.Age, t.Box)
		if f.mergeReachReport(m, t, now-t.Age) {
			changes = append(changes, ReachChange{m.Upstream, t})
		}
	}
	return changes
}

// mergeReachReport applies a report for the time at, and returns whether it has an effect.
func (f *Fleet) mergeReachReport(m *member, t ReachReport, at time.Duration) bool {
	if t.Reached {
		m.reports.reachedBy, m.reports.reachedAt = t.Box, at
		m.tunnel.failed = false
	}
	switch {
	case t.Verified:
		return false // the path of the box that lost it may be cut still
	case t.Reached:
		if m.reports.lost && at > m.reports.lostAt {
			m.setReportedLost(false)
		}
		return m.unreachable
	case m.unreachable || m.reports.lost || m.reports.answeredAt > at || f.tooManyLost(m.service):
		return false
	}
	m.setReportedLost(true)
	m.reports.lostAt = at
	return true
}

// tooManyLost reports whether more of a service's upstreams than may back off at once would be
// unreachable or reported as such. The cause is then not in the upstreams, but in the network of
// the boxes that report them, or in the load.
func (f *Fleet) tooManyLost(s *service) bool {
	return (s.unreachableCount+s.reportedLostCount+1)*percent > s.upstreamCount*maxBackoffPercent
}

// setReportedLost sets whether another box reports an upstream unreachable.
func (m *member) setReportedLost(lost bool) {
	if m.reports.lost {
		m.service.reportedLostCount--
	}
	m.reports.lost, m.reports.doubted = lost, false
	if m.reports.lost {
		m.service.reportedLostCount++
	}
}

// noteReached records that this box had an answer or a connection, so that earlier reports no
// longer apply.
func (m *member) noteReached(now time.Duration) {
	m.reports.answeredAt = now
	m.setReportedLost(false)
}

// BeginVerification reports whether an incarnation has to be verified before a request is sent
// there, and notes that this is in progress. It is avoided until EndVerification.
func (f *Fleet) BeginVerification(l Incarnation) bool {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l || !m.reports.lost || m.unreachable {
		return false
	}
	m.reports.verifying = true
	return true
}

// VerificationResult is the result of the connection attempt of a verification.
type VerificationResult uint8

// The results of a verification.
const (
	VerifiedReachable   VerificationResult = iota // a connection was established
	VerifiedUnreachable                           // the attempt timed out
	NotSilent                                     // it was refused or reset, so the host is there
)

// EndVerification records the result of a verification that began at the given time. An upstream
// whose connection timed out becomes unreachable unless it has answered this box meanwhile. Its
// domain is not counted as failing: otherwise two reports, about two upstreams of a domain that is
// sound, would take away all of them.
func (f *Fleet) EndVerification(now, began time.Duration, l Incarnation, result VerificationResult) {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l {
		return
	}
	answersReport := !m.reports.doubted && m.reports.reachedAt < m.reports.lostAt // no other box has answered it yet
	m.reports.verifying = false
	m.setReportedLost(false)
	switch {
	case result == VerifiedReachable:
		f.recordReachable(now, m)
		if answersReport {
			f.queueReachReport(now, m, verifiedKind, now, "")
		}
	case result == VerifiedUnreachable && m.reports.answeredAt <= began && !m.unreachable:
		f.lose(m, false, m.ID)
		f.doubtPaths(now, m)
	}
}

// HasAnswered reports whether an incarnation has answered this box, or accepted a connection, since
// a moment.
func (f *Fleet) HasAnswered(l Incarnation, since time.Duration) bool {
	m := f.byID[l.ID]
	return m != nil && m.Incarnation() == l && m.reports.answeredAt >= since
}

// IsUnreachable reports whether an incarnation is listed and unreachable.
func (f *Fleet) IsUnreachable(l Incarnation) bool {
	m := f.byID[l.ID]
	return m != nil && m.Incarnation() == l && m.unreachable
}

// avoidsReported reports whether a request avoids all upstreams that are reported unreachable:
// one to which it was to be sent before could not be verified in time.
func (f *Fleet) avoidsReported(tried []string) bool {
	return slices.ContainsFunc(tried, func(id string) bool {
		m := f.byID[id]
		return m != nil && (m.unreachable || m.reports.verifying)
	})
}

// PathState is what a box knows of its paths to upstreams, for logs and metrics.
type PathState struct {
	Listed      int // upstreams that are listed
	Unreachable int // of these, those that this box does not reach
	// ReachedByOthers is how many of the unreachable ones another box has reached within
	// maxReachReportAge: this box's path is cut, not the upstream down.
	ReachedByOthers int
	ReportedBy      string        // the box with the latest of these reports; empty: there is none
	ReportAge       time.Duration // if ReportedBy: of that report
}

// Paths returns what this box knows of its paths to the upstreams of a service, or of all services
// if the name is empty.
func (f *Fleet) Paths(now time.Duration, service string) PathState {
	var s PathState
	for _, m := range f.byID {
		if service != "" && m.Service != service {
			continue
		}
		s.Listed++
		if !m.unreachable {
			continue
		}
		s.Unreachable++
		age := now - m.reports.reachedAt
		if m.reports.reachedBy == "" || age >= maxReachReportAge {
			continue
		}
		s.ReachedByOthers++
		if s.ReportedBy == "" || age < s.ReportAge {
			s.ReportedBy, s.ReportAge = m.reports.reachedBy, age
		}
	}
	return s
}
