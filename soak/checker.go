package soak

// This file defines the record of what callers and upstreams observe of each request, and the checks on it.
//
// Invariants: a request arrives unchanged and with its customer; one that must not be repeated runs at most once;
// one that was reported to its caller as not executed has not run and does not run later.

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// entry is the record of one request.
type entry struct {
	path         string
	body         string
	box          *box // the box that the caller sent the request to
	incarnation  boxIncarnation
	decidedAfter time.Time // the box made its next routing decision no earlier than this
	runs         int
	arrivals     int
	notExecuted  bool // the caller was told that the request has not run
}

// checker records all requests and checks the invariants as early as possible.
type checker struct {
	mu           sync.Mutex
	entries      map[string]*entry
	answered     int
	refused      int
	violations   []string
	cold         map[*upstream][]time.Time // arrivals at cold upstreams within the last second
	retries      retries
	notices      notices
	lastUpstream map[string]*upstream // by request id, the upstream that the request reached last
}

func newChecker() *checker {
	return &checker{entries: make(map[string]*entry), cold: make(map[*upstream][]time.Time), retries: newRetries(), notices: newNotices(), lastUpstream: make(map[string]*upstream)}
}

func (c *checker) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// addViolation is reportViolation for callers that hold mu.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// requestSent records a request that a caller is about to send.
func (c *checker) requestSent(id, path, body string, b *box) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[id] = &entry{path: path, body: body, box: b, incarnation: b.incarnation(), decidedAfter: time.Now()}
	c.retries.addRequest(path)
}

// boxOf returns the box that a request was sent to, or nil if no caller sent it.
func (c *checker) boxOf(id string) *box {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[id]; e != nil {
		return e.box
	}
	return nil
}

// requestArrived records and checks a request that reached an upstream.
func (c *checker) requestArrived(u *upstream, id, body, customer, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[id]
	switch {
	case e == nil:
		c.addViolation("%s: request that no caller sent reached %s", id, u.id)
		return
	case e.body != body:
		c.addViolation("%s: request body was changed on the way to %s", id, u.id)
	case customer != "customer":
		c.addViolation("%s: request arrived with customer %q", id, customer)
	case instance == "":
		c.addViolation("%s: request arrived without the instance of %s", id, u.id)
	}
	if e.arrivals++; e.arrivals > 1 {
		c.retries.addRetry(e.path)
	}
	c.notices.markRead(id)
	c.notices.requestArrived(u, e, c.addViolation)
	e.decidedAfter, c.lastUpstream[id] = time.Now(), u
}

// pauseRequested records that an upstream refuses a request and requests a pause.
func (c *checker) pauseRequested(u *upstream, id string, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[id]; e != nil {
		c.notices.pauseRequested(u, id, e.incarnation, length)
	}
}

// checkColdRate checks that a cold upstream receives no more requests per second than its bound.
func (c *checker) checkColdRate(u *upstream) {
	now := time.Now()
	if now.After(u.coldUntil) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.DeleteFunc(c.cold[u], func(at time.Time) bool { return now.Sub(at) >= time.Second })
	list = append(list, now)
	c.cold[u] = list
	if float64(len(list)) > coldOvershoot*coldPerSecond+coldSlack {
		c.addViolation("%s: cold upstream received %d requests in one second", u.id, len(list))
	}
}

// executed records that an upstream runs a request, and checks that it may.
func (c *checker) executed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[id]
	if e == nil {
		return
	}
	e.runs++
	if e.notExecuted {
		c.addViolation("%s: request runs after its caller was told that it was not executed", id)
	}
	if e.runs > 1 && (hasPrefix(e.path, "/once/") || hasPrefix(e.path, "/fixed/") || hasPrefix(e.path, heldPath)) {
		c.addViolation("%s: request may run once but ran %d times", id, e.runs)
	}
}

func hasPrefix(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix
}

// responseReceived records and checks the response that a caller received.
func (c *checker) responseReceived(id string, status int, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[id]
	switch {
	case status == 200 && whole:
		c.answered++
	case status == 503 || status == 429:
		c.refused++
		e.notExecuted = true
		if e.runs > 0 && !hasPrefix(e.path, "/safe/") && !hasPrefix(e.path, "/flow/") {
			c.addViolation("%s: caller received status %d although the request has run", id, status)
		}
	case status == 401 || status == 404:
		c.addViolation("%s: request was denied with status %d although every document allows it", id, status)
	}
}

func (c *checker) report(retryWindow time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.check(retryWindow, c.addViolation)
	r := &Report{Requests: len(c.entries), Answered: c.answered, Refused: c.refused, Retries: c.retries.count(), Violations: c.violations}
	for _, e := range c.entries {
		r.Runs += e.runs
	}
	return r
}
