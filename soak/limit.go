package soak

// This file defines the rate limits that upstreams advertise in response headers: requests per second from all
// boxes together.
//
// Invariant: once an upstream has advertised its limit for propagationTime, the boxes that have read it and have had
// no recent fault together send at most limitOvershoot*limit*limitSpan + limitSlack requests within limitSpan.

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
	// One in limitedShare upstreams advertises a limit from its start.
	limitedShare = 4
	// seenFor is how long ago a box must have received the limit for its requests to count.
	seenFor = 500 * time.Millisecond
)

// limitChoices are the limits that upstreams advertise, in requests per second.
var limitChoices = []float64{0, 0.5, 1, 3.3, 12}

// advertisedLimit is the limit that an upstream advertises, with the requests it has received.
type advertisedLimit struct {
	mu       sync.Mutex
	limit    float64            // requests per second; negative if none is advertised
	since    time.Time          // when the upstream began to advertise limit
	seenBy   map[*box]time.Time // when a response with the limit first passed each box
	arrivals []arrival
}

// arrival is a request that reached an upstream.
type arrival struct {
	at  time.Time
	box *box
}

// newAdvertisedLimit returns the initial limit of a new upstream; some upstreams advertise one from the start.
func (w *harness) newAdvertisedLimit() *advertisedLimit {
	l := &advertisedLimit{limit: -1, seenBy: make(map[*box]time.Time)}
	if w.random.IntN(limitedShare) == 0 && !w.cfg.OnlyKills && !w.cfg.OnlyEnds {
		l.set(pick(w, limitChoices))
	}
	return l
}

// isSet reports whether a limit is advertised.
func (l *advertisedLimit) isSet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit >= 0
}

// set changes the advertised limit; a negative value stops advertising.
func (l *advertisedLimit) set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.since = perSecond, time.Now()
	clear(l.seenBy)
}

// setHeader adds the limit to a response header.
func (l *advertisedLimit) setHeader(h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit >= 0 {
		h.Set(protocol.Limit, strconv.FormatFloat(l.limit, 'f', -1, 64))
	}
}

// requestArrived records a request that box b sent to u, and checks the limit.
func (l *advertisedLimit) requestArrived(u *upstream, b *box) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = slices.DeleteFunc(l.arrivals, func(a arrival) bool { return now.Sub(a.at) >= limitSpan })
	if b == nil || u.harness.fatal.disturbed(b) {
		return
	}
	l.arrivals = append(l.arrivals, arrival{now, b})
	if l.limit < 0 || now.Sub(l.since) < propagationTime {
		return
	}
	count := 0
	for _, a := range l.arrivals {
		if seen, isSeen := l.seenBy[a.box]; isSeen && now.Sub(seen) >= seenFor && !u.harness.fatal.disturbed(a.box) {
			count++
		}
	}
	if bound := limitOvershoot*l.limit*limitSpan.Seconds() + limitSlack; float64(count) > bound {
		u.harness.checker.reportViolation("%s advertises a limit of %v requests per second and received %d requests in %v; %v are allowed", u.id, l.limit, count, limitSpan, bound)
	}
}

// recordLimitSeen records that a response with an advertised limit passed through a box.
func (w *harness) recordLimitSeen(b *box, h http.Header) {
	if h.Get(protocol.Limit) == "" {
		return
	}
	id, _, _ := strings.Cut(h.Get(protocol.Signature), " ")
	u := w.upstreamByID(id)
	if u == nil {
		return
	}
	u.advertisedLimit.mu.Lock()
	defer u.advertisedLimit.mu.Unlock()
	if _, isSeen := u.advertisedLimit.seenBy[b]; !isSeen {
		u.advertisedLimit.seenBy[b] = time.Now()
	}
}

// announceLimit makes an upstream without a limit advertise one until the fault is undone.
func announceLimit(w *harness) func() {
	u := pick(w, w.upstreams)
	u.advertisedLimit.mu.Lock()
	limit := u.advertisedLimit.limit
	u.advertisedLimit.mu.Unlock()
	if limit >= 0 {
		return nil
	}
	limit = pick(w, limitChoices)
	w.logFault("  %s: %s", u.id, fmt.Sprint(limit))
	u.advertisedLimit.set(limit)
	return func() { u.advertisedLimit.set(-1) }
}
