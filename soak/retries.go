package soak

// This file defines the times in which upstreams refuse most of what they are sent, so that retry budgets are used up, beside a
// service whose upstreams are sound. The promise that is checked: in any window, over all boxes, the requests of a service that
// reach it again are no more than the budget allows for that service's requests.

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	soundService = "sound"
	soundPath    = "/sound/"
	soundCount   = 2 // one in each domain
	// failedShare of 100 requests are refused while upstreams fail.
	failedShare = 70
	retryWindow = 10 * time.Second
	// retryOnWay is the longest that a request takes from its caller to a box, and a retry from a box to its upstream.
	retryOnWay = time.Second
)

// startSound starts the upstreams that nothing happens to but what they say.
func (w *world) startSound() error {
	for i := range soundCount {
		u, err := w.newUpstream(soundService, i, 0)
		if err != nil {
			return err
		}
		u.need.name(-1)
		w.sound = append(w.sound, u)
		w.list(u, false)
	}
	return nil
}

// failUpstreams has all upstreams but the sound ones fail for a while.
func failUpstreams(w *world) func() {
	w.failing.Add(1)
	return func() { w.failing.Add(-1) }
}

// failMidway has upstreams fail in the middle third of a run, long enough to use retry budgets up.
func (w *world) failMidway() {
	third := w.cfg.For / 3
	time.AfterFunc(third, func() { w.failing.Add(1) })
	time.AfterFunc(2*third, func() { w.failing.Add(-1) })
}

// fails reports whether an upstream refuses a request because upstreams fail.
func (u *upstream) fails() bool { return u.world.failing.Load() > 0 && rand.IntN(100) < failedShare }

// retries is what reached services, each time and again; times are kept in their order.
type retries struct {
	asked map[string][]time.Time // by service
	again map[string][]time.Time
}

func newRetries() retries {
	return retries{asked: make(map[string][]time.Time), again: make(map[string][]time.Time)}
}

// serviceOf is the service that requests of a path go to.
func serviceOf(path string) string {
	if strings.HasPrefix(path, soundPath) {
		return soundService
	}
	return service
}

func (r *retries) ask(path string)    { r.note(r.asked, path) }
func (r *retries) repeat(path string) { r.note(r.again, path) }

func (r *retries) note(times map[string][]time.Time, path string) {
	s := serviceOf(path)
	times[s] = append(times[s], time.Now())
}

// count is how many retries reached all services.
func (r *retries) count() int {
	n := 0
	for _, again := range r.again {
		n += len(again)
	}
	return n
}

// check reports each service's first window with more retries than its requests allow.
func (r *retries) check(breach func(format string, args ...any)) {
	for s, again := range r.again {
		for _, begin := range again {
			n := between(again, begin, begin.Add(retryWindow-retryOnWay))
			requests := 0
			for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
				from := begin.Add(-earlier)
				requests = max(requests, between(r.asked[s], from.Add(-retryOnWay), from.Add(retryWindow)))
			}
			if allowed := slackTop + ratioTop*float64(requests); float64(n) > allowed {
				breach("service %s: %d requests reached it again within %v, for %d requests; %.0f are allowed", s, n, retryWindow, requests, allowed)
				break
			}
		}
	}
}

// between counts the times from one moment on and before another.
func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}
