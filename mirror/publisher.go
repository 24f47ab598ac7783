package mirror

// This file defines the published items and the interface for reading them. The
// invariant: a later call of Changes with the revision that a call returned misses no
// change.

import (
	"context"
	"time"
)

// Item is a published item, or the tombstone of a deleted one.
type Item struct {
	Key      string
	Value    []byte // as published; empty if deleted
	Revision uint64 // of its last change
	Deleted  bool
}

// Publisher is the source of published items. Both methods return the publisher's
// revision, to be passed to the next call of Changes.
type Publisher interface {
	// ReadAll returns all items. It may continue a failed earlier call; the result may then be
	// as old as the start of that call, and so is the returned revision. If ctx ends with
	// the cause ErrNotNeeded, it stops after the page in progress.
	ReadAll(ctx context.Context) ([]Item, uint64, error)
	// Changes returns the changes after a revision, and waits for up to wait if there are
	// none. ErrHistoryExpired means that they are no longer kept, so that all items must be read.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// ErrHistoryExpired means that the publisher no longer keeps the changes asked for.
var ErrHistoryExpired = &Error{Op: "changes", Kind: KindHistoryExpired}

// ErrNotNeeded is the cause with which a read is cancelled when its result is already known from
// another source.
var ErrNotNeeded = &Error{Op: "everything", Kind: KindNotNeeded}
