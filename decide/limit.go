package decide

// This file defines limits that several boxes hold together. Each box owns a
// fixed share of every limit, and the shares add up to the limit. A box in need
// borrows from the shares of others for a short time. The invariant: lending
// moves a share and never makes one, so that the sum stays within the limit
// with no owner, no agreement and in any cut, as long as the boxes divide by
// the same number of boxes.

import (
	"math"
	"time"
)

// LimitKind tells what a limit counts.
type LimitKind uint8

// Kinds of limit.
const (
	RateLimit        LimitKind = iota // requests a second
	ConcurrencyLimit                  // requests at once
)

// LoanLife is how long a share is lent.
const LoanLife = 5 * time.Second

const (
	burstSeconds = 1.0  // a rate may be saved up for this long
	useMemory    = 2.0  // seconds over which use is averaged
	keepBack     = 1.25 // a lender keeps this much of its own recent use
)

// loan is a part of a share that is lent or borrowed for a while.
type loan struct {
	amount float64
	until  Time
}

// Share is one box's part of one limit.
type Share struct {
	kind     LimitKind
	own      float64
	lent     []loan
	borrowed []loan
	tokens   float64 // saved-up requests of a rate
	filled   Time
	inUse    int // of a concurrency
	use      float64
}

// NewShare returns a box's share of limit among boxes; rank is the box's place
// in the limit's rendezvous order, which hands out what does not divide.
func NewShare(now Time, kind LimitKind, limit float64, boxes, rank int) *Share {
	s := &Share{kind: kind, filled: now}
	s.own = ShareSize(kind, limit, boxes, rank)
	s.tokens = min(1, s.own)
	return s
}

// ShareSize is what a box of the given rank owns of a limit. A concurrency is
// divided into whole slots.
func ShareSize(kind LimitKind, limit float64, boxes, rank int) float64 {
	if boxes < 1 {
		return 0
	}
	if kind == RateLimit {
		return limit / float64(boxes)
	}
	whole := math.Floor(limit)
	part := math.Floor(whole / float64(boxes))
	if rank < int(whole)-int(part)*boxes {
		part++
	}
	return part
}

// Resize puts a new limit or number of boxes in force. Loans keep running.
func (s *Share) Resize(now Time, limit float64, boxes, rank int) {
	s.fill(now)
	s.own = ShareSize(s.kind, limit, boxes, rank)
}

// effective is what the box may use now.
func (s *Share) effective(now Time) float64 {
	n := s.own
	s.lent = sumLoans(now, s.lent, &n, -1)
	s.borrowed = sumLoans(now, s.borrowed, &n, 1)
	return n
}

// sumLoans adds the running loans to n and drops those that are over.
func sumLoans(now Time, loans []loan, n *float64, sign float64) []loan {
	kept := loans[:0]
	for _, l := range loans {
		if l.until > now {
			*n += sign * l.amount
			kept = append(kept, l)
		}
	}
	return kept
}

func (s *Share) fill(now Time) {
	seconds := (now - s.filled).Seconds()
	if seconds <= 0 {
		return
	}
	s.filled = now
	rate := max(0, s.effective(now))
	s.tokens = min(s.tokens+rate*seconds, max(1, rate*burstSeconds))
	s.use *= math.Exp(-seconds / useMemory)
}

// Acquire uses the limit for one request and reports whether it allowed that.
func (s *Share) Acquire(now Time) bool {
	s.fill(now)
	if s.kind == ConcurrencyLimit {
		if float64(s.inUse+1) > s.effective(now) {
			return false
		}
		s.inUse++
		return true
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.use += 1 / useMemory
	return true
}

// Release returns what Take used, when the request has ended. A rate is not given
// back.
func (s *Share) Release() {
	if s.kind == ConcurrencyLimit {
		s.inUse--
	}
}

// Undo takes back a Take whose request goes no further.
func (s *Share) Undo() {
	if s.kind == ConcurrencyLimit {
		s.inUse--
		return
	}
	s.tokens++
	s.use = max(0, s.use-1/useMemory)
}

// Lend hands over up to want of what this box does not need, and returns how
// much. From now until the loan ends the box does not use it. What was borrowed
// is not lent on.
func (s *Share) Lend(now Time, want float64) float64 {
	s.fill(now)
	free := s.own
	s.lent = sumLoans(now, s.lent, &free, -1)
	if s.kind == ConcurrencyLimit {
		free = math.Floor(free - float64(s.inUse))
		want = math.Ceil(want)
	} else {
		free -= keepBack * s.use
	}
	amount := min(free, want)
	if amount <= 0 {
		return 0
	}
	s.lent = append(s.lent, loan{amount, now + LoanLife})
	return amount
}

// Borrow takes in a loan that was asked for at the moment asked. It counts from
// then, so that it ends here no later than at the lender.
func (s *Share) Borrow(now, asked Time, amount float64, life time.Duration) {
	s.fill(now)
	if asked+life <= now {
		return
	}
	s.borrowed = append(s.borrowed, loan{amount, asked + life})
	if s.kind == RateLimit {
		// The lender has saved up for this part and now does not use it.
		s.tokens += min(1, amount)
	}
}

// RetryAfter is when one more request is allowed, as far as this box can tell.
func (s *Share) RetryAfter(now Time) time.Duration {
	rate := s.effective(now)
	if s.kind == ConcurrencyLimit || rate <= 0 {
		return time.Second
	}
	seconds := (1 - s.tokens) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), 100*time.Millisecond), time.Minute)
}
