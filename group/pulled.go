package group

// This file defines how a box gets all that another has. The invariant: what cannot be
// read whole is not taken at all.

import (
	"compress/flate"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// packedItems is everything at a revision, as it goes on the wire. At a start all members
// of a domain pull the same from their lead, which packs it once for all.
type packedItems struct {
	revision uint64
	bytes    []byte
}

// packedChanges is the same of the changes behind a revision. Those that pull at the same moment mostly lack the same.
type packedChanges struct {
	packedItems
	after uint64
}

// Everything is the answer to another box's pull; packed says that it reads the packed
// form. The answer must not be changed.
func (n *Node) Everything(now time.Duration, packed bool) *wire.MirrorResponse {
	r := &wire.MirrorResponse{
		Revision:     n.cfg.Mirror.Revision(),
		ConfirmedAge: micros(now - n.confirmed),
		DoubtLeft:    micros(n.doubt - now),
	}
	if !packed {
		r.Items, _ = pack(n.cfg.Mirror.Items())
		return r
	}
	if n.everything.bytes == nil || n.everything.revision != r.Revision {
		n.everything = packedItems{r.Revision, packAll(n.cfg.Mirror.Items())}
	}
	r.Packed = n.everything.bytes
	return r
}

// packAll makes one compressed text of all items; nil where that cannot be done.
func packAll(list []mirror.Item) []byte {
	all := new(wire.MirrorItems)
	for _, it := range list {
		all.Items = append(all.Items, &wire.GroupItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Gone: it.Gone})
	}
	b, err := proto.Marshal(all)
	if err != nil {
		return nil // a key that is no text: the box that pulls reads for itself
	}
	return deflateAt(b, flate.DefaultCompression) // it is done once for many
}

// unpackAll reads what packAll made; false means that it cannot be read.
func unpackAll(packed []byte) ([]mirror.Item, bool) {
	b, err := inflate(packed, maxPulled)
	if err != nil {
		return nil, false
	}
	all := new(wire.MirrorItems)
	if err := proto.Unmarshal(b, all); err != nil {
		return nil, false
	}
	return unpack(all.Items)
}

// HandlePullResponse takes in all that another box has, which was asked for it at a moment. The ages in the
// answer count from then on: it may have been on its way for long.
func (n *Node) HandlePullResponse(now, asked time.Duration, r *wire.MirrorResponse) {
	if r.BusyLeft > 0 {
		n.turnedAway(now, r)
		return
	}
	n.doubtFor(now, r.DoubtLeft)
	items, ok := unpack(r.Items)
	if len(r.Packed) > 0 {
		items, ok = unpackAll(r.Packed)
	}
	if !ok || len(items) == 0 {
		return // the next beat shows what is missing still
	}
	from := n.cfg.Mirror.Revision()
	var changes []mirror.Item
	if r.From == 0 {
		changes = n.cfg.Mirror.Load(items, r.Revision)
	} else if changes, ok = n.cfg.Mirror.Apply(r.From, r.Revision, items); !ok {
		return // it starts where this box is not
	}
	n.pullFails, n.wanted = false, wanted{}
	if from == 0 && len(r.Packed) > 0 {
		n.everything = packedItems{r.Revision, r.Packed} // the next box that pulls gets the same, unpacked and packed once less
	}
	if r.Revision >= from && n.agesHold(now) {
		n.confirmed = max(n.confirmed, asked-fromMicros(r.ConfirmedAge))
	}
	n.tell(now, changes, from)
}
