package soak

// This file defines the record of answers that have neither a length nor chunks, which end with their connections.
//
// Invariant: of those that upstreams finished and served on after, and whose box and connections no fault affected,
// all reach their callers without another run, but for maxBrokenShare and brokenSlack of them: a box that waits
// too long for a starved upstream cannot tell that it serves, and one delay affects all answers of that moment. The
// next life of an upstream counts once boxes must know of it: its runs look like those of the life before until then.

import (
	"sync"
	"time"
)

const (
	maxBrokenShare = 0.05
	brokenSlack    = 5
	// servedOnFor is how long an upstream serves on after an answer that counts.
	servedOnFor = time.Second
)

// unframedAnswer is an answer that an upstream has finished.
type unframedAnswer struct {
	upstream    *upstream
	at          time.Time
	disruptions int64 // of the upstream's connections
	isKnown     bool  // boxes know of the upstream's start
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
		r.answers[id] = &unframedAnswer{upstream: u, at: time.Now(), disruptions: disruptions, isKnown: u.isKnown()}
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

// isKnown reports whether boxes must know of the upstream's start.
func (u *upstream) isKnown() bool {
	return !u.isNextLife || u.listedAt.Load() > 0 && time.Since(time.Unix(0, u.listedAt.Load())) >= propagationTime
}

// isSound reports whether the caller is owed the answer.
func (a *unframedAnswer) isSound() bool {
	ended := a.upstream.endedAt.Load()
	return a.isJudged && a.isKnown && (ended == 0 || time.Unix(0, ended).Sub(a.at) >= servedOnFor)
}

// check reports a violation of the invariant, and counts the answers.
func (r *unframedRecord) check(violation func(format string, args ...any)) (s share) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []string
	for id, a := range r.answers {
		if !a.isSound() {
			continue
		}
		gotIt := a.isWhole && !a.isRepeated
		s.add(gotIt)
		if !gotIt {
			others = append(others, id)
		}
	}
	if float64(len(others)) > maxBrokenShare*float64(s.tried)+brokenSlack {
		violation("of %d sound answers without a length %d reached their callers by one run, not %v", s.tried, s.brought, others)
	}
	return s
}
