package group

// This file defines how boxes send changes of their loads between two complete lists. A member
// sends them to its leader at once; a leader sends them to its recipient groups as recipients.go
// defines. The invariant: a leader itself always uses the latest reported loads, whatever it has
// sent on.
//
// An engine processes a long prompt in about 0.5 s. Boxes that learned of each other's requests
// later than that would all choose the engine that was idle before.

import (
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// minFlushInterval is the minimum time between two messages with changes to the same box.
const minFlushInterval = 30 * time.Millisecond

// recordChangedLoads records the keys at which two lists differ.
func (n *Node) recordChangedLoads(before, after Loads) {
	if !n.IsLeader() {
		return
	}
	for key, load := range after {
		if before[key] != load {
			n.changedLoads[key] = struct{}{}
		}
	}
	for key := range before {
		if _, still := after[key]; !still {
			n.changedLoads[key] = struct{}{}
		}
	}
}

// FlushLoads sends changed loads, at most once per minFlushInterval.
func (n *Node) FlushLoads(now time.Duration) {
	if !n.IsLeader() {
		clear(n.changedLoads)
		n.flushAsMember(now)
		return
	}
	if now-n.loadsFlushedAt < minFlushInterval {
		return
	}
	if len(n.changedLoads) > 0 {
		n.loadsFlushedAt, n.pendingCheckedAt = now, now
		n.flushAsLeader(now)
		return
	}
	if now-n.pendingCheckedAt >= minFlushInterval && n.recipients.hasDue(now) {
		n.pendingCheckedAt = now
		n.flushAsLeader(now)
	}
}

// hasDue reports whether a group has unsent changes that may be sent now.
func (g *recipientGroups) hasDue(now time.Duration) bool {
	for _, group := range []*recipientGroup{g.members, g.nearLeaders, g.otherRegionLeaders, g.regionRelay} {
		if group != nil && len(group.changed) > 0 && now >= group.nextChangesAt {
			return true
		}
	}
	return false
}

// flushAsMember sends the leader the loads that differ from those last sent.
func (n *Node) flushAsMember(now time.Duration) {
	p := n.peers[n.leader().Name]
	if p == nil || !p.isLeader || !p.loadsSent || now-p.lastLoadsSentAt < minFlushInterval {
		return
	}
	changes := make(Loads)
	for key, load := range n.loads {
		if load = roundLoad(load); p.sentLoads[key] != load {
			changes[key] = load
		}
	}
	for key := range p.sentLoads {
		if _, still := n.loads[key]; !still {
			changes[key] = balance.Load{}
		}
	}
	if len(changes) == 0 {
		return
	}
	for key, load := range changes {
		setLoad(p.sentLoads, key, load)
	}
	p.lastLoadsSentAt = now
	m := n.loadChangesMessage(changes)
	m.Scope = scopeOwn
	n.send(p.box.Address, m)
}

// flushAsLeader applies changed loads to the sums and sends them to the recipient groups.
func (n *Node) flushAsLeader(now time.Duration) {
	n.becomeLeader(now)
	n.updateRegionLeader(now)
	if n.loadSums.domain == nil {
		n.loadSums = n.sumLoads(now)
	}
	n.updateSums(now)
	list := n.updateRecipients(now)
	for key := range n.changedLoads {
		n.setOtherLoad(key, n.loadSums.loadAt(key).Minus(n.loads[key]))
		for _, g := range list {
			g.changed[key] = struct{}{}
		}
	}
	clear(n.changedLoads)
	for _, g := range list {
		if g.lastFullListAt != never { // without a complete list before, the changes would be taken for one
			g.sendChanges(n, now)
		}
	}
}

// loadChangesMessage returns a message with changed loads only.
func (n *Node) loadChangesMessage(l Loads) *wire.GroupMessage {
	return &wire.GroupMessage{
		Sender:   &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot},
		HasLoads: true,
		Partial:  true,
		Columns:  packColumns(l),
	}
}

// handleLoadChanges processes a message with changed loads. Such a message does not count as a
// heartbeat.
func (n *Node) handleLoadChanges(m *wire.GroupMessage) {
	p := n.peers[m.Sender.Name]
	if p == nil || p.box.Boot != m.Sender.Boot {
		return
	}
	changes := messageLoads(m)
	switch {
	case m.Scope == scopeRegion:
		n.mergeLoads(&p.regionLoads, changes)
	case m.Scope == scopeOtherRegions:
		n.mergeLoads(&p.otherRegionLoads, changes)
	case !n.sameDomain(p) || m.Scope == scopeOwn:
		n.mergeLoads(&p.loads, changes)
	case p.box.Name == n.leader().Name && !n.IsLeader() && p.loadsSent:
		for key, load := range changes {
			n.setOtherLoad(key, load.Minus(p.sentLoads[key]))
		}
	}
}

// mergeLoads applies changes to a list of loads.
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
			n.changedLoads[key] = struct{}{}
		}
	}
}

// setOtherLoad sets one load of all other boxes.
func (n *Node) setOtherLoad(key balance.LoadKey, load balance.Load) {
	setLoad(n.otherLoads, key, load)
	n.loadChanges[key] = load
}

// setLoad sets a load in a list. A zero load is removed.
func setLoad(l Loads, key balance.LoadKey, load balance.Load) {
	if load == (balance.Load{}) {
		delete(l, key)
		return
	}
	l[key] = load
}

// DrainLoadChanges returns the loads of all other boxes that have changed since the last call. A
// zero load means that none is left.
func (n *Node) DrainLoadChanges() Loads {
	if len(n.loadChanges) == 0 {
		return nil
	}
	changes := n.loadChanges
	n.loadChanges = make(Loads)
	return changes
}
