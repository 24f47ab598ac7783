package group

// This file defines how boxes exchange their loads, that is the work they have in progress on
// upstreams. The invariants: the loads a box holds for the others do not include its own, except
// for changes while messages were in transit, and no sum counts a box twice.
//
// A member sends its loads to its leader. A leader sends the sum of its domain to the other
// leaders of its region. The region leader, the strongest of them, sends the sum of its region to
// the leader of each other region, and the sum of all other regions to the leaders of its own. A
// leader sends its members the total, from which each subtracts its own loads. So each sum
// crosses a domain boundary once per domain of the region, and a region boundary once per region.
// recipients.go defines when sums are sent.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// The values of GroupMessage.scope: whose loads a message holds.
const (
	scopeDomain       = iota // the sender's domain; all boxes, from a leader to its members; a member's own loads
	scopeRegion              // the sender's region
	scopeOtherRegions        // all other regions
	scopeOwn                 // only the sender, in changes sent by a member
)

// SetLoads sets the loads of this box.
func (n *Node) SetLoads(l Loads) {
	n.recordChangedLoads(n.loads, l)
	n.loads = l
}

// OtherLoads returns the loads of all other boxes. The caller must not modify them.
func (n *Node) OtherLoads() Loads { return n.otherLoads }

// sendLoads sends complete lists of loads where they are due.
func (n *Node) sendLoads(now time.Duration) {
	if n.IsLeader() {
		n.sendLoadsAsLeader(now)
		return
	}
	n.stepDown()
	if p := n.peers[n.leader().Name]; p != nil && p.isLeader && n.needsAllLoads(now, p) {
		n.sendAllLoads(now, p)
	}
}

// sendLoadsAsLeader recomputes the sums of reported loads and sends them.
func (n *Node) sendLoadsAsLeader(now time.Duration) {
	n.becomeLeader(now)
	n.updateRegionLeader(now)
	n.updateInherited(now)
	n.loadSums = n.sumLoads(now)
	n.setOtherLoads(subtractLoads(n.loadSums.total(), n.loads))
	for _, g := range n.updateRecipients(now) {
		g.sendFullList(n, now)
	}
}

// isGone reports whether a peer has timed out: it is sent nothing and its loads no longer count.
func (n *Node) isGone(now time.Duration, p *peer) bool {
	return now-p.lastHeard > n.cfg.Timing.MemberTimeout
}

// loadSums holds sums of loads, by the location of the boxes.
type loadSums struct {
	domain, region, otherRegions Loads // region: its other domains; otherRegions: all boxes outside it
	inherited                    Loads // from the time as a member, for boxes that are not in the other sums yet
}

// total adds up the four sums.
func (s loadSums) total() Loads {
	all := make(Loads, len(s.domain))
	addLoads(all, s.domain)
	addLoads(all, s.region)
	addLoads(all, s.otherRegions)
	addLoads(all, s.inherited)
	return all
}

// loadSources are the lists of loads that a leader adds up.
type loadSources struct{ domain, region, otherRegions []Loads }

// loadSources returns the lists to add up. For other domains these are the sums reported by their
// leaders; for other regions, the sums reported by one leader of each, or by this region's
// leader.
func (n *Node) loadSources(now time.Duration) loadSources {
	s := loadSources{domain: []Loads{n.loads}}
	for _, p := range n.peers {
		switch {
		case n.isGone(now, p):
			p.loads, p.regionLoads, p.otherRegionLoads = nil, nil, nil
			p.loadsAt, p.regionLoadsAt, p.otherRegionLoadsAt = never, never, never
		case n.sameDomain(p):
			s.domain = append(s.domain, p.loads)
		}
	}
	for _, p := range n.otherDomainLeaders(now) {
		s.region = append(s.region, p.loads)
	}
	s.otherRegions = n.otherRegionLoadLists(now)
	return s
}

