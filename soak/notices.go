package soak

// This file defines upstreams that announce in response headers that they are leaving or request a pause,
// while the store still lists them as ready, and the checks on how boxes react.
//
// Invariants: after a box has read a leaving announcement, it routes no further request to that incarnation of
// the upstream; after it has read a pause request, it routes at most two requests there until the pause ends.
// A box is known to have read a response once a caller has received it or the request has reached another
// upstream. Routing decisions made before that are not counted, nor
// are announcements of a next life that boxes need not know of yet: they take them for those of the life before.

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxDuringPause is how many requests a box may send to an upstream during a pause that the upstream requested.
const maxDuringPause = 2

// pauseLengths are the pauses that upstreams request, in seconds, as header values.
var pauseLengths = []string{"0.4", "1", "1.5"}

// boxIncarnation identifies one process of a box; what a box has read is lost when its process ends.
type boxIncarnation struct {
	box    *box
	starts int64
}

// incarnation returns the current incarnation of the box.
func (b *box) incarnation() boxIncarnation { return boxIncarnation{b, b.starts.Load()} }

// pause is a pause that an upstream requested from a box.
type pause struct {
	upstream    *upstream
	incarnation boxIncarnation
	end         time.Time
	disruptions int64     // disruption count of the upstream's proxy when the response was sent
	readAt      time.Time // when the box was known to have read the request for the pause; zero if not yet
	received    int       // requests routed after readAt that arrived before end
}

// notices records what upstreams have announced to boxes. It is guarded by checker.mu.
type notices struct {
	leaving map[*upstream]map[boxIncarnation]time.Time // when the box was known to have read the announcement
	pauses  map[*upstream][]*pause
	pending map[string][]*pause // by id of the refused request, until the box is known to have read the response
}

func newNotices() notices {
	return notices{leaving: make(map[*upstream]map[boxIncarnation]time.Time), pauses: make(map[*upstream][]*pause), pending: make(map[string][]*pause)}
}

// requestArrived checks a request that has reached an upstream; it was routed no earlier than e.decidedAfter.
func (n *notices) requestArrived(u *upstream, e *entry, addViolation func(format string, args ...any)) {
	current, now := e.incarnation, time.Now()
	if e.box.incarnation() != current {
		return // the box has restarted since the caller sent the request, and either process may have accepted it
	}
	if readAt, isRead := n.leaving[u][current]; isRead && e.decidedAfter.After(readAt) {
		addViolation("%s: received a request from %s, which had forwarded this upstream's leaving announcement at least %v earlier", u.id, current.box.name, e.decidedAfter.Sub(readAt))
	}
	for _, p := range n.pauses[u] {
		if p.incarnation != current || p.readAt.IsZero() || !e.decidedAfter.After(p.readAt) || now.After(p.end) {
			continue
		}
		if p.received++; p.received == maxDuringPause+1 {
			addViolation("%s: requested a pause from %s and received more than %d requests from it during the pause", u.id, current.box.name, maxDuringPause)
		}
	}
}

// pauseRequested records that an upstream refuses a request and requests a pause.
// Responses that the upstream's proxy may delay or drop are not recorded.
func (n *notices) pauseRequested(u *upstream, id string, incarnation boxIncarnation, length time.Duration) {
	disruptions, open := u.proxy.state()
	if !open || !u.isKnown() {
		return
	}
	p := &pause{upstream: u, incarnation: incarnation, disruptions: disruptions, end: time.Now().Add(length)}
	n.pauses[u] = append(n.pauses[u], p)
	n.pending[id] = append(n.pending[id], p)
}

// markRead records that a box has read all responses to a request so far, except those whose connection a fault
// may have disrupted: a box also retries a request elsewhere when the response is lost.
func (n *notices) markRead(id string) {
	now := time.Now()
	for _, p := range n.pending[id] {
		if disruptions, _ := p.upstream.proxy.state(); disruptions == p.disruptions {
			p.readAt = now
		}
	}
	delete(n.pending, id)
}

