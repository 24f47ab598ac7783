package standin

// This file defines a stand-in engine's load reports and the orders that it executes.
// Invariant: an engine that checks fences executes no order whose fence is older than one it
// has accepted.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// engineReport is the JSON body of a load report.
type engineReport struct {
	AgeMillis int64         `json:"age_ms"`
	Running   int           `json:"running"`
	Waiting   int           `json:"waiting"`
	Leaving   bool          `json:"leaving"`
	Loaded    string        `json:"loaded"`
	Loading   bool          `json:"loading"`
	Fence     uint64        `json:"fence"`
	First     uint64        `json:"first_event"`
	Last      uint64        `json:"last_event"`
	Events    []engineEvent `json:"events"`
}

// report sends the load as of about ReportLag ago, and the cache events whose sequence number
// is higher than the form value "after".
func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	now := time.Now()
	e.samples = append(e.samples, engineSample{now, e.running, len(e.queue)})
	for len(e.samples) > 1 && now.Sub(e.samples[1].at) >= e.cfg.ReportLag {
		e.samples = e.samples[1:]
	}
	s := e.samples[0]
	out := engineReport{AgeMillis: now.Sub(s.at).Milliseconds(), Running: s.running, Waiting: s.waiting, Leaving: e.faults.Leaving, First: 1,
		Loaded: e.model, Loading: now.Before(e.loadedAt), Fence: e.fence}
	if n := len(e.events); n > 0 {
		out.First, out.Last = e.events[0].Sequence, e.events[n-1].Sequence
	}
	for _, ev := range e.events {
		if ev.Sequence > after && !e.faults.Gap {
			out.Events = append(out.Events, ev)
		}
	}
	e.mu.Unlock()
	writeJSON(w, out)
}

// engineOrder is the JSON body of an order.
type engineOrder struct {
	Fence uint64 `json:"fence"`
	Load  string `json:"load"`
	Role  string `json:"role"`
}

// order executes an order with a fencing token. An engine that checks fences rejects an order
// whose fence is not higher than the last accepted; one that does not check them accepts any
// fence but 0.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	accepted := (!e.cfg.ChecksFence || o.Fence > e.fence) && o.Fence > 0
	if accepted {
		e.fence = max(e.fence, o.Fence)
		if o.Load != "" {
			e.loaded = append(e.loaded, o.Load)
			e.model, e.loadedAt = o.Load, time.Now().Add(e.cfg.LoadTime)
		}
	}
	fence := e.fence
	e.mu.Unlock()
	writeJSON(w, map[string]any{"accepted": accepted, "fence": fence})
}

// Loaded returns the models of the load orders executed, oldest first.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loaded...)
}
