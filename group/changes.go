package group

// This file defines the messages that carry changes in published data. They must handle bulk
// changes in a large fleet, such as planned maintenance that tells one upstream in forty to leave
// at the same moment. If the boxes had to pull all data for that, they would do so
// simultaneously, and those that waited too long would read the publisher. The invariant: a box
// that applies all messages of a set in order has all its changes, and one that misses a message
// applies none of the later ones.

import (
	"cmp"
	"slices"
	"time"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// maxBatches bounds the messages for one set of changes, about 3,000 entries. For a larger set
// boxes pull all data.
const maxBatches = 16

// batch holds the changes carried by one message.
type batch struct {
	to     uint64 // revision reached by applying the batch
	items  []*wire.GroupItem
	packed []byte // compressed form, in place of items
}

// itemMessages returns the messages with the changes after revision from, or one message that
// asks the receiver to pull.
func (n *Node) itemMessages(now time.Duration, from uint64, changes []mirror.Item) []*wire.GroupMessage {
	var list []batch
	if from > 0 { // a read into an empty copy does not show which items were deleted
		list = makeBatches(changes, n.cfg.Mirror.Revision())
	}
	if len(list) == 0 {
		m := n.newMessage(now)
		m.Pull = true
		return []*wire.GroupMessage{m}
	}
	messages := make([]*wire.GroupMessage, 0, len(list))
	for i, b := range list {
		m := n.newMessage(now)
		m.From, m.Revision, m.Items, m.PackedItems = from, b.to, b.items, b.packed
		m.Pull = len(b.packed) > 0
		if i < len(list)-1 {
			m.ConfirmedAge = micros(maxAge) // the messages before the last do not bring a copy up to date
		}
		from = b.to
		messages = append(messages, m)
	}
	return messages
}

// sendAll sends messages to a box, in order.
func (n *Node) sendAll(to string, messages []*wire.GroupMessage) {
	for _, m := range messages {
		n.send(to, m)
	}
}

// makeBatches divides changes up to revision to into batches. It returns nil if there are too
// many batches, or if a single change is too large.
func makeBatches(changes []mirror.Item, to uint64) []batch {
	if items, size := packItems(changes); size <= maxItemBytes {
		return []batch{{to: to, items: items}}
	}
	sorted := slices.SortedStableFunc(slices.Values(changes), func(a, b mirror.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	list := splitChanges(sorted, to)
	if len(list) > maxBatches {
		return nil
	}
	return list
}

// splitChanges divides changes, sorted by revision, into batches that fit a datagram. It returns
// nil if that is impossible.
func splitChanges(sorted []mirror.Item, to uint64) []batch {
	if packed := compressItems(sorted); len(packed) > 0 && len(packed) <= maxItemBytes {
		return []batch{{to: to, packed: packed}}
	}
	middle := splitIndex(sorted)
	if middle == 0 {
		return nil
	}
	first, second := splitChanges(sorted[:middle], sorted[middle-1].Revision), splitChanges(sorted[middle:], to)
	if first == nil || second == nil {
		return nil
	}
	return append(first, second...)
}

// splitIndex returns an index near the middle at which changes may be split, or 0 if there is
// none. Changes of the same revision stay together.
func splitIndex(sorted []mirror.Item) int {
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

// bufferedChanges holds the changes of a message received before a message that precedes it.
type bufferedChanges struct {
	from, to uint64
	items    []mirror.Item
}

// reorderBuffer holds changes received out of order, at most as many messages as one set has.
type reorderBuffer struct {
	list   []bufferedChanges
	lastAt time.Duration // when the last message was added
}

// add buffers a message, for a copy at the given revision.
func (b *reorderBuffer) add(now time.Duration, revision uint64, x bufferedChanges) {
	b.list = slices.DeleteFunc(b.list, func(o bufferedChanges) bool { return o.to <= revision || o.from == x.from })
	if revision == 0 || len(b.list) == maxBatches {
		return
	}
	b.list, b.lastAt = append(b.list, x), now
}

// take removes and returns a buffered message that continues from the given revision.
func (b *reorderBuffer) take(revision uint64) (bufferedChanges, bool) {
	i := slices.IndexFunc(b.list, func(x bufferedChanges) bool { return x.from <= revision && x.to > revision })
	if i < 0 {
		return bufferedChanges{}, false
	}
	x := b.list[i]
	b.list = slices.Delete(b.list, i, i+1)
	return x, true
}
