package balance

// This file limits what upstreams that state that they are brittle have to reject. Such an upstream
// fails if it rejects more than a stated number of requests in a second, counted over all boxes. The
// invariant: what all boxes have open at a brittle upstream grows by at most half of what is free there
// until they have heard of it; and while it is full, as far as this box knows, this box has no more
// requests open there than when it became full, but for its quota. The quotas of all boxes, which also hold for
// cold upstreams, add up to half of the stated number in a second, so that no more than that are
// rejected. The other half is for requests on their way when the first rejection becomes known. Loads
// of other boxes are too old to go by where requests take less time than a report.

import (
	"slices"
	"time"
)

const (
	// fullHold is how long an upstream counts as full after it was last found to be.
	fullHold = 3 * time.Second
	// fullShareDivisor and fullShareParts set how many of its slots are taken when an upstream counts as full
	// before it has rejected anything: three quarters.
	fullShareDivisor, fullShareParts = 4, 3
	// growthInterval is how often what this box may have open at an upstream that is not full grows by
	// its share of half of what is free: by then it has heard of what others have sent.
	growthInterval = 200 * time.Millisecond
	// brittleRetention is how long an upstream counts as brittle after an answer stated so.
	brittleRetention = 10 * time.Second
	// brittleReportInterval is how often it is reported to boxes that get no answers from it.
	brittleReportInterval = brittleRetention / 3
)

// brittleState is what is known of an upstream that states that it is brittle.
type brittleState struct {
	rejects    int             // requests that it may reject in a second
	statedAt   time.Duration   // when the latest answer that states it was read
	fullUntil  time.Duration   // it counts as full until then
	window     int             // requests that this box may have open there
	growsSince time.Duration   // when the window was last set while it was not full
	quota      int             // requests beyond the window while it is full, within coldWindow
	sent       []time.Duration // when this box sent those of the last coldWindow
}

// BrittleStatement is what an answer says about how many requests its upstream may reject.
type BrittleStatement struct {
	Stated  bool          // the upstream is brittle
	Rejects int           // requests that it may reject in a second
	Sent    time.Duration // when the request was sent
}

// NoteBrittle records what an answer of an upstream incarnation states, and returns whether it became
// brittle, or is so no longer.
func (f *Fleet) NoteBrittle(now time.Duration, l Incarnation, s BrittleStatement) bool {
	m := f.byID[l.ID]
	if m == nil || m.Incarnation() != l {
		return false
	}
	switch {
	case s.Stated:
		return f.setBrittle(now, m, s.Rejects, now, "")
	case m.brittle != nil && s.Sent >= m.brittle.statedAt:
		m.brittle = nil
		return true
	}
	return false
}

// setBrittle records that an upstream is brittle, as it stated at the given time to a box (empty: this
// one). It returns whether that is new or a change.
func (f *Fleet) setBrittle(now time.Duration, m *member, rejects int, at time.Duration, box string) bool {
	b := m.brittle
	isNew := b == nil || b.rejects != rejects
	if b == nil {
		b = new(brittleState)
		m.brittle = b
	}
	b.rejects, b.statedAt = rejects, max(b.statedAt, at)
	f.quotasStale = f.quotasStale || isNew
	if isNew || box != "" || now-m.reports.lastBrittle >= brittleReportInterval {
		f.queueBrittleReport(now, m, brittleKind, at, box)
	}
	return isNew
}

// queueBrittleReport queues a report of a brittle upstream for other boxes.
func (f *Fleet) queueBrittleReport(now time.Duration, m *member, kind reachKind, at time.Duration, box string) {
	if !f.cfg.Off[Limits] {
		f.queueReachReport(now, m, kind, at, box)
	}
}

