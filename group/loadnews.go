package group

// This file defines how boxes tell each other of changes in what they have under way, between
// two whole lists: a member its lead at once, a lead its audiences as audience.go says. The
// invariant: a lead itself goes by what it was told last, whatever its audiences were told.
//
// An engine reads a long prompt in some 0.5 s, and boxes that know of each other's with a
// greater delay all choose the engine that was idle then.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// flushPause is the least time between two messages with changes to the same box.
const flushPause = 30 * time.Millisecond

// noteChanges notes where two lists differ.
func (n *Node) noteChanges(before, after Loads) {
	if !n.IsLeader() {
		return
	}
	for key, load := range after {
		if before[key] != load {
			n.changed[key] = struct{}{}
		}
	}
	for key := range before {
		if _, still := after[key]; !still {
			n.changed[key] = struct{}{}
		}
	}
}

// FlushLoads tells what has changed, unless that was done a moment ago.
func (n *Node) FlushLoads(now time.Duration) {
	if !n.IsLeader() {
		clear(n.changed)
		n.flushAsMember(now)
		return
	}
	if now-n.flushed < flushPause {
		return
	}
	if len(n.changed) > 0 {
		n.flushed, n.looked = now, now
		n.flushAsLead(now)
		return
	}
	if now-n.looked >= flushPause && n.audiences.wait(now) {
		n.looked = now
		n.flushAsLead(now)
	}
}

// wait reports whether an audience has something to be told that it may be told now.
func (a *audiences) wait(now time.Duration) bool {
	for _, x := range []*audience{a.members, a.near, a.far, a.inland} {
		if x != nil && len(x.changed) > 0 && now >= x.due {
			return true
		}
	}
	return false
}

// flushAsMember tells the lead what has changed since it was told.
func (n *Node) flushAsMember(now time.Duration) {
	p := n.peers[n.lead().Name]
	if p == nil || !p.leads || !p.told || now-p.changesAt < flushPause {
		return
	}
	changes := make(Loads)
	for key, load := range n.loads {
		if load = roundedLoad(load); p.toldLoads[key] != load {
			changes[key] = load
		}
	}
	for key := range p.toldLoads {
		if _, still := n.loads[key]; !still {
			changes[key] = balance.Load{}
		}
	}
	if len(changes) == 0 {
		return
	}
	for key, load := range changes {
		setLoad(p.toldLoads, key, load)
	}
	p.changesAt = now
	m := n.changesMessage(changes)
	m.Scope = scopeOwn
	n.send(p.box.Address, m)
}

// flushAsLead takes what has changed into the sums, and tells it.
func (n *Node) flushAsLead(now time.Duration) {
	n.takeOver(now)
	n.noteSpeaker(now)
	if n.sums.domain == nil {
		n.sums = n.sumLoads(now)
	}
	n.renewSums(now)
	list := n.listen(now)
	for key := range n.changed {
		n.setOther(key, n.sums.at(key).Minus(n.loads[key]))
		for _, a := range list {
			a.changed[key] = struct{}{}
		}
	}
	clear(n.changed)
	for _, a := range list {
		if a.wholeAt != never { // changes alone would pass for the whole
			a.tellChanges(n, now)
		}
	}
}

// changesMessage makes a message that tells changes.
func (n *Node) changesMessage(l Loads) *wire.GroupMessage {
	return &wire.GroupMessage{
		Sender:   &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot},
		HasLoads: true,
		Partial:  true,
		Columns:  packColumns(l),
	}
}

// handleChangedLoads takes in a message that tells changes; such a one is no sign of life.
func (n *Node) handleChangedLoads(m *wire.GroupMessage) {
	p := n.peers[m.Sender.Name]
	if p == nil || p.box.Boot != m.Sender.Boot {
		return
	}
	changes := loadsOf(m)
	switch {
	case m.Scope == scopeRegion:
		n.mergeLoads(&p.region, changes)
	case m.Scope == scopeBeyond:
		n.mergeLoads(&p.beyond, changes)
	case !n.sameDomain(p) || m.Scope == scopeOwn:
		n.mergeLoads(&p.loads, changes)
	case p.box.Name == n.lead().Name && !n.IsLeader() && p.told:
		for key, load := range changes {
			n.setOther(key, load.Minus(p.toldLoads[key]))
		}
	}
}

// mergeLoads takes over what has changed in a list.
func (n *Node) mergeLoads(list *Loads, changes Loads) {
	if *list == nil {
		*list = make(Loads)
	}
	for key, load := range changes {
		if (*list)[key] == load {
			continue
		}
		setLoad(*list, key, load)
		if n.IsLeader() {
			n.changed[key] = struct{}{}
		}
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

// DrainLoadChanges returns, once, the loads of all other boxes that have changed since the
// last call; one that is empty is none.
func (n *Node) DrainLoadChanges() Loads {
	if len(n.news) == 0 {
		return nil
	}
	news := n.news
	n.news = make(Loads)
	return news
}
