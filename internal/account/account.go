// Package account limits the total of a resource, such as bytes of memory, that a
// process holds for its clients.
//
// An Account has a limit. Each holder opens a Lease, grows it before it allocates
// and shrinks or closes it afterwards. Each growth names the share of the limit up
// to which it may fill the account, so that less important holders are refused
// first.
package account

// This file defines Account and Lease. The invariant: the total is never below zero
// and never above the limit, and a closed lease holds nothing.

import (
	"context"
	"sync"
)

// Account tracks the total held by its leases. It is safe for concurrent use.
type Account struct {
	bound int64

	mu    sync.Mutex
	used  int64
	peak  int64
	freed chan struct{} // closed at the next decrease of used; nil while nobody waits
}

// New returns an account with a limit; 0 means no limit, only accounting.
func New(bound int64) *Account { return &Account{bound: bound} }

// Bound returns the limit; 0 means none.
func (a *Account) Bound() int64 { return a.bound }

// Used returns the current total.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Peak returns the highest total so far.
func (a *Account) Peak() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak
}

// Lease returns a new, empty lease.
func (a *Account) Lease() *Lease { return &Lease{account: a} }

// fits reports whether the total plus n stays within the share of the limit. The
// caller holds mu.
func (a *Account) fits(n int64, share float64) bool {
	return a.bound == 0 || a.used+n <= int64(min(share, 1)*float64(a.bound))
}

// add changes the total by n, which may be negative, and wakes waiters on a
// decrease. The caller holds mu.
func (a *Account) add(n int64) {
	a.used += n
	a.peak = max(a.peak, a.used)
	if n < 0 && a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// waitForFree returns a channel that is closed at the next decrease of the total.
// The caller holds mu.
func (a *Account) waitForFree() <-chan struct{} {
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// Lease is one holder's part of an account. It is safe for concurrent use.
type Lease struct {
	account *Account
	held    int64
	closed  bool
}

// Grow adds n to the lease and reports true if the total stays within the share of
// the limit, from 0 to 1. Otherwise, or if the lease is closed, it changes nothing.
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

// Fits reports whether Grow would succeed with the same arguments now.
func (l *Lease) Fits(n int64, share float64) bool {
	a := l.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return !l.closed && a.fits(n, share)
}

// Await is like Grow but waits until n fits. It returns false, with the lease
// unchanged, if ctx ends or the lease is closed.
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

// growOrWait grows the lease, or returns the channel to wait on before the next
// attempt. For a closed lease it returns nil and false.
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

// Held returns the amount that the lease holds.
func (l *Lease) Held() int64 {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	return l.held
}

// Shrink reduces the lease to n; a lease that holds less stays as it is.
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

// Close releases everything; later growth fails.
func (l *Lease) Close() {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.shrink(0)
	l.closed = true
}
