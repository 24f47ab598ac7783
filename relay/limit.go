package relay

// This file defines how the box handles the rate limits that upstreams state in their responses:
// how many requests per second they accept from all boxes together. The invariants: a value
// that cannot be parsed neither sets nor clears a limit; and a response sets the limit only of
// the upstream that gave it.

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/retryafter"
)

// sentWindow is the window for which log lines state how many requests were sent to an
// upstream.
const sentWindow = 4 * time.Second

// totalWaitDivisor limits the wait for totals to a fraction of the time that the caller waits.
const totalWaitDivisor = 4

// Counters of limits, and of requests for which an upstream was skipped because of its limit.
const (
	limitsNamed      = "limits_named"
	limitsEnded      = "limits_ended"
	requestsHeldBack = "requests_held_back_by_limits"
)

// limitReason is the reason given when a request is refused because all remaining upstreams are
// at their limits.
const limitReason = "upstreams take no more"

// limitHeader is the parsed limit header of a response.
type limitHeader struct {
	valid     bool    // the header is absent or parsable; if false, it is ignored
	present   bool    // a limit was stated
	perSecond float64 // requests per second
}

// readLimit parses the limit header of a response. Of several valid values the lowest applies.
func readLimit(h *fasthttp.ResponseHeader, name string) limitHeader {
	limit := limitHeader{valid: true}
	for key, value := range h.All() {
		if !strings.EqualFold(string(key), name) {
			continue
		}
		perSecond, ok := parseLimit(string(value))
		switch {
		case !ok && !limit.present:
			limit.valid = false
		case ok && (!limit.present || perSecond < limit.perSecond):
			limit = limitHeader{valid: true, present: true, perSecond: perSecond}
		}
	}
	return limit
}

// parseLimit parses a limit in requests per second.
func parseLimit(text string) (perSecond float64, ok bool) {
	perSecond, ok = retryafter.Decimal(strings.TrimSpace(text))
	return min(perSecond, balance.NoLimit), ok
}

// noteLimit records the limit that a response states for its upstream. request is the ID of the
// answered request, or empty for a call by the box itself; a response to such a call need not
// repeat the limit, so a missing header there clears nothing.
func (r *Relay) noteLimit(a *response, request string) {
	if r.cfg.Protocol.Limit == "" {
		return
	}
	limit := readLimit(&a.header, r.cfg.Protocol.Limit)
	if !limit.valid || !limit.present && request == "" {
		return
	}
	inc := a.conn.incarnation
	if _, err := r.replacedBy(&a.header, inc.ID); err != nil {
		return // another incarnation answers at that address
	}
	r.mu.Lock()
	now := r.now()
	c, changed := r.fleet.NoteLimitStatement(now, inc, balance.LimitStatement{Named: limit.present, PerSecond: limit.perSecond, Sent: now - time.Since(a.sent.began), Read: now})
	r.mu.Unlock()
	if changed {
		r.logLimit(c, request)
		wake(r.members.loadsChanged) // send the change to the other boxes at once
	}
}

// logLimit logs and counts a limit that was set, changed or cleared.
func (r *Relay) logLimit(c balance.LimitChange, request string) {
	r.mu.Lock()
	now := r.now()
	u, isListed := r.fleet.ByKey(c.Life)
	sent := r.fleet.Sent(now, u.Incarnation(), sentWindow)
	limit, _ := r.fleet.Limit(now, u.ID)
	r.mu.Unlock()
	if !isListed {
		return // the upstream is not listed here
	}
	event, counter := "names a limit", limitsNamed
	if !c.Named {
		event, counter = "names no limit any more", limitsEnded
	}
	fields := Fields{"upstream": u.ID, "born": u.StartedAt, "per_second": c.PerSecond, "before": c.Before, "source": "seen here", "id": request,
		"sent_lately": sent, "span_ms": sentWindow.Milliseconds(), "ration": limit.Quota, "ration_span_ms": limit.Span.Milliseconds()}
	if c.Reported {
		fields["source"], fields["age_ms"] = "told", c.Age.Milliseconds()
		delete(fields, "id")
	}
	r.cfg.Log.Event("upstream", event, fields)
	r.stats.count(counter)
}

// shareLimits passes the box's own observations of limits to the node, and applies those
// received from other boxes.
func (m *members) shareLimits() {
	r := m.relay
	received := m.node.DrainLimits()
	now := r.now()
	r.mu.Lock()
	changes := r.fleet.MergeLimits(now, received)
	if own := r.fleet.TakeLimitNews(now); len(own) > 0 {
		m.node.AnnounceLimits(now, own)
		m.setLimits(now)
	}
	r.mu.Unlock()
	m.node.FlushLimits(now)
	m.sharePriorCounts(now)
	for _, c := range changes {
		r.logLimit(c, "")
	}
}

// setLimits passes all known limits to the node. The caller holds the relay's mu.
func (m *members) setLimits(now time.Duration) {
	known, inForce := m.relay.fleet.KnownLimits(now)
	m.node.SetLimits(now, known, inForce)
}

// sharePriorCounts passes the counts of requests sent before limits were known to the node, and
// applies the totals over all boxes.
func (m *members) sharePriorCounts(now time.Duration) {
	r := m.relay
	r.mu.Lock()
	own, changed := r.fleet.TakePriorCounts(now)
	r.mu.Unlock()
	if changed {
		m.node.SetPriorCounts(own)
	}
	m.node.FlushPriorCounts(now)
	totals := m.node.DrainPriorTotals()
	if len(totals) == 0 {
		return
	}
	r.mu.Lock()
	totals = r.fleet.NotePriorTotals(totals)
	close(r.priorTotals)
	r.priorTotals = make(chan struct{})
	r.mu.Unlock()
	for _, c := range totals {
		r.logPriorTotal(now, c)
	}
}

// awaitPriorTotals waits until the box may know whether it can send the request within limits that
// have just begun. It returns false if nothing is to be expected. Otherwise, requests would be
// refused for some tens of milliseconds if all upstreams begin to state limits at once.
func (x *exchange) awaitPriorTotals() bool {
	if !x.allLimited || x.ctx.Err() != nil {
		return false
	}
	r := x.relay
	r.mu.Lock()
	left := min(r.fleet.PriorTotalWait(r.now(), x.service), x.timeLeft()/totalWaitDivisor)
	totals := r.priorTotals
	r.mu.Unlock()
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-totals:
	case <-timer.C:
	case <-x.ctx.Done():
	}
	return true
}

// logPriorTotal logs how many requests all boxes sent to an upstream before they knew its limit.
func (r *Relay) logPriorTotal(now time.Duration, c balance.PriorCount) {
	r.mu.Lock()
	u, isListed := r.fleet.ByKey(c.Life)
	sent := r.fleet.Sent(now, u.Incarnation(), sentWindow)
	limit, _ := r.fleet.Limit(now, u.ID)
	r.mu.Unlock()
	if !isListed {
		return
	}
	r.cfg.Log.Event("upstream", "total sent before its limit", Fields{"upstream": u.ID, "born": u.StartedAt, "per_second": c.Start.PerSecond, "sent_by_all": c.Sent,
		"sent_lately": sent, "span_ms": sentWindow.Milliseconds(), "ration": limit.Quota, "ration_span_ms": limit.Span.Milliseconds(), "age_ms": (now - c.Start.At).Milliseconds()})
}
