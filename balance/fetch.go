package balance

// This file defines from where an upstream may fetch what it lacks of a prompt.
// Fetching costs a fourth of reading again. The invariant: an upstream that was listed
// too recently, or cannot be reached, is never fetched from.

import "time"

// fetchFrom is the address of the upstream that is more likely to keep the prompt
// than the chosen one: one that comes before it, or that did so until the chosen one
// was new.
func (f *Fleet) fetchFrom(now time.Duration, r Request, chosen *member) string {
	if !r.Moves {
		return ""
	}
	key := sharedKey(r)
	mine := weight(chosen.ID, key)
	var best *member
	var bestWeight uint64
	for _, m := range f.byService[r.Service] {
		if m == chosen || m.out || m.health.rests(now) || !f.inLane(m, r.Tight) || f.young(now, m) {
			continue
		}
		w := weight(m.ID, key)
		likelier := w > mine || f.young(now, chosen)
		if likelier && (best == nil || w > bestWeight) {
			best, bestWeight = m, w
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}

// young reports whether an upstream was listed too recently to keep much.
func (f *Fleet) young(now time.Duration, m *member) bool { return now-m.since < f.cfg.Tuning.NewFor }
