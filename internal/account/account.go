// Package account bounds what a process holds in sum on behalf of others.
//
// An Account has a bound; whoever holds something takes a Lease, grows it before it
// holds more, and gives it back. How much of the bound a lease may fill is said with
// each growth, so that what matters least is turned away first.
package account

// This file defines the account. The invariant: what is held is never below zero, and
// never above the bound; a lease that was closed holds nothing.

import (
	"context"
	"sync"
)

// Account is what is held in sum.
type Account struct {
	bound int64

	mu    sync.Mutex
	used  int64
	peak  int64
	freed chan struct{} // closed when something is given back; nil while nobody waits
}

// New returns an account with a bound; with 0 it only counts.
func New(bound int64) *Account { return &Account{bound: bound} }

// Bound is the most that may be held; 0: there is none.
func (a *Account) Bound() int64 { return a.bound }

// Used is what is held.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Peak is the most that was held at once.
func (a *Account) Peak() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak
}

// Lease returns a lease that holds nothing yet.
func (a *Account) Lease() *Lease { return &Lease{account: a} }

// fits reports whether n more stay within the share of the bound; mu is held.
func (a *Account) fits(n int64, share float64) bool {
	return a.bound == 0 || a.used+n <= int64(min(share, 1)*float64(a.bound))
}

// add changes what is held by n, which may be negative; mu is held.
func (a *Account) add(n int64) {
	a.used += n
	a.peak = max(a.peak, a.used)
	if n < 0 && a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// waitForFree returns what is closed when something is given back; mu is held.
func (a *Account) waitForFree() <-chan struct{} {
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// Lease is what one holder has of an account. Its methods may be called from several
// goroutines.
type Lease struct {
	account *Account
	held    int64
	closed  bool
}

// Grow takes n more, where that stays within the share of the bound.
func (l *Lease) Grow(n int64, share float64) bool {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return l.grow(n, share)
}

func (l *Lease) grow(n int64, share float64) bool {
	if l.closed || !l.account.fits(n, share) {
		return false
	}
	l.held += n
	l.account.add(n)
	return true
}

// Fits reports whether n more would stay within the share of the bound.
func (l *Lease) Fits(n int64, share float64) bool {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return !l.closed && a.fits(n, share)
}

// Await is Grow, but waits until what is taken fits or ctx ends; false means that
// nothing was taken.
func (l *Lease) Await(ctx context.Context, n int64, share float64) bool {
	for {
		freed, ok := l.growOrWait(n, share)
		if ok || freed == nil {
			return ok
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

// growOrWait takes n more, or returns what to wait for; neither where the lease is closed.
func (l *Lease) growOrWait(n int64, share float64) (<-chan struct{}, bool) {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.grow(n, share) {
		return nil, true
	}
	if l.closed {
		return nil, false
	}
	return a.waitForFree(), false
}

// Held is what the lease has.
func (l *Lease) Held() int64 {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	return l.held
}

// Shrink gives back all but n.
func (l *Lease) Shrink(n int64) {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.shrink(n)
}

func (l *Lease) shrink(n int64) {
	if l.held <= n {
		return
	}
	l.account.add(n - l.held)
	l.held = n
}

// Close gives everything back; the lease takes nothing from then on.
func (l *Lease) Close() {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.shrink(0)
	l.closed = true
}
