package soak

// This file defines the record of requests on connections that callers hold around planned stops, and its check.
//
// Invariant: a request that ran at an upstream gets a whole response, unless its box was killed or frozen, its
// time was over, or it was sent no later than lateAfter after SIGTERM and still ran near the end of the grace period.
// One that was sent later with more time than the box has left does not run without getting its upstream's response.

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lateAfter is the time after SIGTERM from which a request is answered whole or does not run.
	lateAfter = 3 * time.Second
	// cutAfter is the time after SIGTERM before which no connection is closed under a request: the grace
	// period less a margin.
	cutAfter = 7 * time.Second
	// finishedBy is the time after SIGTERM, five sixths of the grace period, by which a response must be complete
	// at its upstream to be owed to its caller.
	finishedBy = 8 * time.Second * 5 / 6
	// heldWait is how long a caller waits for a response; it exceeds the grace period.
	heldWait = 12 * time.Second
)

// life is one process of a box.
type life struct {
	terminated atomic.Pointer[time.Time] // when it was asked to stop; nil: it was not
	frozen     atomic.Bool
	harms      atomic.Int64 // signals so far that freeze, resume or kill it
}

// signaled records a signal that is about to be sent.
func (l *life) signaled(s syscall.Signal) {
	switch s {
	case syscall.SIGTERM:
		now := time.Now()
		l.terminated.CompareAndSwap(nil, &now)
	case syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGKILL:
		l.frozen.Store(s == syscall.SIGSTOP)
		l.harms.Add(1)
	}
}

// heldRequest is a request on a held connection.
type heldRequest struct {
	life      *life
	harms     int64         // of its box when the connection was opened
	sentAt    time.Time     // before its last bytes were sent
	left      time.Duration // time that its caller waits
	reached   bool          // an upstream ran it
	finished  time.Time     // when an upstream had written the whole response; zero: none has
	cutAt     time.Time     // when its connection was found closed without a whole response; zero: it was not
	responded bool
	refused   bool // the response states that the request has not run
	failed    bool // the response is the box's own and states that the request may have run
}

// heldRecord holds the requests on held connections by their ids.
type heldRecord struct {
	mu       sync.Mutex
	requests map[string]*heldRequest
}

func newHeldRecord() *heldRecord { return &heldRecord{requests: make(map[string]*heldRequest)} }

// sent records a request whose last bytes are about to be sent.
func (h *heldRecord) sent(id string, left time.Duration, l *life, harms int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id] = &heldRequest{life: l, harms: harms, sentAt: time.Now(), left: left}
}

// update changes the record of a request.
func (h *heldRecord) update(id string, change func(*heldRequest)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.requests[id]; r != nil {
		change(r)
	}
}

// isLost reports whether a request breaks the invariant.
func (r *heldRequest) isLost() bool {
	stopped := r.life.terminated.Load()
	isLate := stopped != nil && r.sentAt.Sub(*stopped) > lateAfter
	switch {
	case !r.reached, r.life.frozen.Load(), r.life.harms.Load() != r.harms:
		return false
	case r.failed:
		return isLate && r.left >= heldWait
	case r.cutAt.IsZero(), r.cutAt.Sub(r.sentAt) >= r.left:
		return false
	case stopped == nil, isLate, r.cutAt.Sub(*stopped) < cutAfter:
		return true
	}
	return !r.finished.IsZero() && r.finished.Sub(*stopped) < finishedBy
}

// String describes what happened to a request, with times after SIGTERM.
func (r *heldRequest) String() string {
	stopped := r.life.terminated.Load()
	if stopped == nil {
		return "its box was not asked to stop"
	}
	finished := "not finished"
	if !r.finished.IsZero() {
		finished = fmt.Sprintf("finished at %.2f s", r.finished.Sub(*stopped).Seconds())
	}
	ended := "got a failure of the box"
	if !r.failed {
		ended = fmt.Sprintf("closed at %.2f s", r.cutAt.Sub(*stopped).Seconds())
	}
	return fmt.Sprintf("sent %.2f s after SIGTERM with %v left, %s, %s", r.sentAt.Sub(*stopped).Seconds(), r.left, finished, ended)
}

// heldCounts counts requests on held connections, and those that were sent to a stopping box.
type heldCounts struct{ sent, late, lateAnswered, lateRefused, lateCut int }

// check reports violations of the invariant, and counts the requests.
func (h *heldRecord) check(violation func(format string, args ...any)) heldCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := heldCounts{sent: len(h.requests)}
	for id, r := range h.requests {
		if r.isLost() {
			violation("%s: ran at an upstream, but got no whole response of it (%v)", id, r)
		}
		stopped := r.life.terminated.Load()
		if stopped == nil || r.sentAt.Before(*stopped) {
			continue
		}
		c.late++
		switch {
		case r.refused:
			c.lateRefused++
		case r.responded:
			c.lateAnswered++
		case !r.cutAt.IsZero():
			c.lateCut++
		}
	}
	return c
}
