package balance

// This file decides when this box may send a request to an upstream that advertises a rate limit;
// limitquota.go computes the box's share of the limit. The invariants: every request counts
// toward the limit, whatever it is for; and of two requests that find no capacity the more urgent
// one is served first.

import (
	"math"
	"slices"
	"time"
)

// NoteLimitStatement records what an answer from an upstream incarnation says about its limit.
func (f *Fleet) NoteLimitStatement(now time.Duration, incarnation Incarnation, s LimitStatement) (LimitChange, bool) {
	c, changed := f.limits.observe(incarnation.Key(), s)
	f.countPrior(now, incarnation.Key())
	f.quotasStale = f.quotasStale || changed
	return c, changed
}

// MergeLimits merges reports of limits from other boxes and returns the changes.
func (f *Fleet) MergeLimits(now time.Duration, list []LimitReport) []LimitChange {
	changes := f.limits.mergeReports(now, list)
	for _, report := range list {
		f.countPrior(now, report.Life)
	}
	f.quotasStale = f.quotasStale || len(changes) > 0
	return changes
}

// TakeLimitNews returns the limits to report to other boxes since the last call.
func (f *Fleet) TakeLimitNews(now time.Duration) []LimitReport { return f.limits.takeReports(now) }

// KnownLimits returns all known limits, and separately those that are in force.
func (f *Fleet) KnownLimits(now time.Duration) (known, inForce []LimitReport) {
	return f.limits.all(now)
}

// ExpireLimits drops limits that are no longer of use.
func (f *Fleet) ExpireLimits(now time.Duration) {
	f.limits.expire(now, func(incarnation uint32) bool { return f.byKey[incarnation] != nil })
}

// LimitQuota is the limit of an upstream and this box's quota of it.
type LimitQuota struct {
	PerSecond float64
	Age       time.Duration // since the limit was last advertised, as far as is known here
	Quota     int           // requests that this box may send
	Span      time.Duration // time span of the quota
}

// limitOf returns the limit of an upstream, or nil if it advertises none or limits are switched
// off.
func (f *Fleet) limitOf(m *member) *limitState {
	if len(f.limits.byIncarnation) == 0 || f.cfg.Off[Limits] {
		return nil
	}
	return f.limits.active(m.key)
}

// Limit returns the limit that an upstream advertises; false if there is none.
func (f *Fleet) Limit(now time.Duration, id string) (LimitQuota, bool) {
	m := f.byID[id]
	if m == nil || f.limitOf(m) == nil {
		return LimitQuota{}, false
	}
	f.refreshQuotas(now)
	x := f.limitOf(m)
	_, span := f.cfg.LimitBounds.allowance(x.perSecond)
	return LimitQuota{PerSecond: x.perSecond, Age: now - x.lastRead, Quota: x.quota, Span: span}, true
}

// LimitExhausted reports whether an upstream advertises a limit that allows this box no further
// request now.
func (f *Fleet) LimitExhausted(now time.Duration, id string) bool {
	m := f.byID[id]
	if m == nil {
		return false
	}
	x := f.limitOf(m)
	return x != nil && f.limitWait(now, m, x) > 0
}

// allowedByLimits reports whether this box may send a request to an upstream, considering only
// the upstream's limit and requested pause.
func (f *Fleet) allowedByLimits(now time.Duration, m *member, r Request) bool {
	if !f.allowedByPause(now, m, r) {
		return false
	}
	x := f.limitOf(m)
	if x == nil {
		return true
	}
	return f.limitWait(now, m, x) == 0 && !f.serviceOf(m.Service).reservedFrom(now, r.urgencyLevel())
}

// countLimited returns how many upstreams a request may not go to only because of their limits
// and pauses.
func (f *Fleet) countLimited(now time.Duration, r Request, tried []string) int {
	if len(f.limits.byIncarnation) == 0 && len(f.pauses) == 0 {
		return 0
	}
	n := 0
	for _, m := range f.byService[r.Service] {
		if f.isEligible(now, m, r, tried) && !f.allowedByLimits(now, m, r) {
			n++
		}
	}
	return n
}

// limitWait returns the time until this box may send another request to an upstream; 0: now. In the
// first span of a limit, what was sent before it was known may leave less than the usual quota.
func (f *Fleet) limitWait(now time.Duration, m *member, x *limitState) time.Duration {
	f.refreshQuotas(now)
	_, span := f.cfg.LimitBounds.allowance(x.perSecond)
	quota, left := x.quota, time.Duration(0)
	if untilEnd := f.firstSpanEnd(x) - now; untilEnd > 0 {
		quota, left = min(x.quota, x.firstQuota), untilEnd
	}
	sent := m.history.within(now, span)
	switch {
	case sent < quota:
		return 0
	case x.quota == 0:
		return max(left, span) // the whole allowance belongs to other boxes
	case sent < x.quota:
		return left
	}
	return max(left, m.history.sent[len(m.history.sent)-x.quota]+span-now)
}

// LimitLeft estimates the time until an upstream of a service that advertises a limit can take a
// request from this box or from another one; 0 if no upstream does.
func (f *Fleet) LimitLeft(now time.Duration, service string) time.Duration {
	own, all := time.Duration(math.MaxInt64), 0.0
	for _, m := range f.byService[service] {
		if x := f.limitOf(m); x != nil && !m.closed() {
			own = min(own, f.limitWait(now, m, x))
			all += x.perSecond
		}
	}
	switch {
	case own == math.MaxInt64:
		return 0
	case all == 0:
		return own
	}
	return min(own, time.Duration(float64(time.Second)/all))
}

// urgentHolds is, by urgency, until when capacity is reserved for requests of that urgency; 0:
// none is reserved.
type urgentHolds [UrgencyLevels]time.Duration

// reserveForUrgent notes that a request found no capacity because of limits. Until capacity has
// become available and the refused caller may have retried, the little there is is withheld from
// less urgent requests.
func (f *Fleet) reserveForUrgent(now time.Duration, r Request) {
	f.serviceOf(r.Service).urgentUntil[r.urgencyLevel()] = now + f.cfg.LimitBounds.Span + 2*maxTransit
}

// reservedFrom reports whether capacity is withheld from requests of a level in favor of more
// urgent ones.
func (s *service) reservedFrom(now time.Duration, level int) bool {
	return slices.ContainsFunc(s.urgentUntil[:level], func(until time.Duration) bool { return now < until })
}

// limitedUpstreams returns the upstreams of a service that advertise a limit; none if all of them
// do, since nothing but their limited capacity exists then.
func (f *Fleet) limitedUpstreams(s *service) []*member {
	var list []*member
	for incarnation := range f.limits.byIncarnation {
		if m := f.byKey[incarnation]; m != nil && m.service == s && f.limitOf(m) != nil {
			list = append(list, m)
		}
	}
	if len(list) == s.upstreamCount {
		return nil
	}
	return list
}

// MaySend reports whether a placed request may still be sent once its connection is established:
// the upstream may have advertised a limit meanwhile. If it may not, the request is no longer
// counted as sent.
func (t *Ticket) MaySend(now time.Duration) bool {
	if t.closed || t.moved {
		return true
	}
	x := t.fleet.limitOf(t.member)
	if x == nil {
		return true
	}
	t.member.history.undo(t.opened)
	if t.fleet.limitWait(now, t.member, x) > 0 {
		return false
	}
	t.member.history.note(now)
	return true
}
