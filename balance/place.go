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
	// NewFor is how long after its listing an upstream fetches prompts from the one
	// that was their home before.
	NewFor time.Duration
	// TightShare is the share of a service's upstreams, in 100, that is kept for
	// streams whose events must follow each other closely.
	TightShare int
	// Away is how many open requests for each slot an upstream of another failure
	// domain counts as having more, for requests without a prompt.
	Away float64
	// FailWeight is how many open requests a certain failure counts for when the
	// less busy upstream of a service without prompts is looked for.
	FailWeight float64
	// Admit is the share of its latency target that a request may wait for prompts
	// that are read before its own; beyond it is refused and told when to come back.
	// AdmitAgain is the same for one that has come back.
	Admit, AdmitAgain float64
	// ReadRate is how many prompt tokens an upstream reads in a ms, until that has
	// been seen.
	ReadRate float64
}

// DefaultTuning is used where a configuration names none.
var DefaultTuning = Tuning{SpillTokens: 50000, NewFor: 15 * time.Second, TightShare: 25, Away: 0.3, FailWeight: 6,
	Admit: 0.5, AdmitAgain: 2, ReadRate: 36}

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
	return f.placePrompt(now, r, f.lane(r, list)), true
}

// usable lists the upstreams a request may go to.
func (f *Fleet) usable(now time.Duration, service string, tried []string) []*member {
	var awake, resting []*member
	for _, m := range f.byService[service] {
		switch {
		case m.Leaving || contains(tried, m.ID):
		case m.out || m.health.rests(now):
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
		score := (float64(m.open()) + f.cfg.Tuning.FailWeight*m.health.failing) / float64(max(m.Slots, 1))
		if m.Domain != f.cfg.Domain {
			score += f.cfg.Tuning.Away
		}
		if best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// placePrompt chooses the home of the prompt's shared part, or the next choice if
// that has much less left to read.
func (f *Fleet) placePrompt(now time.Duration, r Request, list []*member) Choice {
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
	chosen := first
	if second != nil && first.ahead(r.level()) > second.ahead(r.level())+f.cfg.Tuning.SpillTokens {
		chosen = second
	}
	return Choice{Upstream: &chosen.Upstream, Fetch: f.fetchFrom(now, r, chosen), Backlog: chosen.ahead(r.level())}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
