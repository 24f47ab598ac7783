package relay

// This file defines how the box handles the notices in the responses of upstreams, other than
// limits: that the upstream is leaving, and for how long it wants no requests from this box (a
// pause). The invariants: a response applies to the incarnation that gave it, whichever request
// it answers; and a pause that cannot be parsed has no effect.

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/retryafter"
)

// Counters of notices.
const (
	leavingNotices  = "upstreams_said_leaving"
	pausesRequested = "pauses_asked"
	pausesInvalid   = "pauses_not_taken"
)

// pauseHeader is the parsed pause header of a response.
type pauseHeader struct {
	value    string        // as received; empty: no pause was requested
	duration time.Duration // 0: none
	err      error         // why a received value was rejected
}

// saysLeaving reports whether the header of a response states that its upstream is leaving.
func (r *Relay) saysLeaving(h *fasthttp.ResponseHeader) bool {
	name := r.cfg.Protocol.Leaving
	if name == "" {
		return false
	}
	for key, value := range h.All() {
		if hasName(key, name) && string(value) == "1" {
			return true
		}
	}
	return false
}

// hasName reports whether a received header name equals a name, ignoring case.
func hasName(key []byte, name string) bool {
	return len(key) == len(name) && strings.EqualFold(string(key), name)
}

// readPause parses the pause that the header of a response requests. Of several valid values the
// longest applies.
func readPause(h *fasthttp.ResponseHeader, name string, now time.Time) pauseHeader {
	var pause pauseHeader
	if name == "" || h.StatusCode() != fasthttp.StatusServiceUnavailable {
		return pause
	}
	for key, value := range h.All() {
		if !hasName(key, name) {
			continue
		}
		duration, err := retryafter.Parse(string(value), headerValue(h, "Date"), now)
		if pause.value == "" || duration > pause.duration {
			pause = pauseHeader{string(value), duration, err}
		}
	}
	return pause
}

// noteLeaving records that an incarnation has stated that it is leaving: no new requests are
// sent to it.
func (r *Relay) noteLeaving(inc balance.Incarnation, request string) {
	r.mu.Lock()
	isNew := r.fleet.NoteLeaving(inc)
	r.mu.Unlock()
	if !isNew {
		return
	}
	r.stats.count(leavingNotices)
	r.cfg.Log.Event("upstream", "says that it is leaving", Fields{"upstream": inc.ID, "born": inc.StartedAt, "id": request, "list_age_ms": r.publishedAge().Milliseconds()})
}

// askLeaving asks an incarnation whether it is leaving, before the box uses it. The incarnation
// listed before had stated so; if the box learned late of the restart, the statement may have
// come from this one. Every response contains the leaving header, so any call will do.
func (r *Relay) askLeaving(u balance.Upstream) {
	if r.cfg.Protocol.ReportCall != nil && r.cfg.Protocol.Leaving != "" {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		fields := Fields{"upstream": u.ID, "born": u.StartedAt}
		if _, err := r.callUpstream(ctx, u, u.Service, r.cfg.Protocol.ReportCall()); err != nil {
			fields["error"] = err.Error()
		}
		r.cfg.Log.Event("upstream", "asked whether it is leaving", fields)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.NoteLeavingChecked(u.Incarnation())
	r.wakeReady(u.Service)
}

// noteNotices records the notices in a response; request is the ID of the request whose response
// was read.
func (r *Relay) noteNotices(a *response, request string) {
	inc := a.conn.incarnation
	if _, err := r.replacedBy(&a.header, inc.ID); err != nil {
		return // another incarnation answers at that address
	}
	if r.saysLeaving(&a.header) {
		r.noteLeaving(inc, request)
	}
	pause := readPause(&a.header, r.cfg.Protocol.RetryAfter, time.Now())
	if pause.value == "" {
		return
	}
	fields := Fields{"upstream": inc.ID, "born": inc.StartedAt, "id": request, "asked": pause.value, "pause_ms": pause.duration.Milliseconds()}
	if pause.err != nil {
		fields["why"] = pause.err.Error()
		r.stats.count(pausesInvalid)
		r.cfg.Log.Event("upstream", "pause not taken", fields)
		return
	}
	r.mu.Lock()
	now := r.now()
	until := r.fleet.Pause(now, inc, pause.duration)
	r.mu.Unlock()
	fields["till_ms"] = (until - now).Milliseconds()
	r.stats.count(pausesRequested)
	r.cfg.Log.Event("upstream", "asks for a pause", fields)
}

// isPaused reports whether an incarnation accepts no requests from this box at present.
func (r *Relay) isPaused(inc balance.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.PausedFor(r.now(), inc) > 0
}

// logPausesEnded logs the upstreams that get requests as before their pauses.
func (r *Relay) logPausesEnded(list []balance.Upstream) {
	for _, u := range list {
		r.cfg.Log.Event("upstream", "used as before its pause", Fields{"upstream": u.ID, "born": u.StartedAt})
	}
}
