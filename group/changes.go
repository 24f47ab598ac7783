package group

// This file defines the messages that tell changes in what is published. The load that it answers: planned work on a
// part of a large fleet, as when one upstream in forty is told to leave at the same moment. If a box had to pull
// everything for that, all would at once, and those that waited too long would read the publisher. The invariant: who has
// taken the messages of a set of changes in their order has all of it, and one that misses a message takes none behind it.

import (
	"cmp"
	"slices"
	"time"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// maxBatches bounds the messages that tell a set of changes, some 3,000 entries; beyond it everything is pulled.
const maxBatches = 16

// batch is changes that one message tells.
type batch struct {
	to     uint64 // the revision up to which they go
	items  []*wire.GroupItem
	packed []byte // in place of items
}

// itemMessages makes the messages that tell the changes behind a revision, or the one which says that everything has to
// be pulled.
func (n *Node) itemMessages(now time.Duration, from uint64, changes []mirror.Item) []*wire.GroupMessage {
	var list []batch
	if from > 0 { // what a box with an empty copy has learned tells nothing of what went
		list = batches(changes, n.cfg.Mirror.Revision())
	}
	if len(list) == 0 {
		m := n.message(now)
		m.Pull = true
		return []*wire.GroupMessage{m}
	}
	messages := make([]*wire.GroupMessage, 0, len(list))
	for i, b := range list {
		m := n.message(now)
		m.From, m.Revision, m.Items, m.PackedItems = from, b.to, b.items, b.packed
		m.Pull = len(b.packed) > 0
		if i < len(list)-1 {
			m.ConfirmedAge = micros(longestAge) // it does not tell all that is the newest
		}
		from = b.to
		messages = append(messages, m)
	}
	return messages
}

// sendAll sends messages to a box, in their order.
func (n *Node) sendAll(to string, messages []*wire.GroupMessage) {
	for _, m := range messages {
		n.send(to, m)
	}
}

// batches divides changes that go up to a revision; nil where they are too many, or one is too large.
func batches(changes []mirror.Item, to uint64) []batch {
	if items, size := pack(changes); size <= maxItems {
		return []batch{{to: to, items: items}}
	}
	sorted := slices.SortedStableFunc(slices.Values(changes), func(a, b mirror.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	list := split(sorted, to)
	if len(list) > maxBatches {
		return nil
	}
	return list
}

// split divides changes, in the order of their revisions, into batches that fit a datagram; nil where that cannot be.
func split(sorted []mirror.Item, to uint64) []batch {
	if packed := packAll(sorted); len(packed) > 0 && len(packed) <= maxItems {
		return []batch{{to: to, packed: packed}}
	}
	middle := boundary(sorted)
	if middle == 0 {
		return nil
	}
	first, second := split(sorted[:middle], sorted[middle-1].Revision), split(sorted[middle:], to)
	if first == nil || second == nil {
		return nil
	}
	return append(first, second...)
}

// boundary is where changes may be divided, about their middle: what has the same revision stays together. 0: nowhere.
func boundary(sorted []mirror.Item) int {
	half := len(sorted) / 2
	for i := half; i > 0; i-- {
		if sorted[i].Revision != sorted[i-1].Revision {
			return i
		}
	}
	for i := half + 1; i < len(sorted); i++ {
		if sorted[i].Revision != sorted[i-1].Revision {
			return i
		}
	}
	return 0
}

// earlyItems is the changes of a message that has overtaken one before it.
type earlyItems struct {
	from, to uint64
	items    []mirror.Item
}

// early is what came early, as many as a set of changes has messages.
type early struct {
	list []earlyItems
	at   time.Duration // when the last came
}

// put keeps a message for a box that has everything up to a revision.
func (e *early) put(now time.Duration, mine uint64, x earlyItems) {
	e.list = slices.DeleteFunc(e.list, func(o earlyItems) bool { return o.to <= mine || o.from == x.from })
	if mine == 0 || len(e.list) == maxBatches {
		return
	}
	e.list, e.at = append(e.list, x), now
}

// take returns, once, the message that goes on from a revision.
func (e *early) take(mine uint64) (earlyItems, bool) {
	i := slices.IndexFunc(e.list, func(x earlyItems) bool { return x.from <= mine && x.to > mine })
	if i < 0 {
		return earlyItems{}, false
	}
	x := e.list[i]
	e.list = slices.Delete(e.list, i, i+1)
	return x, true
}
