package account

// This file defines the memory of answers that are held until they are complete. The invariant: answers that take no more than
// FreeAnswer are held in any case; larger ones within the limit of the account, and those that do not say how long they are within a part of it.

import (
	"context"
	"time"
)

const (
	// FreeAnswer is the memory up to which an answer is not charged, in bytes, with all copies of what it holds.
	FreeAnswer = 16 << 10
	// openEndedShare is the part of an account for answers that do not say how long they are.
	openEndedShare = 0.5
	// answerWait is how long an answer waits for memory: those that wait for each other may never end.
	answerWait = 300 * time.Millisecond
)

// Answer is the memory of an answer.
type Answer struct {
	lease *Lease
	share float64
}

// Answer returns the memory of an answer. It is open-ended if it does not say how long it is.
func (a *Account) Answer(isOpenEnded bool) *Answer {
	m := &Answer{lease: a.Lease(), share: 1}
	if isOpenEnded {
		m.share = openEndedShare
	}
	return m
}

// Hold charges an answer that takes n bytes, of which it may have charged a part before. False means that the account was used
// up for a while: the answer is to be given up.
func (m *Answer) Hold(ctx context.Context, n int64) bool {
	missing := n - m.lease.Held()
	if n <= FreeAnswer || missing <= 0 || m.lease.Grow(missing, m.share) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	return m.lease.Await(ctx, missing, m.share)
}

// Shrink releases what exceeds n bytes.
func (m *Answer) Shrink(n int64) { m.lease.Shrink(n) }

// Close releases all.
func (m *Answer) Close() { m.lease.Close() }