// leavingDelivered records that a caller has received, through a box, a response header that announces leaving.
func (n *notices) leavingDelivered(u *upstream, incarnation boxIncarnation) {
	if n.leaving[u] == nil {
		n.leaving[u] = make(map[boxIncarnation]time.Time)
	}
	if _, isRead := n.leaving[u][incarnation]; !isRead {
		n.leaving[u][incarnation] = time.Now()
	}
}

// recordNotices records what a response that a caller has received announces about its upstream.
func (w *harness) recordNotices(id string, h http.Header) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	e := w.checker.entries[id]
	w.checker.notices.markRead(id)
	name, _, _ := strings.Cut(h.Get(protocol.Signature), " ")
	if u := w.checker.lastUpstream[id]; u != nil && u.id == name && u.isKnown() && h.Get(protocol.Leaving) != "" {
		w.checker.notices.leavingDelivered(u, e.incarnation)
	}
}

// refuseWithPause refuses a request with a pause if the upstream is in pausing mode, and reports whether it did.
func (u *upstream) refuseWithPause(w http.ResponseWriter, id string) bool {
	if !u.pausing.Load() {
		return false
	}
	headerValue := pauseLengths[rand.IntN(len(pauseLengths))]
	seconds, err := strconv.ParseFloat(headerValue, 64)
	if err != nil {
		return false // not reached: all pauseLengths are numbers
	}
	u.harness.checker.pauseRequested(u, id, time.Duration(seconds*float64(time.Second)))
	w.Header().Set(protocol.RetryAfter, headerValue)
	w.Header().Set(protocol.NotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// announceLeaving makes an upstream announce in its responses, but not in the store, that it is leaving. Undoing
// the fault replaces the upstream.
func announceLeaving(w *harness) func() {
	i := w.random.IntN(len(w.upstreams))
	u := w.upstreams[i]
	u.leaving.Store(true)
	w.logFault("  %s", u.id)
	return func() {
		w.replaceUpstream(u)
		u.close()
	}
}

// requestPauses makes an upstream refuse all requests and request a pause each time.
func requestPauses(w *harness) func() {
	u := pick(w, w.upstreams)
	u.pausing.Store(true)
	w.logFault("  %s", u.id)
	return func() { u.pausing.Store(false) }
}

// announceHealthyLeaving makes an upstream that no other fault affects announce that it is leaving.
func announceHealthyLeaving(w *harness) func() {
	w.healthy[0].leaving.Store(true)
	return func() {} // lasts until the end of the run
}

// requestHealthyPauses makes an upstream that no other fault affects request pauses.
func requestHealthyPauses(w *harness) func() {
	w.healthy[1].pausing.Store(true)
	return func() { w.healthy[1].pausing.Store(false) }
}

// scheduleNotices schedules pauses and leaving announcements in every run, after the fatal request has crashed its
// first upstreams. A randomly chosen upstream may receive no requests because of other faults, so two upstreams that
// no other fault affects make the same announcements.
func (w *harness) scheduleNotices() []pendingUndo {
	var all []pendingUndo
	for _, notice := range []struct {
		do       func(*harness) func()
		from, to float64 // fractions of the run
	}{{requestPauses, 0.2, 0.5}, {requestPauses, 0.4, 0.7}, {announceLeaving, 0.5, 0.8}, {announceLeaving, 0.7, 1}, {requestHealthyPauses, 0.2, 0.4}, {announceHealthyLeaving, 0.5, 1}} {
		all = append(all, w.during(notice.do, notice.from, notice.to)...)
	}
	return all
}

// during schedules a fault between two points of the run, given as fractions of its duration.
func (w *harness) during(do func(*harness) func(), from, to float64) []pendingUndo {
	var end func()
	at := func(part float64) time.Time { return time.Now().Add(time.Duration(part * float64(w.cfg.Duration))) }
	return []pendingUndo{
		{at(from), func() { end = do(w) }},
		{at(to), func() { end() }},
	}
}
