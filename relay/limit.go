package relay

// This file defines what the box makes of the limits that upstreams name in their answers: how many
// requests a second they take from all boxes together. The invariants: what cannot be read as a limit
// says nothing, neither that there is one nor that there is none; and an answer speaks for the upstream
// that gave it alone.

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/retryafter"
)

// limitSpan is the span over which the lines tell how many requests an upstream was sent.
const limitSpan = 4 * time.Second

// Counters of limits, and of the requests that an upstream was passed over for, as it takes no more.
const (
	limitsNamed = "limits_named"
	limitsEnded = "limits_ended"
	heldBack    = "requests_held_back_by_limits"
)

// limitReason is why a request is refused that only upstreams are left for which take no more.
const limitReason = "upstreams take no more"

// limitSaid is what an answer says of a limit.
type limitSaid struct {
	read      bool    // it can be read; false: it says nothing
	named     bool    // it names one
	perSecond float64 // requests
}

// limitIn reads what the head of an answer says of a limit. Of several that can be read the lowest holds.
func limitIn(h *fasthttp.ResponseHeader, name string) limitSaid {
	said := limitSaid{read: true}
	for sent, value := range h.All() {
		if !strings.EqualFold(string(sent), name) {
			continue
		}
		perSecond, ok := parseLimit(string(value))
		switch {
		case !ok && !said.named:
			said.read = false
		case ok && (!said.named || perSecond < said.perSecond):
			said = limitSaid{read: true, named: true, perSecond: perSecond}
		}
	}
	return said
}

// parseLimit reads a limit, requests a second.
func parseLimit(text string) (perSecond float64, ok bool) {
	perSecond, ok = retryafter.Decimal(strings.TrimSpace(text))
	return min(perSecond, balance.NoLimit), ok
}

// noteLimit notes what an answer says of its upstream's limit; request is empty where it answers a call of
// the box's own, of which nothing says that it names the limit whenever there is one.
func (r *Relay) noteLimit(a *response, request string) {
	if r.cfg.Protocol.Limit == "" {
		return
	}
	said := limitIn(&a.header, r.cfg.Protocol.Limit)
	if !said.read || !said.named && request == "" {
		return
	}
	life := a.conn.life
	if _, err := r.replacedBy(&a.header, life.ID); err != nil {
		return // another start of it answers there
	}
	r.mu.Lock()
	now := r.now()
	c, changed := r.fleet.NoteLimitStatement(now, life, balance.LimitStatement{Named: said.named, PerSecond: said.perSecond, Sent: now - time.Since(a.sent.began), Read: now})
	r.mu.Unlock()
	if changed {
		r.logLimit(c, request)
		wake(r.members.loaded) // others are to be told at once
	}
}

// logLimit writes the line about a limit that is new here, another one, or over.
func (r *Relay) logLimit(c balance.LimitChange, request string) {
	r.mu.Lock()
	now := r.now()
	u, isListed := r.fleet.ByKey(c.Life)
	sent := r.fleet.Sent(now, u.Incarnation(), limitSpan)
	limit, _ := r.fleet.Limit(now, u.ID)
	r.mu.Unlock()
	if !isListed {
		return // it is of no concern here
	}
	event, counter := "names a limit", limitsNamed
	if !c.Named {
		event, counter = "names no limit any more", limitsEnded
	}
	fields := Fields{"upstream": u.ID, "born": u.StartedAt, "per_second": c.PerSecond, "before": c.Before, "source": "seen here", "id": request,
		"sent_lately": sent, "span_ms": limitSpan.Milliseconds(), "ration": limit.Quota, "ration_span_ms": limit.Span.Milliseconds()}
	if c.Told {
		fields["source"], fields["age_ms"] = "told", c.Age.Milliseconds()
		delete(fields, "id")
	}
	r.cfg.Log.Event("upstream", event, fields)
	r.stats.count(counter)
}

// shareLimits hands the node what others are to be told of limits, and takes in what they told.
func (m *members) shareLimits() {
	r := m.relay
	heard := m.node.DrainLimits()
	now := r.now()
	r.mu.Lock()
	changes := r.fleet.MergeLimits(now, heard)
	if news := r.fleet.TakeLimitNews(now); len(news) > 0 {
		m.node.AnnounceLimits(news)
		m.node.SetLimits(r.fleet.KnownLimits(now))
	}
	r.mu.Unlock()
	m.node.FlushLimits(now)
	for _, c := range changes {
		r.logLimit(c, "")
	}
}
