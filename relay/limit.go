package relay

// This file defines what the box reads of the limits that upstreams name in their answers: how many
// requests a second they take from all boxes together. The invariant: what cannot be read as a limit
// says nothing, neither that there is one nor that there is none.

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
)

// limitSpan is the span over which the lines tell how many requests an upstream was sent.
const limitSpan = 4 * time.Second

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

// parseLimit reads a decimal number that is not below 0: digits, and a point among them at the most.
func parseLimit(text string) (perSecond float64, ok bool) {
	text = strings.TrimSpace(text)
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false // a sign, an exponent, or no number
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(perSecond, 1) {
		return 0, false
	}
	return min(perSecond, balance.NoLimit), true
}

// noteLimit notes what an answer of an upstream says of its limit.
func (r *Relay) noteLimit(life balance.Life, h *fasthttp.ResponseHeader, request string) {
	said := limitIn(h, r.cfg.Protocol.Limit)
	if r.cfg.Protocol.Limit == "" || !said.read {
		return
	}
	r.mu.Lock()
	before, wasNamed := r.named[life]
	if said.named {
		r.named[life] = said.perSecond
	} else {
		delete(r.named, life)
	}
	sent := r.fleet.Sent(r.now(), life, limitSpan)
	r.mu.Unlock()
	if said.named == wasNamed && said.perSecond == before {
		return
	}
	event := "names a limit"
	if !said.named {
		event = "names no limit any more"
	}
	r.cfg.Log.Event("upstream", event, Fields{"upstream": life.ID, "born": life.Born, "per_second": said.perSecond, "before": before,
		"id": request, "sent_lately": sent, "span_ms": limitSpan.Milliseconds()})
}
