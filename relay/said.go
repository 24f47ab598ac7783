package relay

// This file defines what the box reads of an upstream in its answers, beside limits: that it is leaving, and for how long
// it wants no requests from this box. The invariants: an answer speaks for the life that gave it, whichever request it
// belongs to; and a pause that cannot be read is no pause.

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/retryafter"
)

// Counters of what answers say.
const (
	leavingSaid  = "upstreams_said_leaving"
	pausesAsked  = "pauses_asked"
	pausesUnread = "pauses_not_taken"
)

// pauseAsked is the pause that an answer asks for.
type pauseAsked struct {
	sent   string        // as it was sent; empty: it asks for none
	length time.Duration // 0: none
	err    error         // why it asks for none though something was sent
}

// saysLeaving reports whether the head of an answer says that its upstream is leaving.
func (r *Relay) saysLeaving(h *fasthttp.ResponseHeader) bool {
	name := r.cfg.Protocol.Leaving
	if name == "" {
		return false
	}
	for sent, value := range h.All() {
		if isNamed(sent, name) && string(value) == "1" {
			return true
		}
	}
	return false
}

// isNamed reports whether a header has a name, in whatever case.
func isNamed(sent []byte, name string) bool {
	return len(sent) == len(name) && strings.EqualFold(string(sent), name)
}

// pauseIn reads the pause that the head of an answer asks for. Of several that can be read the longest counts.
func pauseIn(h *fasthttp.ResponseHeader, name string, now time.Time) pauseAsked {
	var asked pauseAsked
	if name == "" || h.StatusCode() != fasthttp.StatusServiceUnavailable {
		return asked
	}
	for sent, value := range h.All() {
		if !isNamed(sent, name) {
			continue
		}
		length, err := retryafter.Parse(string(value), headerValue(h, "Date"), now)
		if asked.sent == "" || length > asked.length {
			asked = pauseAsked{string(value), length, err}
		}
	}
	return asked
}

// noteLeaving notes that a life says that it is leaving: from now on it is sent nothing.
func (r *Relay) noteLeaving(life balance.Incarnation, request string) {
	r.mu.Lock()
	isNew := r.fleet.NoteLeaving(life)
	r.mu.Unlock()
	if !isNew {
		return
	}
	r.stats.count(leavingSaid)
	r.cfg.Log.Event("upstream", "says that it is leaving", Fields{"upstream": life.ID, "born": life.StartedAt, "id": request, "list_age_ms": r.age().Milliseconds()})
}

// prove asks a life whether it is leaving. The one before had said so; where the box heard late that the upstream has started again, that
// may have been this one. Any answer says it.
func (r *Relay) prove(u balance.Upstream) {
	if r.cfg.Protocol.ReportCall != nil && r.cfg.Protocol.Leaving != "" {
		ctx, cancel := context.WithTimeout(context.Background(), askWait)
		defer cancel()
		fields := Fields{"upstream": u.ID, "born": u.StartedAt}
		if _, _, err := r.callUpstream(ctx, u, u.Service, r.cfg.Protocol.ReportCall()); err != nil {
			fields["error"] = err.Error()
		}
		r.cfg.Log.Event("upstream", "asked whether it is leaving", fields)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.NoteLeavingChecked(u.Incarnation())
	r.wakeReady(u.Service)
}

// noteSaid notes what an answer says of its upstream; request is the one it was read for.
func (r *Relay) noteSaid(a *response, request string) {
	life := a.conn.life
	if _, err := r.replacedBy(&a.header, life.ID); err != nil {
		return // another start of it answers there
	}
	if r.saysLeaving(&a.header) {
		r.noteLeaving(life, request)
	}
	asked := pauseIn(&a.header, r.cfg.Protocol.RetryAfter, time.Now())
	if asked.sent == "" {
		return
	}
	fields := Fields{"upstream": life.ID, "born": life.StartedAt, "id": request, "asked": asked.sent, "pause_ms": asked.length.Milliseconds()}
	if asked.err != nil {
		fields["why"] = asked.err.Error()
		r.stats.count(pausesUnread)
		r.cfg.Log.Event("upstream", "pause not taken", fields)
		return
	}
	r.mu.Lock()
	now := r.now()
	till := r.fleet.Pause(now, life, asked.length)
	r.mu.Unlock()
	fields["till_ms"] = (till - now).Milliseconds()
	r.stats.count(pausesAsked)
	r.cfg.Log.Event("upstream", "asks for a pause", fields)
}

// isPaused reports whether a life wants nothing from this box for now.
func (r *Relay) isPaused(l balance.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.PausedFor(r.now(), l) > 0
}

// logPausesOver writes the lines about upstreams that are used as before their pauses.
func (r *Relay) logPausesOver(list []balance.Upstream) {
	for _, u := range list {
		r.cfg.Log.Event("upstream", "used as before its pause", Fields{"upstream": u.ID, "born": u.StartedAt})
	}
}
