package group

// This file defines how boxes tell each other what they have under way. The invariants: what a
// box knows of the others' does not contain its own, but for what has changed while messages
// were on their way; and no sum counts a box twice.
//
// A member tells its lead. A lead tells the other leads of its region the sum of its domain;
// the region's lead, the strongest of them, tells the lead of each other region the sum of its
// region, and the leads of its own region the sum of all others. A lead tells its members the
// sum of all, of which each takes off its own. So each sum crosses the edge of a domain once for
// each domain of the region, and the edge of a region once for each region. What is told when
// stands in audience.go.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// The values of GroupMessage.scope: whose sum loads are.
const (
	scopeDomain = iota // of the sender's domain, or all where it tells its members; of a member its own
	scopeRegion        // of the sender's region
	scopeBeyond        // of all other regions
	scopeOwn           // of the sender alone, in changes that a member tells
)

// SetLoads notes what this box itself has under way.
func (n *Node) SetLoads(l Loads) {
	n.noteChanges(n.loads, l)
	n.loads = l
}

// OtherLoads is what the other boxes have under way.
func (n *Node) OtherLoads() Loads { return n.others }

// tellLoads tells all there is, where that is due.
func (n *Node) tellLoads(now time.Duration) {
	if n.IsLeader() {
		n.tellLoadsAsLead(now)
		return
	}
	n.stepDown()
	if p := n.peers[n.lead().Name]; p != nil && p.leads && n.worthTelling(now, p) {
		n.tellAll(now, p)
	}
}

// tellLoadsAsLead adds up anew what boxes have told, and tells it.
func (n *Node) tellLoadsAsLead(now time.Duration) {
	n.takeOver(now)
	n.noteSpeaker(now)
	n.settleInheritance(now)
	n.sums = n.sumLoads(now)
	n.setOthers(without(n.sums.all(), n.loads))
	for _, a := range n.listen(now) {
		a.tellWhole(n, now)
	}
}

// gone reports whether a peer was not heard for so long that it is told nothing and its
// loads count no more.
func (n *Node) gone(now time.Duration, p *peer) bool { return now-p.heard > n.cfg.Timing.Member }

// loadSums are loads by where the boxes are that have them.
type loadSums struct {
	domain, region, beyond Loads // region: its other domains; beyond: other regions
	rest                   Loads // inherited, of boxes whose loads the others do not hold yet
}

// all adds up the four.
func (s loadSums) all() Loads {
	all := make(Loads, len(s.domain))
	addLoads(all, s.domain)
	addLoads(all, s.region)
	addLoads(all, s.beyond)
	addLoads(all, s.rest)
	return all
}

// sources are those whose loads a lead adds up.
type sources struct{ domain, region, beyond []Loads }

// loadSources lists what is to be added up: of other domains what their leads told, of other
// regions what one lead of each told, or the lead of this region.
func (n *Node) loadSources(now time.Duration) sources {
	s := sources{domain: []Loads{n.loads}}
	for _, p := range n.peers {
		switch {
		case n.gone(now, p):
			p.loads, p.region, p.beyond = nil, nil, nil
			p.loadsAt, p.regionAt, p.beyondAt = never, never, never
		case n.sameDomain(p):
			s.domain = append(s.domain, p.loads)
		}
	}
	for _, p := range n.domainLeads(now) {
		s.region = append(s.region, p.loads)
	}
	s.beyond = n.beyondSources(now)
	return s
}

// sumLoads adds up all loads.
func (n *Node) sumLoads(now time.Duration) loadSums {
	from := n.loadSources(now)
	s := loadSums{domain: sumOf(from.domain), region: sumOf(from.region), beyond: sumOf(from.beyond), rest: make(Loads)}
	if n.inherits != nil {
		s.rest = without(n.inherits.others, without(s.all(), n.loads))
	}
	return s
}

func sumOf(lists []Loads) Loads {
	sum := make(Loads)
	for _, l := range lists {
		addLoads(sum, l)
	}
	return sum
}

// at is one of all loads.
func (s loadSums) at(key balance.LoadKey) balance.Load {
	return s.domain[key].Plus(s.region[key]).Plus(s.beyond[key]).Plus(s.rest[key])
}

// renewSums adds up anew the loads that have changed.
func (n *Node) renewSums(now time.Duration) {
	s, from := &n.sums, n.loadSources(now)
	for key := range n.changed {
		setLoad(s.domain, key, sumAt(from.domain, key))
		setLoad(s.region, key, sumAt(from.region, key))
		setLoad(s.beyond, key, sumAt(from.beyond, key))
		delete(s.rest, key)
		if n.inherits != nil {
			setLoad(s.rest, key, n.inherits.others[key].Minus(s.at(key).Minus(n.loads[key])))
		}
	}
}

func sumAt(lists []Loads, key balance.LoadKey) balance.Load {
	var sum balance.Load
	for _, l := range lists {
		sum = sum.Plus(l[key])
	}
	return sum
}

// worthTelling reports whether a member's lead is to be told all: a beat has passed since
// it was.
func (n *Node) worthTelling(now time.Duration, p *peer) bool {
	switch {
	case !p.told:
		return true
	case now-p.toldAt < n.cfg.Timing.Beat:
		return false
	}
	return len(n.loads) > 0 || len(p.toldLoads) > 0 // idle: nothing to repeat
}

// tellAll tells a member's lead all that the member has under way.
func (n *Node) tellAll(now time.Duration, p *peer) {
	p.told, p.toldLoads, p.toldAt, p.changesAt = true, rounded(n.loads), now, now
	n.send(p.box.Address, n.loadsMessage(now, n.loads))
}

// loadsMessage makes a message that tells all loads of a list.
func (n *Node) loadsMessage(now time.Duration, l Loads) *wire.GroupMessage {
	m := n.message(now)
	m.HasLoads, m.Columns = true, packColumns(l)
	return m
}

// takeLoads takes in what a peer tells.
func (n *Node) takeLoads(now time.Duration, p *peer, m *wire.GroupMessage) {
	if !m.HasLoads {
		return
	}
	l := loadsOf(m)
	switch {
	case m.Scope == scopeRegion:
		n.replaceLoads(&p.region, l)
		p.regionAt = now
	case m.Scope == scopeBeyond:
		n.replaceLoads(&p.beyond, l)
		p.beyondAt = now
	case !m.Leads || !n.sameDomain(p):
		n.replaceLoads(&p.loads, l)
		p.loadsAt = now
	case p.box.Name != n.lead().Name: // only the lead's count
	case m.Whole && !p.told: // it holds this box's own, told to a life that this box did not know yet
	case m.Whole:
		n.setOthers(without(l, p.toldLoads))
	default:
		n.setOthers(l)
	}
}

// setOthers notes what all other boxes have under way, and as news where it differs from what
// was known.
func (n *Node) setOthers(l Loads) {
	for key, load := range l {
		if n.others[key] != load {
			n.news[key] = load
		}
	}
	for key := range n.others {
		if _, still := l[key]; !still {
			n.news[key] = balance.Load{}
		}
	}
	n.others = l
}

// replaceLoads takes over a list in place of the one before.
func (n *Node) replaceLoads(old *Loads, l Loads) {
	n.noteChanges(*old, l)
	*old = l
}
