package relay

// This file defines the final answers that the box gives by itself. The invariant:
// one that says that the request did not run is only given while no run of it may
// have happened.

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultRetryAfter is when a caller that is refused shall come back where nothing
	// better is known.
	defaultRetryAfter = 400 * time.Millisecond
	// startingRetryAfter is the same while the box knows no document yet.
	startingRetryAfter = time.Second
)

// sendRefusal gives an answer of the box's own.
func (r *Relay) sendRefusal(ctx *fasthttp.RequestCtx, q *request, no refusal) {
	if q.id != "" {
		ctx.Response.Header.Set(r.cfg.Protocol.RequestID, q.id)
	}
	writeRefusal(ctx, no)
}

// callerLeft is how logs are told of a request whose caller nobody can answer any more.
const callerLeft = "caller left"

// finalRefusal is the final answer of a request that no upstream answered.
func (x *exchange) finalRefusal(reason string) *refusal {
	if x.watch.disconnected.Load() {
		return &refusal{status: fasthttp.StatusBadGateway, reason: callerLeft}
	}
	late := x.deadlinePassed()
	switch {
	case x.mayHaveRun && late:
		return &refusal{status: fasthttp.StatusGatewayTimeout, reason: "out of time"}
	case x.mayHaveRun:
		return &refusal{status: fasthttp.StatusBadGateway, reason: reason}
	case x.tooLarge:
		return &refusal{fasthttp.StatusServiceUnavailable, "larger than an upstream's memory", maxRetryAfter}
	}
	if x.allLimited {
		reason = limitReason
	}
	retryAfter := max(defaultRetryAfter, x.retryAfter)
	if left := x.allPausedFor(); left > 0 {
		reason, retryAfter = pauseReason, addJitter(min(max(retryAfter, left), maxPauseRetryAfter))
	}
	return &refusal{fasthttp.StatusServiceUnavailable, reason, retryAfter}
}

// allPausedFor is for how long pauses keep all upstreams from the request, also those that it was sent to; 0: they do not.
func (x *exchange) allPausedFor() time.Duration {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	return x.pauseLeft(nil)
}

// refusal is a final answer of the box's own.
type refusal struct {
	status int
	reason string
	after  time.Duration // when to come back; 0: not said
}

// refusalBody is the body of such an answer.
type refusalBody struct {
	Error string `json:"error"`
	Ran   string `json:"ran"` // "no" or "unknown"
}

// writeRefusal writes the answer. A status that tells of an upstream says that the request
// may have run.
func writeRefusal(ctx *fasthttp.RequestCtx, f refusal) {
	body := refusalBody{Error: f.reason, Ran: "no"}
	if f.status == fasthttp.StatusBadGateway || f.status == fasthttp.StatusGatewayTimeout {
		body.Ran = "unknown"
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(f.status)
	if f.after > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 2, 64))
	}
	ctx.SetContentType("application/json")
	text, err := json.Marshal(body)
	if err != nil {
		return // two texts always marshal
	}
	ctx.SetBody(text)
}
