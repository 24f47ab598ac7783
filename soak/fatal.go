package soak

// This file defines the request that ends each upstream which begins to run it, and comes again and again
// at one box after another, under a new id each time. The promise that is checked: later than
// contact after it has ended the third, boxes that no fault has hit for as long send it to upstreams
// moreAtMost times at the most, all of them together.

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
	fatalPath  = "/safe/fatal"
	fatalBody  = "what ends an upstream"
	fatalPause = 150 * time.Millisecond
	fatalBack  = time.Second // after which another upstream is there
	fatalFrom  = 3           // upstreams that may end before the promise holds
	moreAtMost = 3
	contact    = 3 * time.Second
)

// fatal is what is known of the request.
type fatal struct {
	mu       sync.Mutex
	ended    int
	third    time.Time    // when the third upstream ended
	late     int          // times it was sent after that by boxes in touch
	disturbs map[*box]int // faults under way
	calmFrom map[*box]time.Time
}

func newFatal() *fatal {
	return &fatal{disturbs: make(map[*box]int), calmFrom: make(map[*box]time.Time)}
}

// hit notes that a fault begins to disturb a box; what it returns ends that.
func (f *fatal) hit(b *box) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbs[b]++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.disturbs[b]--
		f.calmFrom[b] = time.Now()
	}
}

// inTouch reports whether no fault has hit a box lately. The caller holds mu.
func (f *fatal) inTouch(b *box) bool {
	return f.disturbs[b] == 0 && time.Since(f.calmFrom[b]) >= contact
}

// isHit reports whether a fault hits a box, or did lately.
func (f *fatal) isHit(b *box) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.inTouch(b)
}

// callFatal sends the request until ctx ends.
func (w *world) callFatal(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for i := 0; ctx.Err() == nil; i++ {
		b := w.boxes[i%len(w.boxes)]
		id := fmt.Sprint("fatal", i)
		w.send(client, b, id, fatalPath, fatalBody)
		time.Sleep(fatalPause)
	}
}

// sentTo notes that the request reached an upstream, and checks the promise.
func (f *fatal) sentTo(l *ledger, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended++
	now := time.Now()
	if f.ended == fatalFrom {
		f.third = now
	}
	b := l.boxOf(id)
	if f.ended <= fatalFrom || now.Sub(f.third) < contact || !f.inTouch(b) {
		return
	}
	if f.late++; f.late > moreAtMost {
		l.violate("%s: upstreams end under it, and box %s has sent it on, %d times in all", id, b.name, f.late)
	}
}

// endUnder ends an upstream under the request, and starts another one in its place after a while.
func (w *world) endUnder(u *upstream) {
	u.close()
	time.AfterFunc(fatalBack, func() { w.returning <- u })
}

// takeReturning starts upstreams in the place of those that have ended.
func (w *world) takeReturning() {
	for {
		select {
		case u := <-w.returning:
			w.replaceEnded(u)
		default:
			return
		}
	}
}

// replaceEnded starts an upstream in the place of one that has ended, unless another fault has replaced it.
func (w *world) replaceEnded(u *upstream) {
	for i, other := range w.upstreams {
		if other != u {
			continue
		}
		w.store.Put(platform.DeletedItem(u.id))
		if err := w.startUpstream(i, 0); err != nil {
			w.ledger.violate("start an upstream: %v", err)
			return
		}
		w.upstreams[i] = w.upstreams[len(w.upstreams)-1]
		w.upstreams = w.upstreams[:len(w.upstreams)-1]
		return
	}
}
