package mirror

// This file defines what is published, and how the mirror's owner reads it. The
// invariant: the revision that a call returns is one from which the next call misses
// nothing.

import (
	"context"
	"time"
)

// Item is something published, or the news that it is gone.
type Item struct {
	Key      string
	Value    []byte // as it was published; empty where it is gone
	Revision uint64 // of its last change
	Deleted  bool
}

// Publisher is where items are published. Both calls return the publisher's own
// revision, from which the next call goes on.
type Publisher interface {
	// ReadAll reads all items. It may go on where a call before it failed: what it
	// returns was then the newest no later than when the first of them began. Where ctx is
	// ended with the cause ErrNotNeeded, it stops after the page under way.
	ReadAll(ctx context.Context) ([]Item, uint64, error)
	// Changes waits for changes behind a revision. An error that is ErrForgotten
	// says that they are no longer known, so that everything has to be read.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// ErrForgotten says that the publisher no longer knows the changes asked for.
var ErrForgotten = &Error{Op: "changes", Kind: KindForgotten}

// ErrNotNeeded is the cause of the end of a reading whose result is known meanwhile.
var ErrNotNeeded = &Error{Op: "everything", Kind: KindNotNeeded}
