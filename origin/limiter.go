package origin

// This file bounds the lookups that a box makes. The invariant: a customer that names streams that
// never were cannot use up the lookups of others, nor make a box ask more than its rate.

import "time"

const (
	// Lookups that a box makes at once and per second: half of the boxes of a domain may be killed
	// together, and the callers of all their streams come back within 100 ms.
	maxBurst, maxRate = 512, 128
	// customerShare is the part of both that one customer may use.
	customerShare = 0.5
	// maxCustomers bounds the customers that are counted apart; more share what is left.
	maxCustomers = 256
)

// bucket is a token bucket.
type bucket struct {
	tokens float64
	filled time.Duration
}

// take takes a token; false means that none is left.
func (b *bucket) take(now time.Duration, burst, rate float64) bool {
	b.refill(now, burst, rate)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) refill(now time.Duration, burst, rate float64) {
	b.tokens = min(burst, b.tokens+rate*(now-b.filled).Seconds())
	b.filled = now
}

// Limiter bounds lookups. It is not safe for concurrent use.
type Limiter struct {
	all        bucket
	byCustomer map[string]*bucket
}

// NewLimiter returns a limiter that has its whole burst.
func NewLimiter() *Limiter {
	return &Limiter{all: bucket{tokens: maxBurst}, byCustomer: make(map[string]*bucket)}
}

// Allow reports whether a lookup for a customer may be made, and counts it.
func (l *Limiter) Allow(now time.Duration, customer string) bool {
	b := l.byCustomer[customer]
	if b == nil {
		l.forgetFull(now)
		if len(l.byCustomer) >= maxCustomers {
			return l.all.take(now, maxBurst, maxRate)
		}
		b = &bucket{tokens: customerShare * maxBurst, filled: now}
		l.byCustomer[customer] = b
	}
	b.refill(now, customerShare*maxBurst, customerShare*maxRate)
	if b.tokens < 1 || !l.all.take(now, maxBurst, maxRate) {
		return false
	}
	b.tokens--
	return true
}

// forgetFull forgets the customers that have their whole burst, if too many are counted.
func (l *Limiter) forgetFull(now time.Duration) {
	if len(l.byCustomer) < maxCustomers {
		return
	}
	for name, b := range l.byCustomer {
		if b.refill(now, customerShare*maxBurst, customerShare*maxRate); b.tokens >= customerShare*maxBurst {
			delete(l.byCustomer, name)
		}
	}
}
