package group

// This file defines how what is published reaches the boxes: from the publisher to
// the box that reads it, and from box to box. The invariant: confirmed is never later
// than a moment at which the mirror was the newest.

import (
	"time"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

const (
	// askPause is the least time between two questions for changes.
	askPause = 100 * time.Millisecond
	// lapse is how long after the publisher's return an entry that went may come
	// back: 2 s, and some room.
	lapse = 2200 * time.Millisecond
)

// learn takes in what the sender knows of what is published.
func (n *Node) learn(now time.Duration, m *wire.GroupMessage) {
	n.doubtFor(now, m.DoubtLeft)
	n.takeItems(now, m)
	switch mine := n.cfg.Mirror.Revision(); {
	case m.Revision > mine && (m.Pull && len(m.PackedItems) == 0 || mine == 0):
		if n.wanted.from == "" {
			n.pull = n.pullFrom(now, m.Sender)
			n.pulledFrom = n.pull
		}
	case m.Revision > mine && now-n.lastAsk >= askPause && now-n.early.at >= askPause:
		n.lastAsk = now
		ask := n.message(now)
		ask.Ask = true
		n.send(m.Sender.Address, ask)
	case m.Revision <= mine && m.Revision > 0 && n.agesHold(now):
		n.confirmed = max(n.confirmed, now-fromMicros(m.ConfirmedAge))
	}
}

// crossWait is how long a box that does not lead its domain waits for one of its own domain to
// know what is published before it pulls from another one, whose links are dear and few: at a
// start, everything would else cross them once for each box.
const crossWait = 800 * time.Millisecond

// pullFrom is where to pull everything from: the box's lead, where it knows what is published,
// since its link bears that many boxes do so at once, or where the one that told of it is of another
// domain; else the one that told of it.
func (n *Node) pullFrom(now time.Duration, sender *wire.GroupBox) string {
	if n.cfg.Mirror.Revision() > 0 {
		return sender.Pulls
	}
	if n.pullsFrom < 0 {
		n.pullsFrom = now
	}
	lead := n.lead()
	if lead == n.cfg.Self || n.pullFails {
		return sender.Pulls
	}
	waits := sender.Domain != n.cfg.Self.Domain && now-n.pullsFrom < crossWait+n.share(crossWait)
	if p := n.peers[lead.Name]; p.knows || waits {
		return lead.Pulls
	}
	return sender.Pulls
}

// PullFailed notes that a pull brought nothing. Where another box had named the one that was
// asked, the next message of a box that knows tells whom to ask.
func (n *Node) PullFailed() {
	if n.wanted.away > 0 && n.wanted.away <= maxTurnedAway {
		n.wanted.away++
		return
	}
	n.pullFails = true
}

// takeItems takes in the changes that a message holds, unless some before them are
// missing here.
func (n *Node) takeItems(now time.Duration, m *wire.GroupMessage) {
	items, ok := unpack(m.Items)
	if len(m.PackedItems) > 0 {
		items, ok = unpackAll(m.PackedItems)
	}
	if !ok || len(items) == 0 {
		return
	}
	if !n.applyItems(now, m.From, m.Revision, items) {
		n.early.put(now, n.cfg.Mirror.Revision(), earlyItems{m.From, m.Revision, items})
		return
	}
	for e, ok := n.early.take(n.cfg.Mirror.Revision()); ok; e, ok = n.early.take(n.cfg.Mirror.Revision()) {
		n.applyItems(now, e.from, e.to, e.items)
	}
}

// applyItems takes changes behind a revision; false means that some before them are missing here.
func (n *Node) applyItems(now time.Duration, from, to uint64, items []mirror.Item) bool {
	before := n.cfg.Mirror.Revision()
	changes, ok := n.cfg.Mirror.Apply(from, to, items)
	if ok {
		n.tell(now, changes, before)
	}
	return ok
}

// doubtFor takes over another box's time of doubt, in microseconds.
func (n *Node) doubtFor(now time.Duration, left uint64) {
	if left > 0 {
		n.doubt = max(n.doubt, now+fromMicros(left))
	}
}

// tell passes changes on: to this box, and from a lead to the others.
func (n *Node) tell(now time.Duration, changes []mirror.Item, from uint64) {
	if len(changes) == 0 {
		return
	}
	n.cfg.OnChange(changes)
	if !n.IsLeader() {
		return
	}
	messages := n.itemMessages(now, from, changes)
	for _, p := range n.peers {
		if n.sameDomain(p) || n.leadsNow(now, p) {
			n.sendAll(p.box.Address, messages)
		}
	}
}

// leadsNow reports whether a box leads another domain and was heard lately. Those that led one
// for a moment at their start, as all do that start at once, hear of changes from their leads:
// with 85 boxes in three domains, changes sent to them were half of all bytes between domains.
func (n *Node) leadsNow(now time.Duration, p *peer) bool {
	return p.leads && !n.sameDomain(p) && !n.gone(now, p)
}

// sendChanges sends what is behind a revision, or says that it has to be pulled.
func (n *Node) sendChanges(now time.Duration, to string, after uint64) {
	changes, ok := n.cfg.Mirror.Since(after)
	if !ok {
		m := n.message(now)
		m.Pull = true
		n.send(to, m)
		return
	}
	n.sendAll(to, n.itemMessages(now, after, changes))
}

// HandleRead notes that this box read the publisher itself: what is new behind the mirror's
// revision, or everything where whole is set, which was the newest at the moment
// known. A box that reads for a lead tells it.
func (n *Node) HandleRead(now, known time.Duration, items []mirror.Item, revision uint64, whole bool) {
	if n.readFails && now-n.confirmed > n.cfg.Timing.Stale {
		n.doubt = max(n.doubt, now+lapse) // nobody else could read either
	}
	n.readOK, n.readFails = now, false
	from := n.cfg.Mirror.Revision()
	var changes []mirror.Item
	if whole {
		changes = n.cfg.Mirror.Load(items, revision)
	} else {
		changes, _ = n.cfg.Mirror.Apply(from, revision, items)
	}
	n.confirmed = max(n.confirmed, known)
	n.tell(now, changes, from)
	if !n.IsLeader() {
		n.sendAll(n.lead().Address, n.itemMessages(now, from, changes))
	}
}

// ReadFailed notes that this box could not read the publisher. One that knows nothing yet leaves
// the next turn to a box that it hears reading.
func (n *Node) ReadFailed() { n.readFails, n.readsAll = true, false }
