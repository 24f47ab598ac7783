package relay

// This file defines how a retry is taken from its service's retry budget. The invariants: each run after a request's first
// is taken from it, a move when it is ordered and any other as it is sent; and a request that is given up since the budget is used
// up has a line that says by what.

import (
	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// Counters of retries, of all services.
const (
	retriesSent   = "retries_sent"
	retriesDenied = "retries_denied"
)

// errBudget says that other requests used the retry budget up while this one waited for a connection.
var errBudget = &Error{Op: "retry", Kind: KindExhausted}

// hasRetry reports whether the budget has a retry left for the request, and logs that it has none.
func (x *exchange) hasRetry() bool {
	r := x.relay
	r.mu.Lock()
	budget := r.budgets.Of(x.service)
	left := budget.Left(r.now(), r.divisor())
	use := budget.Use(r.now(), r.divisor())
	r.mu.Unlock()
	if left > 0 || x.retryPaid {
		return true
	}
	r.stats.count(retriesDenied)
	x.logNotRetried(use)
	return false
}

// spendRetry takes the run that is about to be sent from the budget; false: there is no retry left. A first run
// and a move that was ordered cost nothing here.
func (x *exchange) spendRetry() bool {
	if x.runsSent == 0 {
		return true
	}
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !x.retryPaid && !r.budgets.Of(x.service).Spend(r.now(), r.divisor()) {
		return false
	}
	x.retryPaid = false
	r.stats.count(retriesSent)
	return true
}

// logNotRetried writes the line of a request that the budget allows no retry.
func (x *exchange) logNotRetried(use balance.BudgetUse) {
	x.relay.cfg.Log.Event("run", "not retried", Fields{"id": x.request.id, "upstream": x.upstream.ID, "service": x.service, "reason": "retry budget used up",
		"taken": use.Taken, "spent": use.Spent, "boxes": use.Boxes, "window_ms": x.relay.cfg.Budget.Window.Milliseconds()})
}

// retryRows are the budgets as operators read them, and the fewest retries that one has left; 0 where none
// is in use. The caller holds the relay's mu.
func (r *Relay) retryRows() (rows []*wire.RetryRow, fewest uint32) {
	now, boxes := r.now(), r.divisor()
	for _, service := range r.budgets.Services() {
		budget := r.budgets.Of(service)
		use := budget.Use(now, boxes)
		left := uint32(budget.Left(now, boxes))
		rows = append(rows, &wire.RetryRow{Service: service, Taken: uint32(use.Taken), Spent: uint32(use.Spent), Left: left})
		if len(rows) == 1 || left < fewest {
			fewest = left
		}
	}
	return rows, fewest
}
