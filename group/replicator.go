package group

// This file defines replicator, which replicates entries of one kind to all boxes. New entries
// are sent at once: a member sends them to its leader, and a leader to its members and the other
// leaders. Heartbeats carry a digest of a box's entries; two boxes whose digests differ send each
// other all entries. The invariant: two boxes that hear each other eventually hold the same
// entries, whatever messages were lost and whichever of them restarted. The ages in an entry are
// those at the time when it is sent, however long it has waited.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/wire"
)

const (
	// maxEntriesPerMessage bounds the entries in a message, which stays within 6 KB. The rest is
	// sent with the next one.
	maxEntriesPerMessage = 100
	// entrySendCount is the number of messages that carry an important entry, because one may be
	// lost.
	entrySendCount = 3
	// maxReconcileMessages is the number of messages sent at once to a box with a different
	// digest.
	maxReconcileMessages = 4
	// maxPendingEntries bounds the entries waiting to be sent. Further ones are dropped; a later
	// comparison of digests finds them.
	maxPendingEntries = 8 * maxEntriesPerMessage
)

// replicationRules defines what differs between kinds of entries.
type replicationRules[T any] struct {
	key       func(T) uint64    // identifies the subject of an entry
	same      func(a, b T) bool // two entries with the same key are equal
	sendCount func(T) int       // number of messages that carry an entry
	weight    func(T) int       // how many of maxEntriesPerMessage an entry counts for; nil: each one
	aged      func(entry T, by time.Duration) T
	pack      func(m *wire.GroupMessage, list []T, digest uint64, all bool)
}

// replicator holds the entries of one kind that a box knows, has to send, and has received.
type replicator[T any] struct {
	rules            replicationRules[T]
	all              []T           // all entries of this box
	allAt            time.Duration // when their ages were determined
	digest           uint64        // of the entries in force
	pending          []pendingEntry[T]
	fromOtherLeaders map[uint64]T // received from leaders of other domains, which need not be sent them
	received         []T          // from other boxes, not drained yet
	lastFlush        time.Duration
	reconciled       map[string]reconciliation // by box name
	hasHeard         bool                      // another box's digest was received
	heardDigest      uint64                    // the last one
}

// reconciliation records when a box was last sent this box's entries, and where to continue.
type reconciliation struct {
	at   time.Duration
	next int // index of the next entry to send
}

// pendingEntry is an entry to be sent.
type pendingEntry[T any] struct {
	entry     T
	at        time.Duration // when its ages were determined
	sendsLeft int           // messages that still have to carry it
}

func newReplicator[T any](rules replicationRules[T]) replicator[T] {
	return replicator[T]{rules: rules, lastFlush: never, fromOtherLeaders: make(map[uint64]T), reconciled: make(map[string]reconciliation)}
}

// setAll sets all entries of this box.
func (r *replicator[T]) setAll(now time.Duration, list []T, digest uint64) {
	r.all, r.allAt, r.digest = list, now, digest
}

// announce queues new entries to be sent.
func (r *replicator[T]) announce(now time.Duration, list []T) {
	for _, x := range list {
		r.pending = slices.DeleteFunc(r.pending, func(old pendingEntry[T]) bool { return r.rules.key(old.entry) == r.rules.key(x) })
		if len(r.pending) < maxPendingEntries {
			r.pending = append(r.pending, pendingEntry[T]{x, now, r.rules.sendCount(x)})
		}
	}
}

// drain returns the entries received since the last call.
func (r *replicator[T]) drain() []T {
	received := r.received
	r.received = nil
	return received
}

// takePending returns the entries for the next message. Entries to be sent again are queued
// behind the others.
func (r *replicator[T]) takePending(now time.Duration) []T {
	var list []T
	next := r.pending[:r.fitting(len(r.pending), func(i int) T { return r.pending[i].entry })]
	r.pending = slices.Clone(r.pending[len(next):])
	for _, x := range next {
		list = append(list, r.rules.aged(x.entry, now-x.at))
		if x.sendsLeft--; x.sendsLeft > 0 {
			r.pending = append(r.pending, x)
		}
	}
	return list
}

