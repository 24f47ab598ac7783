package balance

// This file defines from where an upstream may fetch what it lacks of a prompt.
// Fetching costs a fourth of reading again. An upstream whose failure domain is evacuated is
// fetched from as long as it is there: its domain gets nothing by that, and what it keeps is
// about to go. The invariant: an upstream that cannot be reached, or rests, is
// never fetched from, nor is one outside of the request's homes; one that was listed lately only
// where boxes told that it was sent what is lacking.

import (
	"cmp"
	"slices"
	"time"
)

// fetchFrom is the address of the upstream to fetch the prompt's shared parts from, or
// empty where nothing is to be fetched.
func (f *Fleet) fetchFrom(now time.Duration, r Request, chosen *member) string {
	if !r.Moves || f.cfg.Off[Fetching] {
		return ""
	}
	from, known := f.knownKeeper(now, r, chosen)
	if !known {
		from = f.likelyKeeper(now, r, chosen)
	}
	if from == nil {
		return ""
	}
	return from.Address
}

// knownKeeper is the upstream to fetch from by what boxes told, nil where nothing is to be
// fetched; known is false where they told too little to say.
func (f *Fleet) knownKeeper(now time.Duration, r Request, chosen *member) (from *member, known bool) {
	last := r.lastShared()
	if !last.told() {
		return nil, false
	}
	if f.kept.holds(now, PartKey(last.ID), chosen) {
		return nil, true
	}
	for _, part := range slices.Backward(r.shared()) { // as much of the prompt as can be had
		if f.kept.holds(now, PartKey(part.ID), chosen) {
			break
		}
		if from := f.keeperOf(now, r, part, chosen); from != nil {
			return from, true
		}
	}
	return nil, f.sure(now)
}

// likelyKeeper is the upstream that is more likely to keep the prompt than the chosen one,
// or nil: one that comes before it by rendezvous, or that did so until the chosen one was
// new to the list or to its lane. Where this box has not heard of all that upstreams were
// sent, others may have sent the prompt to their next choice, which is a near one.
func (f *Fleet) likelyKeeper(now time.Duration, r Request, chosen *member) *member {
	key := sharedKey(r)
	mine := chosen.weightFor(key)
	fresh := f.young(now, chosen) || f.changed(now, chosen)
	unheard := r.lastShared().told() && !f.sure(now)
	tight := f.tight(r)
	var c ranking
	for _, m := range f.byService[r.Service] {
		if m != chosen && !m.out && !m.health.rests(now) && f.mayKeep(now, m, tight) && f.mayRunIn(m.Domain, r) {
			f.addTo(&c, m, key)
		}
	}
	before := c.all.first
	switch {
	case before != nil && (fresh || before.weightFor(key) > mine):
		return before
	case unheard:
		return f.nearest(r, c.list())
	}
	return nil
}

// nearest is the upstream of a list to which a request costs the least on its way; nil of none.
func (f *Fleet) nearest(r Request, list []*member) *member {
	var best *member
	for _, m := range list {
		if best == nil || f.nearer(r, m, best) {
			best = m
		}
	}
	return best
}

// nearer reports whether a request costs less on its way to an upstream than to another one,
// or as much and goes there before by rendezvous.
func (f *Fleet) nearer(r Request, a, b *member) bool {
	byWeight := cmp.Compare(weight(b.ID, sharedKey(r)), weight(a.ID, sharedKey(r)))
	return cmp.Or(cmp.Compare(f.distance(a.Domain, r), f.distance(b.Domain, r)), byWeight) < 0
}

// mayKeep reports whether an upstream may keep what prompts of a lane share: it has been
// in the lane for a while, or was until lately.
func (f *Fleet) mayKeep(now time.Duration, m *member, tight bool) bool {
	return !f.young(now, m) && f.inLane(now, m, tight) != f.changed(now, m)
}

// young reports whether an upstream was listed too recently to keep much.
func (f *Fleet) young(now time.Duration, m *member) bool { return now-m.since < f.cfg.Tuning.NewFor }

// changed reports whether an upstream came into its lane too recently to keep much of
// what is read there.
func (f *Fleet) changed(now time.Duration, m *member) bool { return now-m.moved < f.cfg.Tuning.NewFor }
