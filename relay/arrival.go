package relay

// This file defines the admission of a request: whether it may run and until when. The invariant: a
// request that is refused has run nowhere and takes nothing from the retry budget.

import (
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/framing"
	"github.com/doormast/doormast/route"
)

// defaultTimeout applies to requests whose route sets no timeout.
const defaultTimeout = 60 * time.Second

// handle serves one request.
func (f *callerServer) handle(ctx *fasthttp.RequestCtx) {
	r := f.relay
	q := r.readRequest(ctx)
	c := callerOf(ctx)
	if c != nil {
		c.noteRead(q.id)
		defer c.step(callerAnswer)
	}
	if err := checkRequest(ctx, c); err != nil {
		f.refuseMalformed(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	x, refused := r.admit(q, ctx.Conn())
	if refused == nil {
		refused = x.refuseWithheld()
	}
	if refused == nil && c != nil {
		refused = x.chargeMemory(c)
	}
	if refused != nil {
		if refused.reason == callerLeft {
			ctx.SetConnectionClose()
		}
		r.logRefused(q, c, *refused, x)
		r.sendRefusal(ctx, q, *refused)
		return
	}
	x.serve(ctx)
}

// checkRequest checks the header and the trailer of a request against the grammar. c is nil if its connection did not come from
// callerListener.
func checkRequest(ctx *fasthttp.RequestCtx, c *callerConn) error {
	if err := framing.CheckRequest(&ctx.Request.Header); err != nil || c == nil {
		return err
	}
	return c.trailers.Err(ctx.ConnRequestNum())
}

// chargeMemory charges the memory that an active request needs beyond what was read of it.
func (x *exchange) chargeMemory(c *callerConn) *refusal {
	r := x.relay
	if c.requestCharged {
		c.releaseRequest() // this request was read together with the previous one
	}
	c.requestCharged = true
	c.memoryShare, c.requestID = shareForUrgency(x.urgency, x.doc.Urgencies(r.cfg.Protocol.Priorities)), x.request.id
	if !c.lease.Grow(requestBytes, c.memoryShare) {
		r.logTurnedAway(x.request.id, "request")
		return &refusal{fasthttp.StatusServiceUnavailable, memoryShortReason, defaultRetryAfter}
	}
	c.writeDeadline = x.deadline.Add(lateWriteTimeout)
	x.caller = c
	return nil
}

// logRefused logs and counts a request that was not admitted. c is nil if the connection did not come
// from callerListener, x if the request has no route or no customer.
func (r *Relay) logRefused(q *request, c *callerConn, refused refusal, x *exchange) {
	fields := Fields{"id": q.id, "status": refused.status, "reason": refused.reason, "host": q.host,
		"path": q.path(), "version": r.documentVersion(), "age_ms": r.publishedAge().Milliseconds()}
	r.addStopFields(fields, c, time.Now())
	if x != nil && refused.reason == stoppingReason {
		r.addGraceFields(fields, x)
	}
	if x != nil && refused.reason == withheldReason {
		r.addVerdictFields(fields, x)
		fields["content"], fields["route"], fields["customer"] = formatContentHash(x.requestHash()), x.route.Name, x.customerName()
		fields["come_back_ms"] = refused.retryAfter.Milliseconds()
	}
	r.cfg.Log.Event("request", "refused", fields)
	r.stats.count("refused_" + refused.reason)
}

// admit decides whether a request may run; the refusal is nil if it may. The request's timeout starts
// at its arrival, including any wait for the document.
func (r *Relay) admit(q *request, conn net.Conn) (*exchange, *refusal) {
	arrived := time.Now()
	r.detectSuspensionBefore(arrived)
	suspended := r.suspendedFor.Load()
	if r.isGraceOver() || r.stopping.Load() && !r.mayPlace() {
		return nil, &refusal{fasthttp.StatusServiceUnavailable, stoppingReason, stoppingRetryAfter}
	}
	doc, disconnected := r.awaitDocument(q, conn)
	if disconnected {
		return nil, &refusal{status: fasthttp.StatusBadGateway, reason: callerLeft}
	}
	if doc == nil {
		return nil, &refusal{fasthttp.StatusServiceUnavailable, "starting", startingRetryAfter}
	}
	rt := doc.Match(q.host, q.path())
	if rt == nil {
		return nil, &refusal{status: fasthttp.StatusNotFound, reason: "no route"}
	}
	if doc.Limits.HeaderBytes > 0 && q.headBytes > doc.Limits.HeaderBytes {
		return nil, &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "headers too large"}
	}
	if doc.Limits.BodyBytes > 0 && len(q.body) > doc.Limits.BodyBytes {
		return nil, &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	customer := doc.Customer(q.customerKey)
	if customer == nil && !rt.Public && len(doc.Customers) > 0 {
		return nil, &refusal{status: fasthttp.StatusUnauthorized, reason: "unknown key"}
	}
	x := &exchange{
		relay:    r,
		request:  q,
		doc:      doc,
		route:    rt,
		customer: customer,
		service:  rt.Pick(xxhash.Sum64String(q.firstID())),
		urgency:  doc.Urgency(rt, customer, r.cfg.Protocol.Priorities),
		arrived:  arrived,

		suspendedBefore: suspended,
	}
	x.deadline = x.arrived.Add(requestTimeout(rt, q))
	return x, r.refuseBeforeStop(x)
}

// requestTimeout returns the time a request may take: the route's timeout, but at most the time that
// the caller waits.
func requestTimeout(rt *route.Route, q *request) time.Duration {
	timeout := defaultTimeout
	if rt.Timeout > 0 {
		timeout = rt.Timeout
	}
	if q.timeLeft > 0 {
		timeout = min(timeout, q.timeLeft)
	}
	return timeout
}
