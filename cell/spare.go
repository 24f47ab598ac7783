package cell

// This file defines overflow between failure domains: owners tell the owners of
// the same set elsewhere how many slots are spare, and send on what cannot be
// served at home. The invariants: a request goes to one other domain at most,
// and there it comes after the domain's own of the same tier.

import (
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
	slots int
	owner string
	heard time.Duration
}

// tickSpares tells other domains what is free here.
func (n *Node) tickSpares() {
	if n.now < n.nextSpare || n.cfg.Alone {
		return
	}
	n.nextSpare = n.now + n.timing.Spare
	for _, set := range n.Owned() {
		slots := int(spareShare * float64(n.pools[set].Counts(n.now).Spare))
		if slots == 0 {
			continue
		}
		others := n.otherDomains()
		for _, boxes := range others {
			to := decide.Owner("set/"+set, boxes)
			n.send(to, &Spare{Set: set, Domain: n.cfg.Domain, Slots: slots/len(others) + 1, Owner: n.cfg.Box})
		}
	}
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

// bestSpare is the domain with the most spare slots of a set, or nil.
func (n *Node) bestSpare(set string) *spare {
	var domains []string
	for d := range n.spares[set] {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	var best *spare
	for _, d := range domains {
		s := n.spares[set][d]
		if n.now-s.heard < spareLife*n.timing.Spare && s.slots > 0 && (best == nil || s.slots > best.slots) {
			best = s
		}
	}
	return best
}

// elsewhere names the owner that a request refused here may bid to, or "".
func (n *Node) elsewhere(set string, reason decide.Reason) string {
	switch reason {
	case decide.Late, decide.QueueFull, decide.Evicted, decide.NoUpstream:
	default:
		return ""
	}
	s := n.bestSpare(set)
	if s == nil {
		return ""
	}
	s.slots--
	return s.owner
}

// overflow sends on what waits here while there is room elsewhere.
func (n *Node) overflow(set string, p *decide.Pool) {
	for {
		s := n.bestSpare(set)
		if s == nil {
			return
		}
		bids := p.TakeSurplus(n.now, s.slots, n.timing.Patience)
		if len(bids) == 0 {
			return
		}
		s.slots -= len(bids)
		for _, b := range bids {
			n.deliver(b.Box, &Refusal{Set: set, ID: b.ID, Reason: decide.NoUpstream, Redirect: s.owner, RetryAfter: time.Second})
		}
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
