package soak

// This file defines the periods in which upstreams refuse most requests, so that retry budgets are exhausted, next
// to a service whose upstreams stay healthy.
//
// Invariant: in any window, the retries of all boxes that arrive at a service stay within the retry budget for the
// requests that callers sent to it.

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	healthyService = "sound"
	healthyPath    = "/sound/"
	healthyCount   = 2 // one in each domain
	// failedShare is the percentage of requests that upstreams refuse in failing periods.
	failedShare = 70
	// defaultRetryWindow is the window of the retry budget where the run sets none.
	defaultRetryWindow = 10 * time.Second
	// slowPathPart is the part of a window, at the start of a failing period, for which requests take longer
	// to reach the upstreams. Retries sent meanwhile arrive closer to those of the next window.
	slowPathPart       = 0.25
	minSlowPathDelayMs = 200 // additional time, with up to slowPathJitterMs more
	slowPathJitterMs   = 700
)

// startHealthy starts the upstreams that no fault affects, except that they may announce leaving or pauses.
func (w *harness) startHealthy() error {
	for i := range healthyCount {
		u, err := w.newUpstream(healthyService, i, 0)
		if err != nil {
			return err
		}
		u.advertisedLimit.set(-1)
		w.healthy = append(w.healthy, u)
		w.publishUpstream(u, false)
	}
	return nil
}

// failUpstreams makes all upstreams except the healthy ones refuse most requests until the fault is undone.
func failUpstreams(w *harness) func() {
	w.failing.Add(1)
	return func() { w.failing.Add(-1) }
}

// scheduleFailures makes upstreams fail in the middle third of a run, which is long enough to exhaust retry budgets,
// and delays requests to them at its start.
func (w *harness) scheduleFailures() {
	third := w.cfg.Duration / 3
	delay := time.Duration(minSlowPathDelayMs+w.random.IntN(slowPathJitterMs)) * time.Millisecond
	time.AfterFunc(third, func() {
		w.failing.Add(1)
		w.pathDelay.Store(int64(delay))
	})
	slowPath := time.Duration(slowPathPart * float64(w.retryWindow()))
	time.AfterFunc(third+slowPath, func() { w.pathDelay.Store(0) })
	time.AfterFunc(2*third, func() { w.failing.Add(-1) })
}

// retryWindow returns the window of the retry budget.
func (w *harness) retryWindow() time.Duration {
	if w.cfg.RetryWindow > 0 {
		return w.cfg.RetryWindow
	}
	return defaultRetryWindow
}

// fails reports whether the upstream refuses the current request because of a failing period.
func (u *upstream) fails() bool { return u.harness.failing.Load() > 0 && rand.IntN(100) < failedShare }

// retries records, per service, when callers sent requests and when retries reached upstreams, in time order.
type retries struct {
	requests map[string][]time.Time // by service
	retries  map[string][]time.Time
}

func newRetries() retries {
	return retries{requests: make(map[string][]time.Time), retries: make(map[string][]time.Time)}
}

// serviceOf returns the service that serves a path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, healthyPath) || strings.HasPrefix(path, heldPath) {
		return healthyService
	}
	return service
}

func (r *retries) addRequest(path string) { r.add(r.requests, path) }
func (r *retries) addRetry(path string)   { r.add(r.retries, path) }

func (r *retries) add(times map[string][]time.Time, path string) {
	s := serviceOf(path)
	times[s] = append(times[s], time.Now())
}

// count returns the number of retries of all services.
func (r *retries) count() int {
	n := 0
	for _, times := range r.retries {
		n += len(times)
	}
	return n
}

// check reports, for each service, the first window with more retries than the budget allows. Windows that start or
// end with a retry contain the most of them.
func (r *retries) check(window time.Duration, addViolation func(format string, args ...any)) {
	for s, times := range r.retries {
		for _, at := range times {
			if r.checkWindow(s, at, window, addViolation) || r.checkWindow(s, at.Add(time.Nanosecond-window), window, addViolation) {
				break
			}
		}
	}
}

// checkWindow reports whether a service got more retries within a window than the budget allows.
func (r *retries) checkWindow(s string, begin time.Time, window time.Duration, addViolation func(format string, args ...any)) bool {
	n := between(r.retries[s], begin, begin.Add(window))
	requestCount := 0
	for _, earlier := range []time.Duration{0, window / 2, window} {
		from := begin.Add(-earlier)
		requestCount = max(requestCount, between(r.requests[s], from, from.Add(window)))
	}
	allowed := maxRetrySlack + maxRetryRatio*float64(requestCount)
	if float64(n) <= allowed {
		return false
	}
	addViolation("service %s: %d retries within %v for %d requests; %.0f are allowed", s, n, window, requestCount, allowed)
	return true
}

// between counts the times in [from, to) in a sorted list.
func between(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return end - first
}
