package cell

// This file defines overflow between failure domains: owners tell the owners
// of the same set in other domains how many slots are spare, and redirect
// requests that cannot be served in their own domain. Invariants: a request
// is redirected to at most one other domain, and there it ranks behind that
// domain's own requests of the same tier.

import (
	"math"
	"slices"
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/timeline"
)

const (
	// spareShare is the part of a domain's free slots that is offered to
	// other domains. The rest is reserved for its own next requests.
	spareShare = 0.5
	// spareLifePeriods is the number of reporting periods for which a report
	// of spare slots is valid.
	spareLifePeriods = 3
)

// spare is the report of another domain's spare slots.
type spare struct {
	slots   []int // by tier
	owner   string
	heardAt time.Duration
}

// tickSpares reports this domain's spare slots to the other domains.
func (n *Node) tickSpares() {
	if n.now < n.nextSpare || n.cfg.Standalone {
		return
	}
	n.nextSpare = n.now + n.timing.SpareInterval
	for _, set := range n.Owned() {
		others := n.otherDomains()
		slots := n.spareSlots(n.pools[set], len(others))
		if len(slots) == 0 || slots[0] == 0 {
			continue // a tier has at least as many as the tiers below it
		}
		for _, boxes := range others {
			to := decide.Owner("set/"+set, boxes)
			n.send(to, &Spare{Set: set, Domain: n.cfg.Domain, Slots: slots, Owner: n.cfg.Box})
		}
	}
}

// spareSlots returns the number of slots of a pool that each other domain is
// offered, by tier.
func (n *Node) spareSlots(p *decide.Pool, others int) []int {
	var out []int
	for tier := 1; tier <= p.LowestTier(); tier++ {
		spare := spareShare * float64(p.SpareFor(n.now, tier)) / float64(max(1, others))
		out = append(out, int(math.Ceil(spare)))
	}
	return out
}

// otherDomains returns the boxes of each other domain that are not leaving,
// in the order of the list.
func (n *Node) otherDomains() [][]string {
	var out [][]string
	indexes := make(map[string]int)
	for _, b := range n.roster.Boxes {
		if b.Domain == n.cfg.Domain || b.Leaving {
			continue
		}
		i, ok := indexes[b.Domain]
		if !ok {
			i = len(out)
			indexes[b.Domain] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], b.Name)
	}
	return out
}

func (n *Node) onSpare(m *Spare) {
	if m.Domain == n.cfg.Domain {
		return
	}
	if n.pools[m.Set] == nil {
		if owner := n.owners[m.Set]; owner != "" && owner != n.cfg.Box && !m.PassedOn {
			forwarded := *m
			forwarded.PassedOn = true
			n.send(owner, &forwarded)
		}
		return
	}
	if n.spares[m.Set] == nil {
		n.spares[m.Set] = make(map[string]*spare)
	}
	n.spares[m.Set][m.Domain] = &spare{m.Slots, m.Owner, n.now}
	n.dirty[m.Set] = true
}

// slotsFor returns the number of spare slots for a tier.
func (s *spare) slotsFor(tier int) int {
	if tier < 1 || tier > len(s.slots) {
		return 0
	}
	return s.slots[tier-1]
}

// reserve subtracts a slot for a request that is redirected.
func (s *spare) reserve() {
	for i := range s.slots {
		s.slots[i] = max(0, s.slots[i]-1)
	}
}

// bestSpare returns the report of the domain with the most spare slots of a
// set for a tier, or nil.
func (n *Node) bestSpare(set string, tier int) *spare {
	var domains []string
	for d := range n.spares[set] {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	var best *spare
	for _, d := range domains {
		s := n.spares[set][d]
		if n.now-s.heardAt < spareLifePeriods*n.timing.SpareInterval && s.slotsFor(tier) > 0 && (best == nil || s.slotsFor(tier) > best.slotsFor(tier)) {
			best = s
		}
	}
	return best
}

// redirectTarget returns the owner in another domain that a request refused
// here may bid to, or "".
func (n *Node) redirectTarget(set string, tier int, reason decide.Reason) string {
	switch reason {
	case decide.Late, decide.QueueFull, decide.Evicted, decide.NoUpstream:
	default:
		return ""
	}
	s := n.bestSpare(set, tier)
	if s == nil {
		return ""
	}
	s.reserve()
	return s.owner
}

// overflow redirects waiting bids while other domains have spare slots.
func (n *Node) overflow(set string, p *decide.Pool) {
	if len(n.spares[set]) == 0 {
		return
	}
	var owners []string
	bids := p.TakeSurplus(n.now, n.timing.OverflowWait, func(tier int) bool {
		s := n.bestSpare(set, tier)
		if s == nil {
			return false
		}
		s.reserve()
		owners = append(owners, s.owner)
		return true
	})
	for i, b := range bids {
		n.deliver(b.Box, &Refusal{Set: set, ID: b.ID, Reason: decide.NoUpstream, Redirect: owners[i], RetryAfter: time.Second})
	}
}

// redirect makes a waiting request bid in another domain.
func (n *Node) redirect(l *localRequest, owner string) {
	l.inOtherDomain, l.redirected = true, true
	n.record(timeline.Event{Kind: timeline.Redirected, Request: l.req.ID, Class: l.rule.Class, Tier: l.rule.Tier, Set: l.set, Upstream: owner})
	n.bidTo(l, owner)
}

// tickRedirected ends bids in other domains that were not granted in time,
// and bids in the own domain instead: the owner there may be gone, and that
// domain's own requests always come first.
func (n *Node) tickRedirected() {
	for _, l := range n.sortedRequests(func(l *localRequest) bool {
		return l.inOtherDomain && l.state == stateWaiting && n.now-l.firstBid >= n.timing.RedirectTimeout
	}) {
		n.withdraw(l)
		n.bidInOwnDomain(l)
	}
}

// bidInOwnDomain makes a redirected request bid in its own domain again,
// where it stays.
func (n *Node) bidInOwnDomain(l *localRequest) {
	l.inOtherDomain = false
	n.bid(l)
}
