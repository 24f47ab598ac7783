package soak

// This file defines the record of answers that have neither a length nor chunks, which end with their connections.
//
// Invariant: of those that upstreams finished and served on after, and whose box and connections no fault affected,
// callers get at least minWholeShare, without another run. The rest is for reports that a busy machine delays.

import (
	"sync"
	"time"
)

const (
	minWholeShare = 0.95
	minFinished   = 40 // answers from which the share is judged
	// servedOnFor is how long an upstream serves on after an answer that counts.
	servedOnFor = time.Second
)

// unframedAnswer is an answer that an upstream has finished.
type unframedAnswer struct {
	upstream    *upstream
	at          time.Time
	disruptions int64 // of the upstream's connections
	isRepeated  bool  // the request has run again
	isJudged    bool  // its caller's end is known, and no fault affected it
	isWhole     bool  // its caller has the whole answer
}

// unframedRecord holds answers by the ids of their requests.
type unframedRecord struct {
	mu      sync.Mutex
	answers map[string]*unframedAnswer
}

func newUnframedRecord() *unframedRecord {
	return &unframedRecord{answers: make(map[string]*unframedAnswer)}
}

// finished records an answer that its upstream has written whole.
func (r *unframedRecord) finished(u *upstream, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	disruptions, isOpen := u.proxy.state()
	if a := r.answers[id]; a == nil && isOpen {
		r.answers[id] = &unframedAnswer{upstream: u, at: time.Now(), disruptions: disruptions}
	}
}

// executed records that a request runs.
func (r *unframedRecord) executed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.answers[id]; a != nil {
		a.isRepeated = true
	}
}

// received records what the caller at an undisturbed box has of an answer.
func (r *unframedRecord) received(id string, isWhole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.answers[id]
	if a == nil {
		return
	}
	disruptions, isOpen := a.upstream.proxy.state()
	a.isJudged, a.isWhole = isOpen && disruptions == a.disruptions && a.upstream.harness.pathDelay.Load() == 0, isWhole
}

// isSound reports whether the caller is owed the answer.
func (a *unframedAnswer) isSound() bool {
	ended := a.upstream.endedAt.Load()
	return a.isJudged && (ended == 0 || time.Unix(0, ended).Sub(a.at) >= servedOnFor)
}

// check reports a violation of the invariant, and counts the answers.
func (r *unframedRecord) check(violation func(format string, args ...any)) (s share) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.answers {
		if a.isSound() {
			s.add(a.isWhole && !a.isRepeated)
		}
	}
	if s.tried >= minFinished && float64(s.brought) < minWholeShare*float64(s.tried) {
		violation("of %d sound answers without a length %d reached their callers by one run", s.tried, s.brought)
	}
	return s
}
