package balance

// This file chooses the upstream from which another one fetches missing parts of a prompt. A
// fetch costs a fourth of reading the parts again. An upstream in an evacuated failure domain
// remains a source while it is listed: the fetch sends no request to its domain, and the parts it
// holds will soon be lost. Invariant: a source is reachable, not in failure backoff, and in a
// region the request may run in. An upstream that was listed recently is a source only if boxes
// reported that it was sent the missing parts.

import (
	"cmp"
	"slices"
	"time"
)

// fetchFrom returns the address of the upstream to fetch the prompt's shared parts from, or "" if
// nothing is to be fetched.
func (f *Fleet) fetchFrom(now time.Duration, r Request, chosen *member) string {
	if !r.CanTransfer || f.cfg.Off[Fetching] {
		return ""
	}
	from, known := f.knownHolder(now, r, chosen)
	if !known {
		from = f.likelyHolder(now, r, chosen)
	}
	if from == nil {
		return ""
	}
	return from.Address
}

// knownHolder returns the upstream to fetch from according to the part index, or nil if nothing
// is to be fetched. known is false if the index is not complete enough to decide.
func (f *Fleet) knownHolder(now time.Duration, r Request, chosen *member) (from *member, known bool) {
	last := r.lastShared()
	if !last.isReported() {
		return nil, false
	}
	if f.parts.holds(now, PartKey(last.ID), chosen) {
		return nil, true
	}
	for _, part := range slices.Backward(r.shared()) { // prefer the source with the most of the prompt
		if f.parts.holds(now, PartKey(part.ID), chosen) {
			break
		}
		if from := f.holderOf(now, r, part, chosen); from != nil {
			return from, true
		}
	}
	return nil, f.knowsAllParts(now)
}

// likelyHolder returns the upstream that is more likely than the chosen one to hold the prompt,
// or nil: one that precedes it by rendezvous weight, or that did before the chosen one was listed
// or changed its lane. If this box has not received all reports yet, other boxes may have sent
// the prompt to their next choice, which is a near one.
func (f *Fleet) likelyHolder(now time.Duration, r Request, chosen *member) *member {
	key := sharedKey(r)
	ownWeight := chosen.weightFor(key)
	recent := f.isNew(now, chosen) || f.changedLane(now, chosen)
	incomplete := r.lastShared().isReported() && !f.knowsAllParts(now)
	tight := f.tight(r)
	var c ranking
	for _, m := range f.byService[r.Service] {
		if m != chosen && mayFetch(chosen, m) && !f.isLost(m) && !m.health.backingOff(now) && f.mayHold(now, m, tight) && f.mayRunIn(m.Domain, r) {
			f.addToRanking(&c, m, key)
		}
	}
	preferred := c.all.first
	switch {
	case preferred != nil && (recent || preferred.weightFor(key) > ownWeight):
		return preferred
	case incomplete:
		return f.nearest(r, c.list())
	}
	return nil
}

// nearest returns the upstream with the lowest network cost for a request, or nil if the list is
// empty.
func (f *Fleet) nearest(r Request, list []*member) *member {
	var best *member
	for _, m := range list {
		if best == nil || f.nearer(r, m, best) {
			best = m
		}
	}
	return best
}

// nearer reports whether upstream a has a lower network cost for a request than b, or the same
// cost and a greater rendezvous weight.
func (f *Fleet) nearer(r Request, a, b *member) bool {
	byWeight := cmp.Compare(weight(b.ID, sharedKey(r)), weight(a.ID, sharedKey(r)))
	return cmp.Or(cmp.Compare(f.networkCost(a.Domain, r), f.networkCost(b.Domain, r)), byWeight) < 0
}

// mayHold reports whether an upstream may hold the shared parts of a lane's prompts: it has been
// in the lane for a while, or left it recently.
func (f *Fleet) mayHold(now time.Duration, m *member, tight bool) bool {
	return !f.isNew(now, m) && f.inLane(now, m, tight) != f.changedLane(now, m)
}

// isNew reports whether an upstream was listed too recently to hold many parts.
func (f *Fleet) isNew(now time.Duration, m *member) bool {
	return now-m.listedAt < f.cfg.Tuning.NewUpstreamPeriod
}

// changedLane reports whether an upstream changed its lane too recently to hold many parts of its
// present lane's prompts.
func (f *Fleet) changedLane(now time.Duration, m *member) bool {
	return now-m.laneChangedAt < f.cfg.Tuning.NewUpstreamPeriod
}
