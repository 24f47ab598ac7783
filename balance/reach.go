package balance

// This file defines which upstreams cannot be reached. The invariants: one that could
// not be reached gets no request while another can be had, until a trial connection or
// an answer shows that it can be reached again; and a failure domain is only left as a
// whole while none of its upstreams answers.

import (
	"slices"
	"strings"
	"time"
)

const (
	// domainFrom is how many upstreams of a failure domain must have become out of reach
	// in a row, none of the domain answering in between, for the domain itself to count
	// as cut off: one alone may have died.
	domainFrom = 2
	// domainWithin is the longest time between two of them.
	domainWithin = 2 * time.Second
)

// domainReach is what is known of the way to a failure domain.
type domainReach struct {
	inRow  int           // upstreams that became out of reach since one answered
	failed time.Duration // when one of them was last found out of reach
	left   int           // upstreams that were only left along with the domain; 0: it is not left
}

// Lost is an upstream that has come to count as out of reach.
type Lost struct {
	Upstream
	ByDomain bool // only because its domain seems to be cut off
}

// domain returns what is known of the way to a failure domain.
func (f *Fleet) domain(name string) *domainReach {
	d := f.domains[name]
	if d == nil {
		d = new(domainReach)
		f.domains[name] = d
	}
	return d
}

// noteFailure counts an upstream that could not be reached; isNew says that it could be
// before.
func (d *domainReach) noteFailure(now time.Duration, isNew bool) {
	if now-d.failed > domainWithin {
		d.inRow = 0
	}
	if isNew {
		d.inRow++
	}
	d.failed = now
}

// unreached notes that no connection to the upstream came up, or that one went silent.
// Where others of its domain have failed alike, all of them are out; within its own
// domain a box believes what it sees only.
func (f *Fleet) unreached(now time.Duration, m *member) {
	if !f.isListed(m) {
		return // an earlier life says nothing of the way there
	}
	d := f.domain(m.Domain)
	d.noteFailure(now, !m.unreachable)
	f.markOut(m, false)
	if m.Domain != f.cfg.Domain && d.inRow >= domainFrom && d.left == 0 && !f.cfg.Off[Domains] {
		f.leaveDomain(m.Domain)
	}
}

// CutOff lists, in order, the failure domains that this box has left as a whole.
func (f *Fleet) CutOff() []string {
	var list []string
	for name, d := range f.domains {
		if d.left > 0 {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// FollowCutOff leaves the failure domains that another box finds cut off and did not before, and takes those again that it does
// no more.
func (f *Fleet) FollowCutOff(now time.Duration, told []string) {
	if f.cfg.Off[Domains] {
		return
	}
	for _, name := range told {
		if !slices.Contains(f.toldCutOff, name) && name != f.cfg.Domain {
			f.leaveDomain(name)
		}
	}
	for _, name := range f.toldCutOff {
		if !slices.Contains(told, name) {
			f.returnToDomain(now, name)
		}
	}
	f.toldCutOff = told
}

// Sample lists up to so many upstreams of a failure domain that are not known to be out of reach, in no order.
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

// UnreachedLife notes that a trial connection to a life of an upstream did not come up.
func (f *Fleet) UnreachedLife(now time.Duration, l Incarnation) {
	if m := f.byID[l.ID]; m != nil && m.Incarnation() == l {
		f.unreached(now, m)
	}
}

// leaveDomain notes that a failure domain seems to be cut off.
func (f *Fleet) leaveDomain(name string) {
	for _, m := range f.byID {
		if m.Domain == name && !m.unreachable {
			f.markOut(m, true)
		}
	}
}

// markOut notes that an upstream gets no requests until it can be reached; byDomain says
// that it was not found out itself.
func (f *Fleet) markOut(m *member, byDomain bool) {
	if !m.unreachable {
		f.lost = append(f.lost, Lost{m.Upstream, byDomain})
	}
	f.markIn(m)
	m.setLost(true, m.unsure)
	m.byDomain = byDomain
	if byDomain {
		f.domain(m.Domain).left++
	}
}

// markIn notes that an upstream gets requests, or is not counted any more.
func (f *Fleet) markIn(m *member) {
	if m.byDomain {
		f.domain(m.Domain).left--
	}
	m.setLost(false, m.unsure)
	m.byDomain = false
}

// reached notes that an upstream can be reached, and with it its domain.
func (f *Fleet) reached(now time.Duration, m *member) {
	if !f.isListed(m) {
		return
	}
	d := f.domain(m.Domain)
	d.inRow = 0
	f.returns(now, m)
	if d.left > 0 {
		f.returnToDomain(now, m.Domain)
	}
}

// returnToDomain takes those upstreams of a failure domain again that were only left along
// with it; those that failed themselves are tried first.
func (f *Fleet) returnToDomain(now time.Duration, name string) {
	for _, m := range f.byID {
		if m.Domain == name && m.byDomain {
			f.returns(now, m)
		}
	}
}

// ReachedLife notes that a trial connection to a life of an upstream came up, and reports
// whether it is still the one that is listed.
func (f *Fleet) ReachedLife(now time.Duration, l Incarnation) bool {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l {
		return false
	}
	f.reached(now, m)
	return true
}

// Reached notes that a trial connection to an upstream came up.
func (f *Fleet) Reached(id string) {
	if m := f.byID[id]; m != nil {
		f.reached(f.lastPutAt, m)
	}
}

// NewlyLost returns, once, the upstreams that have come to count as out of reach.
func (f *Fleet) NewlyLost() []Lost {
	list := f.lost
	f.lost = nil
	return list
}

// Unreached lists the upstreams that cannot be reached and are not evacuated, by id, so
// that whoever tries them in turn leaves none out.
func (f *Fleet) Unreached() []Upstream {
	var list []Upstream
	for _, m := range f.byID {
		if m.unreachable && !m.evacuated {
			list = append(list, m.Upstream)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}
