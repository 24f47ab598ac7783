package group

// This file defines how a box transfers its complete copy of the published data to another box.
// The invariant: a response that cannot be decoded completely is not applied at all.

import (
	"compress/flate"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// packedSnapshot is the encoded data at one revision. At a start all members of a domain pull the
// same data from their leader, which encodes it once.
type packedSnapshot struct {
	revision uint64
	bytes    []byte
}

// packedDelta is the encoded changes after a revision. Boxes that pull at the same time mostly
// lack the same changes.
type packedDelta struct {
	packedSnapshot
	after uint64
}

// Snapshot returns the answer to a pull with all published data. packed says that the requester
// accepts the compressed form. The caller must not modify the result.
func (n *Node) Snapshot(now time.Duration, packed bool) *wire.MirrorResponse {
	r := n.newMirrorResponse(now)
	if !packed {
		r.Items, _ = packItems(n.cfg.Mirror.Items())
		return r
	}
	if n.snapshot.bytes == nil || n.snapshot.revision != r.Revision {
		n.snapshot = packedSnapshot{r.Revision, compressItems(n.cfg.Mirror.Items())}
	}
	r.Packed = n.snapshot.bytes
	return r
}

// newMirrorResponse returns the response to a pull, without items.
func (n *Node) newMirrorResponse(now time.Duration) *wire.MirrorResponse {
	return &wire.MirrorResponse{
		Revision:     n.cfg.Mirror.Revision(),
		ConfirmedAge: micros(now - n.confirmedAt),
		DoubtLeft:    micros(n.fleetAnswers.covered.uncertainUntil - now),
		Coverage:     packCoverage(now, n.fleetAnswers.covered),
	}
}

// compressItems encodes all items as one compressed block. It returns nil on failure.
func compressItems(list []mirror.Item) []byte {
	all := new(wire.MirrorItems)
	for _, it := range list {
		all.Items = append(all.Items, &wire.GroupItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Gone: it.Deleted})
	}
	b, err := proto.Marshal(all)
	if err != nil {
		return nil // a key is not valid UTF-8: the pulling box reads the publisher itself
	}
	return deflateLevel(b, flate.DefaultCompression) // compressed once for many receivers
}

// decompressItems decodes the result of compressItems. It returns false if that is not possible.
func decompressItems(packed []byte) ([]mirror.Item, bool) {
	b, err := inflate(packed, maxSnapshotBytes)
	if err != nil {
		return nil, false
	}
	all := new(wire.MirrorItems)
	if err := proto.Unmarshal(b, all); err != nil {
		return nil, false
	}
	return unpackItems(all.Items)
}

// HandlePullResponse applies the response to a pull requested at time asked. The ages in the
// response count from then, because it may have been in transit for long.
func (n *Node) HandlePullResponse(now, asked time.Duration, r *wire.MirrorResponse) {
	if r.BusyLeft > 0 {
		n.handlePullRefusal(now, r)
		return
	}
	n.receivePulledCoverage(now, asked, r)
	items, ok := unpackItems(r.Items)
	if len(r.Packed) > 0 {
		items, ok = decompressItems(r.Packed)
	}
	if !ok || len(items) == 0 {
		return // the next heartbeat shows that data is still missing
	}
	from := n.cfg.Mirror.Revision()
	var changes []mirror.Item
	if r.From == 0 {
		changes = n.cfg.Mirror.Load(items, r.Revision)
	} else if changes, ok = n.cfg.Mirror.Apply(r.From, r.Revision, items); !ok {
		return // the changes do not continue from this box's revision
	}
	n.pullFailed, n.pendingPull = false, pendingPull{}
	if from == 0 && len(r.Packed) > 0 {
		n.snapshot = packedSnapshot{r.Revision, r.Packed} // the next box that pulls is sent the same bytes, without encoding them again
	}
	if r.Revision >= from && n.agesAreValid(now) {
		n.confirm(asked - fromMicros(r.ConfirmedAge))
	}
	n.announceChanges(now, changes, from)
}
