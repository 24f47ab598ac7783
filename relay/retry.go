package relay

// This file defines how retries are taken from the retry budget of their service. The invariants: each
// run after a request's first is taken from the budget, for a move when it is started and otherwise
// when it is sent; it counts there until it has arrived or can no longer arrive, and is returned if it
// is not sent; and a request that is given up because the budget is used up, and each retry, has a
// log line with the budget's use.

import (
	"errors"
	"net"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// Metric names of the retry counters, which cover all services.
const (
	retriesSent   = "retries_sent"
	retriesDenied = "retries_denied"
	retryAnswered = "retry_answered_ms" // from sending a retry until its upstream answered or its run ended
)

// errBudget reports that other requests used up the retry budget while this one waited for a
// connection.
var errBudget = &Error{Op: "retry", Kind: KindExhausted}

// hasRetry reports whether the budget allows the request another retry, and logs it if not.
func (x *exchange) hasRetry() bool {
	r := x.relay
	r.mu.Lock()
	budget := r.budgets.ForService(x.service)
	left := budget.Remaining(r.now(), r.divisor())
	use := budget.Use(r.now(), r.divisor())
	r.mu.Unlock()
	if left > 0 {
		return true
	}
	r.stats.count(retriesDenied)
	x.logNotRetried(use)
	return false
}

// takeRetry takes the run that is about to be sent from the budget; false means that no retry is
// left. A request's first run costs nothing. A retry that was taken when a move was started is used if
// the budget still allows it.
func (x *exchange) takeRetry() bool {
	if x.runsSent == 0 {
		return true
	}
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !x.retry.MayBeSent(r.now(), r.divisor()) {
		x.retry.Cancel()
		x.retry = r.budgets.ForService(x.service).Take(r.now(), r.divisor())
	}
	if x.retry == nil {
		return false
	}
	r.stats.count(retriesSent)
	return true
}

// endRetry records by when the run that was sent has reached its upstream, now that it is answered or
// has ended with err. A run that the box itself ended may still arrive, as at an upstream whose process
// is stopped: a first run that does so makes a retry of the one that reached its upstream before.
func (x *exchange) endRetry(sent time.Time, err error) {
	r := x.relay
	r.mu.Lock()
	now := r.now()
	if mayStillArrive(err) {
		x.arrivedBy = now + r.cfg.Budget.Window
	}
	x.retry.Arrived(now, max(now, x.arrivedBy))
	x.retry = nil
	r.mu.Unlock()
	if x.runsSent > 0 {
		x.logRetried(sent, err)
	}
}

// mayStillArrive reports whether a request whose run ended with err may reach its upstream later: the
// box closed the connection, and the upstream may not have read what was sent; or the connection to
// the box between was lost, and that box may still hold it.
func mayStillArrive(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, errTunnelLost)
}

// cancelRetry returns a retry that was not sent to the budget.
func (r *Relay) cancelRetry(retry *balance.Retry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	retry.Cancel()
}

// logRetried logs a retry once there is a response to it, or none can come any more: it was sent at
// the given time and reached its upstream, if at all, before now.
func (x *exchange) logRetried(sent time.Time, err error) {
	r := x.relay
	r.mu.Lock()
	use := r.budgets.ForService(x.service).Use(r.now(), r.divisor())
	r.mu.Unlock()
	fields := Fields{"id": x.request.id, "upstream": x.upstream.ID, "service": x.service, "runs": x.runsSent + 1, "answered": err == nil,
		"sent_ms_ago": time.Since(sent).Milliseconds(), "taken": use.Taken, "spent": use.Spent, "boxes": use.Boxes, "up_ms": r.now().Milliseconds()}
	if !x.retryTakenAt.IsZero() {
		fields["paid_ms_before"] = sent.Sub(x.retryTakenAt).Milliseconds()
		x.retryTakenAt = time.Time{}
	}
	r.stats.latency(retryAnswered, time.Since(sent))
	r.cfg.Log.Event("run", "retried", fields)
}

// logNotRetried logs a request that the budget denies a retry.
func (x *exchange) logNotRetried(use balance.BudgetUsage) {
	x.relay.cfg.Log.Event("run", "not retried", Fields{"id": x.request.id, "upstream": x.upstream.ID, "service": x.service, "reason": "retry budget used up",
		"taken": use.Taken, "spent": use.Spent, "boxes": use.Boxes, "window_ms": x.relay.cfg.Budget.Window.Milliseconds()})
}

// retryRows returns the state of the budgets for operators, and the fewest retries that any of them
// has left; 0 if no budget is in use. The caller holds r.mu.
func (r *Relay) retryRows() (rows []*wire.RetryRow, fewest uint32) {
	now, boxes := r.now(), r.divisor()
	for _, service := range r.budgets.Services() {
		budget := r.budgets.ForService(service)
		use := budget.Use(now, boxes)
		left := uint32(budget.Remaining(now, boxes))
		rows = append(rows, &wire.RetryRow{Service: service, Taken: uint32(use.Taken), Spent: uint32(use.Spent), Left: left})
		if len(rows) == 1 || left < fewest {
			fewest = left
		}
	}
	return rows, fewest
}
