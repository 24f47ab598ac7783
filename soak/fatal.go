package soak

// This file defines the fatal request, which crashes each upstream that starts to run it and is sent
// repeatedly, to the boxes in turn, with a new id each time; fatalpart.go defines different requests
// that share the part of their prompts which does.
//
// Invariant: later than propagationTime after the third crash under the request, or the fifth under
// the part, the boxes that have had no fault for propagationTime together forward such requests at
// most maxLateSends times.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/doormast/doormast/platform"
)

const (
	fatalPath        = "/safe/fatal"
	fatalBody        = "what ends an upstream"
	fatalInterval    = 150 * time.Millisecond
	replacementDelay = time.Second // from a crash to the start of a replacement
	allowedCrashes   = 3           // crashes under the request before the invariant applies
	maxLateSends     = 3
	propagationTime  = 3 * time.Second
)

// crashCount counts the crashes of one cause.
type crashCount struct {
	allowed   int // crashes before the invariant applies
	crashes   int
	limitAt   time.Time // when the last allowed crash happened
	lastAt    time.Time // when the last crash happened
	lateSends int       // times that undisturbed boxes forwarded such a request after that
}

// fatal tracks what crashes upstreams and which boxes faults affect.
type fatal struct {
	mu            sync.Mutex
	request, part crashCount
	sound         soundShares
	activeFaults  map[*box]int // number of current faults
	quietSince    map[*box]time.Time
}

func newFatal() *fatal {
	return &fatal{request: crashCount{allowed: allowedCrashes}, part: crashCount{allowed: allowedPartCrashes}, activeFaults: make(map[*box]int), quietSince: make(map[*box]time.Time)}
}

// beginDisruption records that a fault starts to affect a box; the returned function records its end.
func (f *fatal) beginDisruption(b *box) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeFaults[b]++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.activeFaults[b]--
		f.quietSince[b] = time.Now()
	}
}

// undisturbed reports whether a box has had no fault for propagationTime. The caller holds mu.
func (f *fatal) undisturbed(b *box) bool {
	return f.activeFaults[b] == 0 && time.Since(f.quietSince[b]) >= propagationTime
}

// disturbed reports whether a fault affects a box now or did within propagationTime.
func (f *fatal) disturbed(b *box) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.undisturbed(b)
}

// sendFatal sends the fatal request repeatedly until ctx is done.
func (w *harness) sendFatal(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for i := 0; ctx.Err() == nil; i++ {
		b := w.boxes[i%len(w.boxes)]
		id := fmt.Sprint("fatal", i)
		w.send(client, b, id, fatalPath, fatalBody)
		time.Sleep(fatalInterval)
	}
}

// requestArrived records that a request reached an upstream that crashes under it, and checks the invariant.
func (f *fatal) requestArrived(l *checker, id string, c *crashCount) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.crashes++
	now := time.Now()
	c.lastAt = now
	if c.crashes == c.allowed {
		c.limitAt = now
	}
	b := l.boxOf(id)
	if c.crashes <= c.allowed || now.Sub(c.limitAt) < propagationTime || !f.undisturbed(b) {
		return
	}
	if c.lateSends++; c.lateSends > maxLateSends {
		l.reportViolation("%s: request crashes upstreams, but box %s still forwarded it; late forwards by all boxes: %d", id, b.name, c.lateSends)
	}
}

// crashOnFatal stops an upstream that received the fatal request and schedules its replacement.
func (w *harness) crashOnFatal(u *upstream) {
	u.close()
	time.AfterFunc(replacementDelay, func() { w.replacements <- u })
}

// startReplacements replaces the crashed upstreams whose replacement is due.
func (w *harness) startReplacements() {
	for {
		select {
		case u := <-w.replacements:
			w.replaceUpstream(u)
		default:
			return
		}
	}
}

// replaceUpstream deletes an upstream from the store and starts a new one in its place, unless another fault has
// already replaced it.
func (w *harness) replaceUpstream(u *upstream) {
	for i, other := range w.upstreams {
		if other != u {
			continue
		}
		w.store.Put(platform.DeletedItem(u.id))
		if err := w.startUpstream(i, 0); err != nil {
			w.checker.reportViolation("start replacement upstream: %v", err)
			return
		}
		w.upstreams[i] = w.upstreams[len(w.upstreams)-1]
		w.upstreams = w.upstreams[:len(w.upstreams)-1]
		return
	}
}
