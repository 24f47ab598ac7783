package soak

// This file defines the periods in which upstreams refuse most requests, so that retry budgets are exhausted, next
// to a service whose upstreams stay healthy.
//
// Invariant: in any window, the retries of all boxes that reach a service stay within the retry budget for that
// service's requests.

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	healthyService = "sound"
	healthyPath    = "/sound/"
	healthyCount   = 2 // one in each domain
	// failedShare is the percentage of requests that upstreams refuse in failing periods.
	failedShare = 70
	retryWindow = 10 * time.Second
	// maxTransit bounds the time that a request takes from its caller to a box, and a retry from a box to an upstream.
	maxTransit = time.Second
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

// scheduleFailures makes upstreams fail in the middle third of a run, which is long enough to exhaust retry budgets.
func (w *harness) scheduleFailures() {
	third := w.cfg.Duration / 3
	time.AfterFunc(third, func() { w.failing.Add(1) })
	time.AfterFunc(2*third, func() { w.failing.Add(-1) })
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
	if strings.HasPrefix(path, healthyPath) {
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

// check reports, for each service, the first window with more retries than the budget allows.
func (r *retries) check(addViolation func(format string, args ...any)) {
	for s, times := range r.retries {
		for _, begin := range times {
			n := between(times, begin, begin.Add(retryWindow-maxTransit))
			requestCount := 0
			for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
				from := begin.Add(-earlier)
				requestCount = max(requestCount, between(r.requests[s], from.Add(-maxTransit), from.Add(retryWindow)))
			}
			if allowed := maxRetrySlack + maxRetryRatio*float64(requestCount); float64(n) > allowed {
				addViolation("service %s: %d retries within %v for %d requests; %.0f are allowed", s, n, retryWindow, requestCount, allowed)
				break
			}
		}
	}
}

// between counts the times in [from, to).
func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}
