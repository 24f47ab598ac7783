package relay

// This file defines how a box makes sure which software version a connection leads to, where an
// upstream may start again under its ID and address with another one before the store tells. The
// invariants: a stream that has events goes on only over a connection that is proven to lead to the
// incarnation that the list names; and one that began over another connection is of unknown origin.

import (
	"context"
	"time"

	"github.com/doormast/doormast/route"
)

// entryDelay is the time within which the store tells of an upstream that has started.
const entryDelay = 2 * time.Second

// proofTimeout limits how long an upstream is waited for to name its start.
const proofTimeout = 250 * time.Millisecond

// errUnproven reports that a connection may lead to another software version.
var errUnproven = &Error{Op: "prove software of upstream", Kind: KindReplaced}

// proveSoftware makes sure which incarnation the connection leads to, if that matters. The error says
// that the request must not be sent over it. A new stream may be, and is then of unknown origin.
func (x *exchange) proveSoftware(c *conn) error {
	x.unproven = false
	if !x.needsProof(c) {
		return nil
	}
	r := x.relay
	started, err := r.askStart(x.ctx, c, x)
	if err != nil {
		return errUnproven
	}
	c.proven = started == c.incarnation.StartedAt
	r.stats.count("connections_asked_for_start")
	if !c.proven {
		r.cfg.Log.Event("upstream", "start differs", Fields{"upstream": c.incarnation.ID, "born": c.incarnation.StartedAt, "said": started, "age_ms": r.publishedAge().Milliseconds()})
	}
	x.unproven = !c.proven
	if x.unproven && x.origin != nil {
		return errUnproven
	}
	return nil
}

// needsProof reports whether the connection may lead to a software version that the list does not
// name yet. Where entries state no start, a restart changes the ID, which the upstream compares. That
// one version only is listed proves nothing to a stream that goes on: the list may be behind.
func (x *exchange) needsProof(c *conn) bool {
	r := x.relay
	if c.proven || c.incarnation.StartedAt == 0 || r.cfg.Protocol.ReportCall == nil || x.route.Repeat != route.Stream {
		return false
	}
	r.mu.Lock()
	_, isSole := r.fleet.SoleSoftware(r.now(), x.service)
	r.mu.Unlock()
	if isSole && x.origin == nil {
		return false
	}
	// The list would have told of an incarnation that started before the connection was opened; and while
	// an older connection is open, no other process has its address.
	provenAfter := r.publishedAge() + entryDelay
	c.proven = time.Since(c.opened) > provenAfter || r.conns.hasProven(c.incarnation, provenAfter)
	return !c.proven
}

// askStart asks the upstream on the connection when it started; 0 if it does not say. After an error
// the connection must not be used.
func (r *Relay) askStart(ctx context.Context, c *conn, x *exchange) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	c.anonymous = true // a second response on it states the same start
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := r.roundTrip(c, r.buildCall(x.upstream, r.cfg.Protocol.ReportCall()))
	if err != nil {
		stop()
		return 0, err
	}
	body, err := readWhole(a, maxCallResponse)
	if !stop() || err != nil || !a.reuse {
		return 0, errUnproven
	}
	report, _ := r.cfg.Protocol.ParseReport(a.header.StatusCode(), body, x.request.id)
	return report.StartedAt, nil
}
