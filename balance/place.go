package balance

// This file defines placement. The invariant: an upstream that is leaving, or that
// the request was already sent to, is never chosen; one that rests is chosen only
// where all others rest as well.

import "time"

// Tuning holds the figures of placement. They come from measured days; the runs
// stand in docs/design/8-platform.md.
type Tuning struct {
	// SpillTokens is by how many unread prompt tokens the home of a prompt may be
	// ahead of the next choice before a request goes there instead.
	SpillTokens int
	// FailWeight is how many open requests a certain failure counts for when the
	// less busy upstream of a service without prompts is looked for.
	FailWeight float64
}

// DefaultTuning is used where a configuration names none.
var DefaultTuning = Tuning{SpillTokens: 20000, FailWeight: 6}

// home is where a prompt's shared part is kept: the first choice by rendezvous
// among the upstreams that take new requests.
func (f *Fleet) home(r Request) *member {
	key := sharedKey(r)
	var best *member
	var bestWeight uint64
	for _, m := range f.byService[r.Service] {
		if m.Leaving {
			continue
		}
		if w := weight(m.ID, key); best == nil || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// Place chooses an upstream; false means that there is none left to try. Those
// the request was sent to before are named in tried.
func (f *Fleet) Place(now time.Duration, r Request, tried []string) (Choice, bool) {
	list := f.usable(now, r.Service, tried)
	if len(list) == 0 {
		return Choice{}, false
	}
	if sharedKey(r) == 0 {
		return Choice{Upstream: &f.leastBusy(list).Upstream}, true
	}
	return f.placePrompt(r, list), true
}

// usable lists the upstreams a request may go to.
func (f *Fleet) usable(now time.Duration, service string, tried []string) []*member {
	var awake, resting []*member
	for _, m := range f.byService[service] {
		switch {
		case m.Leaving || contains(tried, m.ID):
		case m.health.rests(now):
			resting = append(resting, m)
		default:
			awake = append(awake, m)
		}
	}
	if len(awake) > 0 {
		return awake
	}
	return resting
}

// leastBusy returns the upstream with the fewest requests for its slots; those
// that fail count as busier, and this box's failure domain goes first.
func (f *Fleet) leastBusy(list []*member) *member {
	var best *member
	var bestScore float64
	for _, m := range list {
		score := (float64(m.open+m.others.open) + f.cfg.Tuning.FailWeight*m.health.failing) / float64(max(m.Slots, 1))
		if m.Domain != f.cfg.Domain {
			score += 0.01
		}
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// placePrompt chooses the home of the prompt's shared part, or the next choice if
// that has much less left to read; the next choice then fetches from the home.
func (f *Fleet) placePrompt(r Request, list []*member) Choice {
	key := sharedKey(r)
	var first, second *member
	var firstWeight, secondWeight uint64
	for _, m := range list {
		w := weight(m.ID, key)
		switch {
		case first == nil || w > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = m, w
		case second == nil || w > secondWeight:
			second, secondWeight = m, w
		}
	}
	if second == nil || first.load() <= second.load()+f.cfg.Tuning.SpillTokens {
		return Choice{Upstream: &first.Upstream}
	}
	return Choice{Upstream: &second.Upstream, Fetch: first.Address}
}

// load is the prompt tokens that an upstream has yet to read, for all boxes.
func (m *member) load() int { return m.unread + m.others.unread }

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