// fitting returns how many of the first n entries fit into a message.
func (r *replicator[T]) fitting(n int, entry func(i int) T) int {
	if r.rules.weight == nil {
		return min(n, maxEntriesPerMessage)
	}
	sum := 0
	for i := range n {
		if sum += r.rules.weight(entry(i)); sum > maxEntriesPerMessage && i > 0 {
			return i
		}
	}
	return n
}

// flush sends queued entries, at most once per minFlushInterval.
func (r *replicator[T]) flush(n *Node, now time.Duration) {
	if len(r.pending) == 0 || now-r.lastFlush < minFlushInterval {
		return
	}
	r.lastFlush = now
	list := r.takePending(now)
	if !n.IsLeader() {
		r.send(n, []*peer{n.peers[n.leader().Name]}, list, false)
		return
	}
	r.send(n, n.members(now), list, false)
	local := slices.DeleteFunc(slices.Clone(list), func(x T) bool {
		received, isReceived := r.fromOtherLeaders[r.rules.key(x)]
		return isReceived && r.rules.same(received, x)
	})
	r.send(n, n.otherLeaders(now), local, false)
	if len(r.pending) == 0 {
		clear(r.fromOtherLeaders)
	}
}

// send sends one message to some boxes. all marks it as part of the complete list of entries.
func (r *replicator[T]) send(n *Node, to []*peer, list []T, all bool) {
	if len(list) == 0 && !all {
		return
	}
	m := &wire.GroupMessage{Sender: &wire.GroupBox{Name: n.cfg.Self.Name, Boot: n.cfg.Self.Boot}}
	r.rules.pack(m, list, r.digest, all)
	for _, p := range to {
		if p != nil {
			n.send(p.box.Address, m)
		}
	}
}

// handle processes entries in a message. all says that they belong to the sender's complete list.
// Such a message does not count as a heartbeat.
func (r *replicator[T]) handle(n *Node, now time.Duration, sender *wire.GroupBox, list []T, digest uint64, all bool) {
	p := n.peers[sender.Name]
	if p == nil || p.box.Boot != sender.Boot {
		return
	}
	for _, x := range list {
		if len(r.received) >= maxPendingEntries {
			break
		}
		r.received = append(r.received, x)
		if n.IsLeader() && !n.sameDomain(p) && len(r.fromOtherLeaders) < maxPendingEntries {
			r.fromOtherLeaders[r.rules.key(x)] = x
		}
	}
	if all {
		r.reconcile(n, now, p, digest)
	}
}

// reconcile sends a box with a different digest this box's entries, at most once per heartbeat
// interval. If they need more than maxReconcileMessages messages, the next call continues with
// the rest.
func (r *replicator[T]) reconcile(n *Node, now time.Duration, p *peer, digest uint64) {
	r.hasHeard, r.heardDigest = true, digest
	c, isKnown := r.reconciled[p.box.Name]
	if digest == r.digest || isKnown && now-c.at < n.cfg.Timing.HeartbeatInterval {
		return
	}
	for range maxReconcileMessages {
		list := r.all[min(c.next, len(r.all)):]
		list = slices.Clone(list[:r.fitting(len(list), func(i int) T { return list[i] })])
		for i := range list {
			list[i] = r.rules.aged(list[i], now-r.allAt)
		}
		r.send(n, []*peer{p}, list, true)
		if c.next += len(list); c.next >= len(r.all) {
			c.next = 0
			break
		}
	}
	c.at = now
	r.reconciled[p.box.Name] = c
}

// otherLeaders returns the leaders of other domains that have not timed out.
func (n *Node) otherLeaders(now time.Duration) []*peer {
	var list []*peer
	for _, p := range n.peers {
		if !n.sameDomain(p) && p.isLeader && !n.isGone(now, p) {
			list = append(list, p)
		}
	}
	return list
}
