package relay

// This file defines how the box reads that an upstream is brittle. The invariant: a value that cannot be
// read states nothing, and of several the lowest applies.

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

// upstreamsBrittle counts how often an upstream became brittle.
const upstreamsBrittle = "upstreams_brittle"

// readBrittle returns how many requests an upstream may reject in a second, as a response states; false
// if it states nothing.
func readBrittle(h *fasthttp.ResponseHeader, name string) (rejects int, ok bool) {
	for key, value := range h.All() {
		if !strings.EqualFold(string(key), name) {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(string(value)), 10, 31)
		if err == nil && (!ok || int(n) < rejects) {
			rejects, ok = int(n), true
		}
	}
	return rejects, ok
}

// noteBrittle records what a response states.
func (r *Relay) noteBrittle(a *response) {
	if r.cfg.Protocol.Brittle == "" {
		return
	}
	rejects, stated := readBrittle(&a.header, r.cfg.Protocol.Brittle)
	inc := a.conn.incarnation
	if _, err := r.replacedBy(&a.header, inc.ID); err != nil {
		return // another incarnation answers at that address
	}
	r.mu.Lock()
	now := r.now()
	changed := r.fleet.NoteBrittle(now, inc, balance.BrittleStatement{Stated: stated, Rejects: rejects, Sent: now - time.Since(a.sent.began)})
	u, _ := r.listedUpstream(inc.ID)
	r.mu.Unlock()
	if changed {
		r.logBrittle(u, rejects, Fields{"upstream": inc.ID, "born": inc.StartedAt, "domain": u.Domain})
		wake(r.members.loadsChanged) // report it to the other boxes at once
	}
}

// logBrittle logs that an upstream became brittle, is so no longer, or rejected a request of another box.
func (r *Relay) logBrittle(u balance.Upstream, rejects int, fields Fields) {
	r.mu.Lock()
	_, full, ok := r.fleet.Brittle(r.now(), u.ID)
	r.mu.Unlock()
	if !ok {
		r.cfg.Log.Event("upstream", "says no longer that it is brittle", fields)
		return
	}
	fields["rejects"], fields["full"] = rejects, full
	r.stats.count(upstreamsBrittle)
	r.cfg.Log.Event("upstream", "is brittle", fields)
}
