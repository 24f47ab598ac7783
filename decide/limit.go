package decide

// This file defines limits that several boxes enforce together. Each box owns a
// fixed share of every limit, and the shares add up to the limit. A box that needs
// more borrows from the shares of others for a short time. The invariant: a loan
// moves a part of a share and never creates one. The sum therefore stays within the
// limit without a coordinator or consensus, and during network partitions, as long
// as all boxes divide by the same number of boxes.

import (
	"math"
	"time"
)

// LimitKind is the quantity that a limit bounds.
type LimitKind uint8

// Kinds of limit.
const (
	RateLimit        LimitKind = iota // requests per second
	ConcurrencyLimit                  // concurrent requests
)

// LoanLife is the duration of a loan.
const LoanLife = 5 * time.Second

const (
	burstSeconds    = 1.0  // capacity of a rate's token bucket, in seconds of the rate
	useTimeConstant = 2.0  // time constant of the average of recent use, in seconds
	lenderReserve   = 1.25 // multiple of its recent use that a lender keeps
)

// loan is a part of a share that is lent or borrowed until a given time.
type loan struct {
	amount float64
	until  Time
}

// Share is one box's share of one limit. It uses a token bucket for a rate and a
// counter for a concurrency.
type Share struct {
	kind     LimitKind
	own      float64
	lent     []loan
	borrowed []loan
	tokens   float64 // token bucket of a rate, in requests
	refilled Time
	inUse    int     // running requests, for a concurrency
	use      float64 // moving average of admitted requests per second, for a rate
}

// NewShare returns a box's share of limit, divided among the given number of
// boxes. rank is the position of the box in the rendezvous order of the limit,
// from 0; it decides which boxes get the remainder of the division.
func NewShare(now Time, kind LimitKind, limit float64, boxes, rank int) *Share {
	s := &Share{kind: kind, refilled: now}
	s.own = ShareSize(kind, limit, boxes, rank)
	s.tokens = min(1, s.own)
	return s
}

// ShareSize returns how much of a limit the box of the given rank owns. A
// concurrency is divided into whole slots.
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

// Resize applies a new limit or number of boxes. Current loans continue.
func (s *Share) Resize(now Time, limit float64, boxes, rank int) {
	s.refill(now)
	s.own = ShareSize(s.kind, limit, boxes, rank)
}

// effective returns the limit of this box at the given time, loans included.
func (s *Share) effective(now Time) float64 {
	n := s.own
	s.lent = applyLoans(now, s.lent, &n, -1)
	s.borrowed = applyLoans(now, s.borrowed, &n, 1)
	return n
}

// applyLoans adds sign times the amounts of the current loans to n, and returns the
// loans without the expired ones.
func applyLoans(now Time, loans []loan, n *float64, sign float64) []loan {
	kept := loans[:0]
	for _, l := range loans {
		if l.until > now {
			*n += sign * l.amount
			kept = append(kept, l)
		}
	}
	return kept
}

// refill adds the tokens earned since the last call and decays the recent use.
func (s *Share) refill(now Time) {
	seconds := (now - s.refilled).Seconds()
	if seconds <= 0 {
		return
	}
	s.refilled = now
	rate := max(0, s.effective(now))
	s.tokens = min(s.tokens+rate*seconds, max(1, rate*burstSeconds))
	s.use *= math.Exp(-seconds / useTimeConstant)
}

// Acquire takes one request out of the share and reports whether the share allowed
// it.
func (s *Share) Acquire(now Time) bool {
	s.refill(now)
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
	s.use += 1 / useTimeConstant
	return true
}

// Release returns what Acquire took, after the request has ended. It has no effect
// on a rate.
func (s *Share) Release() {
	if s.kind == ConcurrencyLimit {
		s.inUse--
	}
}

// Undo reverts an Acquire whose request is not sent.
func (s *Share) Undo() {
	if s.kind == ConcurrencyLimit {
		s.inUse--
		return
	}
	s.tokens++
	s.use = max(0, s.use-1/useTimeConstant)
}

// Lend lends up to want of what this box does not need, and returns the amount. The
// box does not use that amount until the loan ends. Borrowed amounts are not lent
// on.
func (s *Share) Lend(now Time, want float64) float64 {
	s.refill(now)
	free := s.own
	s.lent = applyLoans(now, s.lent, &free, -1)
	if s.kind == ConcurrencyLimit {
		free = math.Floor(free - float64(s.inUse))
		want = math.Ceil(want)
	} else {
		free -= lenderReserve * s.use
	}
	amount := min(free, want)
	if amount <= 0 {
		return 0
	}
	s.lent = append(s.lent, loan{amount, now + LoanLife})
	return amount
}

// Borrow adds a loan that was requested at time asked. The loan's life counts from
// that time, so that it ends here no later than at the lender.
func (s *Share) Borrow(now, asked Time, amount float64, life time.Duration) {
	s.refill(now)
	if asked+life <= now {
		return
	}
	s.borrowed = append(s.borrowed, loan{amount, asked + life})
	if s.kind == RateLimit {
		// The lender has accumulated tokens for this part and no longer uses them.
		s.tokens += min(1, amount)
	}
}

// RetryAfter returns the time until the share allows one more request. For a
// concurrency it is a constant estimate.
func (s *Share) RetryAfter(now Time) time.Duration {
	rate := s.effective(now)
	if s.kind == ConcurrencyLimit || rate <= 0 {
		return time.Second
	}
	seconds := (1 - s.tokens) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), 100*time.Millisecond), time.Minute)
}
