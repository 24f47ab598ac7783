package soak

// This file defines the upstreams in need: they name in their answers how many requests a second they take from
// all boxes together. The promise that is checked: later than contact after one first named its limit, boxes that it
// has told, and that no fault has hit lately, send it no more in limitSpan than the bound, all of them together.

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	limitSpan      = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// needyShare is one in how many upstreams names a limit from its start on.
	needyShare = 4
	// toldFor is how long ago a box must have been told for its requests to count.
	toldFor = 500 * time.Millisecond
)

// limitsNamed are those that upstreams name, requests a second.
var limitsNamed = []float64{0, 0.5, 1, 3.3, 12}

// need is what an upstream takes.
type need struct {
	mu    sync.Mutex
	limit float64            // below 0: it names none
	since time.Time          // when it began to name it
	told  map[*box]time.Time // when a box was first told
	got   []arrival
}

// arrival is a request that reached an upstream.
type arrival struct {
	at  time.Time
	box *box
}

// newNeed is the need of an upstream that starts: some name a limit at once.
func (w *world) newNeed() *need {
	n := &need{limit: -1, told: make(map[*box]time.Time)}
	if w.random.IntN(needyShare) == 0 {
		n.name(pick(w, limitsNamed))
	}
	return n
}

// name has an upstream name a limit from now on, or none where it is below 0.
func (n *need) name(perSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit, n.since = perSecond, time.Now()
	clear(n.told)
}

// put writes the limit into the head of an answer.
func (n *need) put(h http.Header) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.limit >= 0 {
		h.Set(words.Limit, strconv.FormatFloat(n.limit, 'f', -1, 64))
	}
}

// reached notes a request, and checks the promise.
func (n *need) reached(u *upstream, b *box) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.got = slices.DeleteFunc(n.got, func(a arrival) bool { return now.Sub(a.at) >= limitSpan })
	if b == nil || u.world.fatal.isHit(b) {
		return
	}
	n.got = append(n.got, arrival{now, b})
	if n.limit < 0 || now.Sub(n.since) < contact {
		return
	}
	count := 0
	for _, a := range n.got {
		if told, isTold := n.told[a.box]; isTold && now.Sub(told) >= toldFor && !u.world.fatal.isHit(a.box) {
			count++
		}
	}
	if bound := limitOvershoot*n.limit*limitSpan.Seconds() + limitSlack; float64(count) > bound {
		u.world.ledger.violate("%s names %v a second and got %d requests in %v; %v are allowed", u.id, n.limit, count, limitSpan, bound)
	}
}

// noteTold notes that an answer that names a limit came through a box.
func (w *world) noteTold(b *box, h http.Header) {
	if h.Get(words.Limit) == "" {
		return
	}
	id, _, _ := strings.Cut(h.Get(words.Signature), " ")
	u := w.upstreamOf(id)
	if u == nil {
		return
	}
	u.need.mu.Lock()
	defer u.need.mu.Unlock()
	if _, isTold := u.need.told[b]; !isTold {
		u.need.told[b] = time.Now()
	}
}

// nameLimit has an upstream that names no limit name one for a while.
func nameLimit(w *world) func() {
	u := pick(w, w.upstreams)
	u.need.mu.Lock()
	limit := u.need.limit
	u.need.mu.Unlock()
	if limit >= 0 {
		return nil
	}
	limit = pick(w, limitsNamed)
	w.note("  %s: %s", u.id, fmt.Sprint(limit))
	u.need.name(limit)
	return func() { u.need.name(-1) }
}