// sumLoads adds up all loads.
func (n *Node) sumLoads(now time.Duration) loadSums {
	from := n.loadSources(now)
	s := loadSums{domain: sumOf(from.domain), region: sumOf(from.region), otherRegions: sumOf(from.otherRegions), inherited: make(Loads)}
	if n.inherited != nil {
		s.inherited = subtractLoads(n.inherited.loads, subtractLoads(s.total(), n.loads))
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

// loadAt returns the total load of one key.
func (s loadSums) loadAt(key balance.LoadKey) balance.Load {
	return s.domain[key].Plus(s.region[key]).Plus(s.otherRegions[key]).Plus(s.inherited[key])
}

// updateSums recomputes the sums of the loads that have changed.
func (n *Node) updateSums(now time.Duration) {
	s, from := &n.loadSums, n.loadSources(now)
	for key := range n.changedLoads {
		setLoad(s.domain, key, sumAt(from.domain, key))
		setLoad(s.region, key, sumAt(from.region, key))
		setLoad(s.otherRegions, key, sumAt(from.otherRegions, key))
		delete(s.inherited, key)
		if n.inherited != nil {
			setLoad(s.inherited, key, n.inherited.loads[key].Minus(s.loadAt(key).Minus(n.loads[key])))
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

// needsAllLoads reports whether the leader is due to be sent all loads of this member, which
// happens once per heartbeat interval.
func (n *Node) needsAllLoads(now time.Duration, p *peer) bool {
	switch {
	case !p.loadsSent:
		return true
	case now-p.allLoadsSentAt < n.cfg.Timing.HeartbeatInterval:
		return false
	}
	return len(n.loads) > 0 || len(p.sentLoads) > 0 // an idle box has nothing to repeat
}

// sendAllLoads sends all loads of this member to its leader.
func (n *Node) sendAllLoads(now time.Duration, p *peer) {
	p.loadsSent, p.sentLoads, p.allLoadsSentAt, p.lastLoadsSentAt = true, roundLoads(n.loads), now, now
	n.send(p.box.Address, n.loadsMessage(now, n.loads))
}

// loadsMessage returns a message with a complete list of loads.
func (n *Node) loadsMessage(now time.Duration, l Loads) *wire.GroupMessage {
	m := n.newMessage(now)
	m.HasLoads, m.Columns = true, packColumns(l)
	return m
}

// receiveLoads processes a complete list of loads.
func (n *Node) receiveLoads(now time.Duration, p *peer, m *wire.GroupMessage) {
	if !m.HasLoads {
		return
	}
	l := messageLoads(m)
	switch {
	case m.Scope == scopeRegion:
		n.replaceLoads(&p.regionLoads, l)
		p.regionLoadsAt = now
	case m.Scope == scopeOtherRegions:
		n.replaceLoads(&p.otherRegionLoads, l)
		p.otherRegionLoadsAt = now
	case !m.Leads || !n.sameDomain(p):
		n.replaceLoads(&p.loads, l)
		p.loadsAt = now
	case p.box.Name != n.leader().Name: // only the leader's message counts
	case m.Whole && !p.loadsSent: // it includes this box's own loads, which were sent before this box knew of the leader's restart
	case m.Whole:
		n.setOtherLoads(subtractLoads(l, p.sentLoads))
	default:
		n.setOtherLoads(l)
	}
}

// setOtherLoads sets the loads of all other boxes and records the differences.
func (n *Node) setOtherLoads(l Loads) {
	for key, load := range l {
		if n.otherLoads[key] != load {
			n.loadChanges[key] = load
		}
	}
	for key := range n.otherLoads {
		if _, still := l[key]; !still {
			n.loadChanges[key] = balance.Load{}
		}
	}
	n.otherLoads = l
}

// replaceLoads replaces a list of loads and records the differences.
func (n *Node) replaceLoads(old *Loads, l Loads) {
	n.recordChangedLoads(*old, l)
	*old = l
}
