package relay

// This file defines a request's arrival: whether it may run at all, and until when.
// The invariant: a request that is not admitted has run nowhere, and costs nothing
// of the budget for sending requests again.

import (
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/route"
)

// defaultHold is how long a request is held whose route states no time.
const defaultHold = 60 * time.Second

// handle serves one request.
func (f *front) handle(ctx *fasthttp.RequestCtx) {
	r := f.relay
	q := r.readRequest(ctx)
	if r.stopping.Load() {
		ctx.SetConnectionClose()
	}
	x, no := r.admit(q, ctx.Conn())
	c := callerOf(ctx)
	if no == nil {
		no = x.refuseWithheld()
	}
	if no == nil && c != nil {
		no = x.charge(c)
	}
	if no != nil {
		if no.reason == callerLeft {
			ctx.SetConnectionClose()
		}
		r.logRefused(q, *no, x)
		r.answerSelf(ctx, q, *no)
		return
	}
	x.serve(ctx)
}

// charge takes what a request under way needs besides what was read of it.
func (x *exchange) charge(c *caller) *refusal {
	r := x.relay
	if c.served {
		c.next() // this one came together with the request before
	}
	c.served = true
	c.share, c.request = shareForUrgency(x.urgency, x.doc.Urgencies(r.cfg.Protocol.Priorities)), x.request.id
	if !c.lease.Grow(requestBytes, c.share) {
		r.turnedAway(x.request.id, "request")
		return &refusal{fasthttp.StatusServiceUnavailable, memoryShortReason, comeBackUsual}
	}
	c.until = x.end.Add(lateWait)
	x.caller = c
	return nil
}

// logRefused writes the line about a request that was not admitted, and counts it. x is nil where it
// may not run at all.
func (r *Relay) logRefused(q *request, no refusal, x *exchange) {
	fields := Fields{"id": q.id, "status": no.status, "reason": no.reason, "host": q.host,
		"path": q.path(), "version": r.documentVersion(), "age_ms": r.publishedAge().Milliseconds()}
	if x != nil && no.reason == withheldReason {
		fields["content"], fields["route"], fields["customer"] = formatContentHash(x.contentHash()), x.route.Name, x.customerName()
		fields["come_back_ms"] = no.after.Milliseconds()
	}
	r.cfg.Log.Event("request", "refused", fields)
	r.stats.count("refused_" + no.reason)
}

// admit decides whether a request may run at all; the refusal is nil where it may. Its time
// runs from its arrival, also where it is held until there is a document.
func (r *Relay) admit(q *request, conn net.Conn) (*exchange, *refusal) {
	arrived := time.Now()
	r.noticeBefore(arrived)
	slept := r.slept.Load()
	if r.ended.Load() {
		return nil, &refusal{fasthttp.StatusServiceUnavailable, "stopping", comeBackUsual}
	}
	doc, left := r.awaitDocument(q, conn)
	if left {
		return nil, &refusal{status: fasthttp.StatusBadGateway, reason: callerLeft}
	}
	if doc == nil {
		return nil, &refusal{fasthttp.StatusServiceUnavailable, "starting", comeBackStarting}
	}
	rt := doc.Match(q.host, q.path())
	if rt == nil {
		return nil, &refusal{status: fasthttp.StatusNotFound, reason: "no route"}
	}
	if doc.Limits.HeaderBytes > 0 && q.head > doc.Limits.HeaderBytes {
		return nil, &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "headers too large"}
	}
	if doc.Limits.BodyBytes > 0 && len(q.body) > doc.Limits.BodyBytes {
		return nil, &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	customer := doc.Customer(q.key)
	if customer == nil && !rt.Public && len(doc.Customers) > 0 {
		return nil, &refusal{status: fasthttp.StatusUnauthorized, reason: "unknown key"}
	}
	x := &exchange{
		relay:    r,
		request:  q,
		doc:      doc,
		route:    rt,
		customer: customer,
		service:  rt.Pick(xxhash.Sum64String(q.id)),
		urgency:  doc.Urgency(rt, customer, r.cfg.Protocol.Priorities),
		arrived:  arrived,

		sleptBefore: slept,
	}
	x.end = x.arrived.Add(holdTime(rt, q))
	return x, nil
}

// holdTime is how long a request is held: as its route says, and no longer than its
// caller waits.
func holdTime(rt *route.Route, q *request) time.Duration {
	hold := defaultHold
	if rt.Timeout > 0 {
		hold = rt.Timeout
	}
	if q.timeLeft > 0 {
		hold = min(hold, q.timeLeft)
	}
	return hold
}
