package group

// This file defines how items go on the wire. The invariant: unpack reads back what
// pack made, or takes nothing.

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

const (
	// maxItems bounds the bytes of the values in a datagram; with its head it stays
	// within what the boxes' links carry in one.
	maxItems = 6 << 10
	// itemHead is what an item is reckoned to take on the wire besides its key and
	// value, in bytes: its revision, and the tags and lengths of its fields.
	itemHead = 16
	// packFrom is from how many bytes on a value is compressed.
	packFrom = 512
	// maxPulled bounds the bytes of everything: a document of a megabyte, and 250 bytes for
	// each of some 60,000 upstreams.
	maxPulled = 16 << 20
	// maxUnpacked bounds the bytes that a compressed value may grow to, four times
	// the publisher's bound on a value.
	maxUnpacked = 4 << 20
)

// pack makes the wire's items, and says how many bytes they take.
func pack(list []mirror.Item) ([]*wire.GroupItem, int) {
	size := 0
	out := make([]*wire.GroupItem, 0, len(list))
	for _, it := range list {
		w := &wire.GroupItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Gone: it.Gone}
		if len(w.Value) >= packFrom {
			w.Value, w.Packed = deflate(w.Value), true
		}
		size += len(w.Key) + len(w.Value) + itemHead
		out = append(out, w)
	}
	return out, size
}

// unpack reads the wire's items; false means that one of them cannot be read, so
// that none may be taken.
func unpack(list []*wire.GroupItem) ([]mirror.Item, bool) {
	out := make([]mirror.Item, 0, len(list))
	for _, w := range list {
		it := mirror.Item{Key: w.Key, Value: w.Value, Revision: w.Revision, Gone: w.Gone}
		if w.Packed {
			var err error
			if it.Value, err = inflate(w.Value, maxUnpacked); err != nil {
				return nil, false
			}
		}
		out = append(out, it)
	}
	return out, true
}

// inflate undoes deflate; a value that grows beyond the bound, in bytes, is an error.
func inflate(b []byte, bound int) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), int64(bound)+1))
	if err == nil && len(value) > bound {
		err = errLarge
	}
	return value, err
}

var errLarge = errors.New("group: a value beyond its bound")

// deflate compresses quickly.
func deflate(b []byte) []byte { return deflateAt(b, flate.BestSpeed) }

// deflateAt compresses at one of the levels of package flate.
func deflateAt(b []byte, level int) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, level)
	if err != nil {
		return nil // the level is a valid one
	}
	_, _ = w.Write(b) // a buffer takes all
	_ = w.Close()
	return out.Bytes()
}
