package cell

// This file defines overflow between failure domains: owners tell the owners of
// the same set elsewhere how many slots are spare, and send on what cannot be
// served at home. The invariants: a request goes to one other domain at most,
// and there it comes after the domain's own of the same tier.

import (
	"math"
	"slices"
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/timeline"
)

const (
	// spareShare of a domain's free slots is offered to others; the rest is
	// kept for its own next requests.
	spareShare = 0.5
	// spareLife is how many periods a summary is believed.
	spareLife = 3
)

// spare is what another domain said it has free.
type spare struct {
	slots []int // by tier
	owner string
	heard time.Duration
}

// tickSpares tells other domains what is free here.
func (n *Node) tickSpares() {
	if n.now < n.nextSpare || n.cfg.Standalone {
		return
	}
	n.nextSpare = n.now + n.timing.Spare
	for _, set := range n.Owned() {
		others := n.otherDomains()
		slots := n.spareSlots(n.pools[set], len(others))
		if len(slots) == 0 || slots[0] == 0 {
			continue // a tier has at least what lower ones have
		}
		for _, boxes := range others {
			to := decide.Owner("set/"+set, boxes)
			n.send(to, &Spare{Set: set, Domain: n.cfg.Domain, Slots: slots, Owner: n.cfg.Box})
		}
	}
}

// spareSlots is what each other domain is offered of a pool, by tier.
func (n *Node) spareSlots(p *decide.Pool, others int) []int {
	var out []int
	for tier := 1; tier <= p.LowestTier(); tier++ {
		spare := spareShare * float64(p.SpareFor(n.now, tier)) / float64(max(1, others))
		out = append(out, int(math.Ceil(spare)))
	}
	return out
}

// otherDomains lists the boxes of each other domain that are not leaving, in the
// order of the list.
func (n *Node) otherDomains() [][]string {
	var out [][]string
	place := make(map[string]int)
	for _, b := range n.roster.Boxes {
		if b.Domain == n.cfg.Domain || b.Leaving {
			continue
		}
		i, ok := place[b.Domain]
		if !ok {
			i = len(out)
			place[b.Domain] = i
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
			on := *m
			on.PassedOn = true
			n.send(owner, &on)
		}
		return
	}
	if n.spares[m.Set] == nil {
		n.spares[m.Set] = make(map[string]*spare)
	}
	n.spares[m.Set][m.Domain] = &spare{m.Slots, m.Owner, n.now}
	n.dirty[m.Set] = true
}

// room is how many slots are spare for a tier.
func (s *spare) room(tier int) int {
	if tier < 1 || tier > len(s.slots) {
		return 0
	}
	return s.slots[tier-1]
}

// take notes that one of the slots is sent a request.
func (s *spare) take() {
	for i := range s.slots {
		s.slots[i] = max(0, s.slots[i]-1)
	}
}

// bestSpare is the domain with the most spare slots of a set for a tier, or nil.
func (n *Node) bestSpare(set string, tier int) *spare {
	var domains []string
	for d := range n.spares[set] {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	var best *spare
	for _, d := range domains {
		s := n.spares[set][d]
		if n.now-s.heard < spareLife*n.timing.Spare && s.room(tier) > 0 && (best == nil || s.room(tier) > best.room(tier)) {
			best = s
		}
	}
	return best
}

// elsewhere names the owner that a request refused here may bid to, or "".
func (n *Node) elsewhere(set string, tier int, reason decide.Reason) string {
	switch reason {
	case decide.Late, decide.QueueFull, decide.Evicted, decide.NoUpstream:
	default:
		return ""
	}
	s := n.bestSpare(set, tier)
	if s == nil {
		return ""
	}
	s.take()
	return s.owner
}

// overflow sends on what waits here while there is room elsewhere.
func (n *Node) overflow(set string, p *decide.Pool) {
	if len(n.spares[set]) == 0 {
		return
	}
	var owners []string
	bids := p.TakeSurplus(n.now, n.timing.Patience, func(tier int) bool {
		s := n.bestSpare(set, tier)
		if s == nil {
			return false
		}
		s.take()
		owners = append(owners, s.owner)
		return true
	})
	for i, b := range bids {
		n.deliver(b.Box, &Refusal{Set: set, ID: b.ID, Reason: decide.NoUpstream, Redirect: owners[i], RetryAfter: time.Second})
	}
}

// redirect makes a waiting request bid in another domain.
func (n *Node) redirect(l *local, owner string) {
	l.visiting, l.hopped = true, true
	n.record(timeline.Event{Kind: timeline.Redirected, Request: l.req.ID, Class: l.rule.Class, Tier: l.rule.Tier, Set: l.set, Upstream: owner})
	n.bidAt(l, owner)
}

// tickVisitors brings home the bids that were not granted elsewhere: the owner
// there may be gone, and the domain's own always come first.
func (n *Node) tickVisitors() {
	for _, l := range n.sorted(func(l *local) bool {
		return l.visiting && l.state == stateWaiting && n.now-l.firstBid >= n.timing.Visit
	}) {
		n.withdraw(l)
		n.comeHome(l)
	}
}

// comeHome makes a request bid in its own domain again, for good.
func (n *Node) comeHome(l *local) {
	l.visiting = false
	n.bid(l)
}
