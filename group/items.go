package group

// This file defines the wire encoding of published items. The invariant: unpackItems restores
// exactly what packItems encoded, or returns nothing.

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

const (
	// maxItemBytes bounds the bytes of the items in a datagram. With its header the datagram fits
	// what the links between boxes carry in one.
	maxItemBytes = 6 << 10
	// itemOverhead is the estimated encoded size of an item in bytes besides its key and value:
	// its revision, and the tags and lengths of its fields.
	itemOverhead = 16
	// minCompressedBytes is the size from which a value is compressed.
	minCompressedBytes = 512
	// maxSnapshotBytes bounds the decompressed size of all published data: a document of 1 MB,
	// and 250 bytes for each of about 60,000 upstreams.
	maxSnapshotBytes = 16 << 20
	// maxValueBytes bounds the decompressed size of a value: four times the publisher's limit.
	maxValueBytes = 4 << 20
)

// packItems encodes items and returns their size in bytes.
func packItems(list []mirror.Item) ([]*wire.GroupItem, int) {
	size := 0
	out := make([]*wire.GroupItem, 0, len(list))
	for _, it := range list {
		w := &wire.GroupItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Gone: it.Deleted}
		if len(w.Value) >= minCompressedBytes {
			w.Value, w.Packed = deflate(w.Value), true
		}
		size += len(w.Key) + len(w.Value) + itemOverhead
		out = append(out, w)
	}
	return out, size
}

// unpackItems decodes items. It returns false if one of them cannot be decoded, in which case
// none may be applied.
func unpackItems(list []*wire.GroupItem) ([]mirror.Item, bool) {
	out := make([]mirror.Item, 0, len(list))
	for _, w := range list {
		it := mirror.Item{Key: w.Key, Value: w.Value, Revision: w.Revision, Deleted: w.Gone}
		if w.Packed {
			var err error
			if it.Value, err = inflate(w.Value, maxValueBytes); err != nil {
				return nil, false
			}
		}
		out = append(out, it)
	}
	return out, true
}

// inflate decompresses a value. It returns errTooLarge if the result exceeds bound bytes.
func inflate(b []byte, bound int) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), int64(bound)+1))
	if err == nil && len(value) > bound {
		err = errTooLarge
	}
	return value, err
}

var errTooLarge = errors.New("group: decompressed value exceeds its size limit")

// deflate compresses at the fastest level.
func deflate(b []byte) []byte { return deflateLevel(b, flate.BestSpeed) }

// deflateLevel compresses at one of the levels of package flate.
func deflateLevel(b []byte, level int) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, level)
	if err != nil {
		return nil // not reached: the level is valid
	}
	_, _ = w.Write(b) // writes to a buffer do not fail
	_ = w.Close()
	return out.Bytes()
}