// noteRejected records that an upstream rejected a request for want of room at the given time, as a box
// (empty: this one) was told.
func (f *Fleet) noteRejected(now time.Duration, m *member, at time.Duration, box string) {
	if m.brittle == nil {
		return
	}
	m.brittle.window = m.ownOpen()
	m.setFull(now)
	f.queueBrittleReport(now, m, fullKind, at, box)
}

// setFull records that an upstream is full from now on, and freezes what this box may have open there
// unless it was full before.
func (m *member) setFull(now time.Duration) {
	b := m.brittle
	if now >= b.fullUntil {
		b.window, b.sent = m.ownOpen(), nil
	}
	b.fullUntil = now + fullHold
}

// ownOpen returns how many requests of this box are open on an upstream.
func (m *member) ownOpen() int { return m.work.upTo(UrgencyLevels - 1).Requests }

// mergeBrittleReport applies a report of another box, and returns whether it has an effect.
func (f *Fleet) mergeBrittleReport(now time.Duration, m *member, t ReachReport) bool {
	isNew := f.setBrittle(now, m, t.Rejects, now-t.Age, t.Box)
	if t.kind() == fullKind {
		isNew = isNew || now >= m.brittle.fullUntil
		f.noteRejected(now, m, now-t.Age, t.Box)
	}
	return isNew
}

// isBrittle reports whether an upstream counts as brittle.
func (f *Fleet) isBrittle(now time.Duration, m *member) bool {
	return m.brittle != nil && now-m.brittle.statedAt < brittleRetention && !f.cfg.Off[Limits]
}

// allowedByBrittleness reports whether this box may send a request to an upstream, considering only
// what the upstream may reject.
func (f *Fleet) allowedByBrittleness(now time.Duration, m *member) bool {
	if !f.isBrittle(now, m) {
		return true
	}
	b := m.brittle
	free := m.Slots*fullShareParts/fullShareDivisor - m.open()
	switch {
	case free <= 0:
		m.setFull(now)
	case now >= b.fullUntil && now-b.growsSince >= growthInterval:
		b.growsSince = now
		b.window = m.ownOpen() + f.brittleGrowth(m, free)
	}
	if m.ownOpen() < b.window {
		return true
	}
	if now >= b.fullUntil {
		return false // all boxes may have found it the least busy at the same time
	}
	f.refreshQuotas(now)
	b.sent = slices.DeleteFunc(b.sent, func(at time.Duration) bool { return now-at >= coldWindow })
	return len(b.sent) < b.quota
}

// brittleGrowth returns how many requests more this box may open on an upstream within growthInterval
// when so many of its slots are free. A box that does not know the others yet, as it has just started,
// serves its callers slowly.
func (f *Fleet) brittleGrowth(m *member, free int) int {
	if len(f.quotaPeers.Boxes) == 0 {
		return 1
	}
	return f.quotaPeers.quota(m.ID, f.domainShare(m, max(free, m.brittle.rejects)))
}

// recordBrittleRequest counts a request that is about to be sent to an upstream, if that is brittle.
func (m *member) recordBrittleRequest(now time.Duration) {
	b := m.brittle
	if b != nil && now < b.fullUntil && m.ownOpen() > b.window {
		b.window = m.ownOpen()
		b.sent = append(b.sent, now)
	}
}

// refreshBrittleQuotas recomputes the quotas of this box for brittle upstreams.
func (f *Fleet) refreshBrittleQuotas() {
	for _, m := range f.byID {
		if m.brittle != nil {
			m.brittle.quota = f.quotaPeers.quota(m.ID, f.domainShare(m, m.brittle.rejects))
		}
	}
}

// Brittle returns how many requests an upstream may reject in a second, by its own statement; false if
// it is not brittle. full reports whether it is expected to reject further ones.
func (f *Fleet) Brittle(now time.Duration, id string) (rejects int, full, ok bool) {
	m := f.byID[id]
	if m == nil || !f.isBrittle(now, m) {
		return 0, false, false
	}
	return m.brittle.rejects, now < m.brittle.fullUntil, true
}
