package soak

// This file defines what is written down of requests on both sides, and the promises
// that are checked on it.

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// entry is one request.
type entry struct {
	path     string
	body     string
	box      *box // that it was sent to
	by       boxLife
	decided  time.Time // where it goes next was not decided before
	runs     int
	arrivals int
	promised bool // its caller was told that it has not run
}

// ledger holds all requests. Promises are checked as soon as they can be.
type ledger struct {
	mu         sync.Mutex
	entries    map[string]*entry
	answered   int
	refused    int
	violations []string
	cold       map[*upstream][]time.Time // requests that reached those that were cold, of the last second
	retries    retries
	said       said
	ranAt      map[string]*upstream // where a request ran last
}

func newLedger() *ledger {
	return &ledger{entries: make(map[string]*entry), cold: make(map[*upstream][]time.Time), retries: newRetries(), said: newSaid(), ranAt: make(map[string]*upstream)}
}

func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(format, args...)
}

func (l *ledger) breach(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// asked notes a request that a caller is about to send.
func (l *ledger) asked(id, path, body string, b *box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[id] = &entry{path: path, body: body, box: b, by: b.life(), decided: time.Now()}
	l.retries.ask(path)
}

// boxOf is the box that a request was sent to; nil where nobody sent it.
func (l *ledger) boxOf(id string) *box {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return e.box
	}
	return nil
}

// arrived checks what reached an upstream.
func (l *ledger) arrived(u *upstream, id, body, customer, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	switch {
	case e == nil:
		l.breach("%s: a request nobody sent reached %s", id, u.id)
		return
	case e.body != body:
		l.breach("%s: its body was changed on the way to %s", id, u.id)
	case customer != "customer":
		l.breach("%s: it came for %q", id, customer)
	case instance == "":
		l.breach("%s: it names no start of %s", id, u.id)
	}
	if e.arrivals++; e.arrivals > 1 {
		l.retries.repeat(e.path)
	}
	l.said.read(id)
	l.said.reached(u, e, l.breach)
	e.decided, l.ranAt[id] = time.Now(), u
}

// turnsAway notes that an upstream turns a request away and asks for a pause.
func (l *ledger) turnsAway(u *upstream, id string, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		l.said.turnsAway(u, id, e.by, length)
	}
}

// sentTo checks that an upstream which is cold is sent no more than it bears.
func (l *ledger) sentTo(u *upstream) {
	now := time.Now()
	if now.After(u.coldTill) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.DeleteFunc(l.cold[u], func(at time.Time) bool { return now.Sub(at) >= time.Second })
	list = append(list, now)
	l.cold[u] = list
	if float64(len(list)) > coldOvershoot*coldPerSecond+coldSlack {
		l.breach("%s: it is cold and was sent %d requests in one second", u.id, len(list))
	}
}

// ran notes that an upstream runs a request.
func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		return
	}
	e.runs++
	if e.promised {
		l.breach("%s: it runs after its caller was told that it has not", id)
	}
	if e.runs > 1 && (hasPrefix(e.path, "/once/") || hasPrefix(e.path, "/fixed/")) {
		l.breach("%s: it may run once and runs %d times", id, e.runs)
	}
}

func hasPrefix(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix
}

// told notes the caller's answer.
func (l *ledger) told(id string, status int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	switch {
	case status == 200 && whole:
		l.answered++
	case status == 503 || status == 429:
		l.refused++
		e.promised = true
		if e.runs > 0 && !hasPrefix(e.path, "/safe/") && !hasPrefix(e.path, "/flow/") {
			l.breach("%s: its caller was told %d, and it has run", id, status)
		}
	case status == 401 || status == 404:
		l.breach("%s: it was denied with %d, and no document denies it", id, status)
	}
}

func (l *ledger) report() *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries.check(l.breach)
	r := &Report{Requests: len(l.entries), Answered: l.answered, Refused: l.refused, Again: l.retries.count(), Violations: l.violations}
	for _, e := range l.entries {
		r.Runs += e.runs
	}
	return r
}
