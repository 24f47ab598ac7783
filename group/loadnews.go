package group

// This file defines how boxes tell each other of changes in what they have under way,
// between two whole lists. A member tells its lead at once, and a lead its members and the
// other leads, all that has changed within a flush in one message. The invariant: what is
// told is the load itself and not its difference, so that a message that is lost leaves an
// error in what it told only, until the next whole list.
//
// An engine reads a long prompt in some 0.5 s, and boxes that know of each other's with a
// delay of 0.75 s all choose the engine that was idle then: the true number of tokens before
// a long prompt was not correlated with the one that its box went by (0.0; 295 boxes in a
// burst).

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// flushPause is the least time between two messages with changes to the same box.
const flushPause = 30 * time.Millisecond

// changedLoads is whose loads have changed, and whether they did so in this box's domain.
type changedLoads map[balance.LoadKey]bool

// noteChanges notes where two lists differ.
func (n *Node) noteChanges(before, after Loads, inDomain bool) {
	for key, load := range after {
		if before[key] != load {
			n.noteChange(key, inDomain)
		}
	}
	for key := range before {
		if _, still := after[key]; !still {
			n.noteChange(key, inDomain)
		}
	}
}

// noteChange notes that a load has changed, in this box's domain or in another one.
func (n *Node) noteChange(key balance.LoadKey, inDomain bool) {
	if n.Leads() {
		n.changed[key] = n.changed[key] || inDomain
	}
}

// FlushLoads tells what has changed, unless that was done a moment ago.
func (n *Node) FlushLoads(now time.Duration) {
	if now-n.flushed < flushPause {
		return
	}
	if !n.Leads() {
		clear(n.changed)
		if p := n.peers[n.lead().Name]; p != nil && p.leads && now-p.toldAt >= flushPause {
			n.tellLoad(now, p, n.loads)
		}
		return
	}
	if len(n.changed) == 0 {
		return
	}
	n.flushed = now
	n.flushAsLead(now)
	clear(n.changed)
}

// flushAsLead tells the members the loads of all boxes, and the other leads those of the
// domain, where they have changed.
func (n *Node) flushAsLead(now time.Duration) {
	var forMembers, forLeads []*wire.GroupLoad
	for key, inDomain := range n.changed {
		domain, foreign := n.sumLoad(now, key)
		all := domain.Plus(foreign)
		n.setOther(key, all.Minus(n.loads[key]))
		forMembers = append(forMembers, packLoad(key, all))
		if inDomain {
			forLeads = append(forLeads, packLoad(key, domain))
		}
	}
	toMembers, toLeads := n.changesMessage(forMembers), n.changesMessage(forLeads)
	for _, p := range n.peers {
		switch {
		case n.gone(now, p):
		case n.sameDomain(p):
			n.send(p.box.Address, toMembers)
		case p.leads && len(forLeads) > 0:
			n.send(p.box.Address, toLeads)
		}
	}
}

// changesMessage makes a message that tells changes.
func (n *Node) changesMessage(list []*wire.GroupLoad) *wire.GroupMessage {
	return &wire.GroupMessage{
		Sender:   &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot},
		HasLoads: true,
		Partial:  true,
		Loads:    list,
	}
}

// sumLoad adds up one load over this domain, and over the others.
func (n *Node) sumLoad(now time.Duration, key balance.LoadKey) (domain, foreign balance.Load) {
	domain = n.loads[key]
	for _, p := range n.peers {
		switch {
		case n.gone(now, p):
		case n.sameDomain(p):
			domain = domain.Plus(p.loads[key])
		case p.leads:
			foreign = foreign.Plus(p.loads[key])
		}
	}
	return domain, foreign
}

// handleChangedLoads takes in a message that tells changes; such a one is no sign of life.
func (n *Node) handleChangedLoads(m *wire.GroupMessage) {
	p := n.peers[m.Sender.Name]
	if p == nil || p.box.Boot != m.Sender.Boot || !p.leads {
		return
	}
	changes := unpackLoads(m.Loads)
	switch {
	case !n.sameDomain(p):
		n.mergeLoads(p, changes)
	case p.box.Name == n.lead().Name:
		own := unpackLoads(p.toldLoads)
		for key, load := range changes {
			n.setOther(key, load.Minus(own[key]))
		}
	}
}

// mergeLoads takes over what has changed in another domain.
func (n *Node) mergeLoads(p *peer, changes Loads) {
	if p.loads == nil {
		p.loads = make(Loads)
	}
	for key, load := range changes {
		if p.loads[key] == load {
			continue
		}
		setLoad(p.loads, key, load)
		n.noteChange(key, false)
	}
}

// setOther notes what all other boxes have under way.
func (n *Node) setOther(key balance.LoadKey, load balance.Load) {
	setLoad(n.others, key, load)
	n.news[key] = load
}

// setLoad replaces a load in a list, which holds none that is empty.
func setLoad(l Loads, key balance.LoadKey, load balance.Load) {
	if load == (balance.Load{}) {
		delete(l, key)
		return
	}
	l[key] = load
}

// DrainLoadNews returns, once, the loads of all other boxes that have changed since the
// last call; one that is empty is none.
func (n *Node) DrainLoadNews() Loads {
	if len(n.news) == 0 {
		return nil
	}
	news := n.news
	n.news = make(Loads)
	return news
}
