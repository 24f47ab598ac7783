package relay

// This file defines how a request is sent to one upstream after another until one answers. The
// invariant: a request that may have run is sent again only if its route allows that, and each
// repetition is taken from the service's retry budget.

import (
	"errors"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

const (
	// minTimeLeft is the minimum remaining time with which a request is sent or sent again.
	minTimeLeft = 20 * time.Millisecond
	// maxUnreachable is the number of unreachable upstreams after which a request is given up.
	maxUnreachable = 4
	// maxRetryAfter is the maximum time after which a caller is told to retry if all upstreams are cold.
	maxRetryAfter = 3 * time.Second
	// bytesPerToken estimates the size of a response per token: about 4 bytes of text, plus the framing
	// of an event for every few tokens.
	bytesPerToken = 16
)

// runUntilAnswered sends the request to upstreams until one answers or the request is given up. It
// returns the body of a response that is not a stream.
func (x *exchange) runUntilAnswered() ([]byte, *refusal) {
	if refused := x.findOrigin(); refused != nil {
		return nil, refused
	}
	for {
		choice, ok := x.place()
		switch {
		case x.tooLate:
			return nil, x.finalRefusal("too much before it")
		case !ok && x.mayUseUnverified():
			continue
		case !ok && (x.awaitPauseEnd() || x.awaitPriorTotals()):
			continue
		case !ok:
			return x.unanswered("no upstream")
		}
		state, body := x.runOn(choice)
		if state == runAnswered {
			return body, nil
		}
		switch {
		case !x.mayRetry(state):
			return x.unanswered("no answer")
		case x.outlastsStop():
			return x.unanswered(stoppingReason)
		}
	}
}

// unanswered ends a request that no upstream answered successfully: with the last error response of an
// upstream, or else with a refusal by the box.
func (x *exchange) unanswered(reason string) ([]byte, *refusal) {
	if body, ok := x.lastFailure(); ok {
		return body, nil
	}
	return nil, x.finalRefusal(reason)
}

// place chooses an upstream and reserves capacity for the request there.
func (x *exchange) place() (balance.Choice, bool) {
	x.pausedFor = 0
	if x.ctx.Err() != nil {
		return balance.Choice{}, false
	}
	r := x.relay
	q := x.placement()
	r.mu.Lock()
	defer r.mu.Unlock()
	began := time.Now()
	choice, ok := r.fleet.Place(r.now(), q, x.triedCurrent())
	r.stats.observe("decision_us", time.Since(began).Microseconds())
	if choice.Skipped > 0 {
		r.stats.count(requestsHeldBack)
	}
	if !ok {
		x.pausedFor = x.pauseLeft(x.triedCurrent())
		x.allLimited = choice.Skipped > 0 && x.pausedFor == 0
		x.tooLarge, x.leftRoom = r.fleet.TooLarge(q), choice.LeftRoom
		left := max(r.fleet.ColdLeft(r.now(), x.service), r.fleet.MemoryLeft(r.now(), q), r.fleet.LimitLeft(r.now(), x.service), addJitter(r.fleet.UnavailableFor(r.now(), x.service)))
		x.retryAfter = min(left, maxRetryAfter)
		return choice, false
	}
	if x.runsSent == 0 && len(q.Parts) > 0 && !q.Origin.Began {
		if x.retryAfter, ok = r.fleet.Admit(r.now(), q, x.admission(), choice); !ok {
			x.upstream, x.backlog, x.tooLate = *choice.Upstream, choice.Backlog, true
			return choice, false
		}
	}
	x.ticket = r.fleet.Open(r.now(), choice.Upstream.ID, q)
	wake(r.members.loadsChanged)
	x.upstream = *choice.Upstream
	x.fetchOffered, x.prefixCached, x.backlog = choice.FetchFrom != "", choice.HoldsPart, choice.Backlog
	return choice, true
}

// placement returns the properties of the request by which the fleet places it.
func (x *exchange) placement() balance.Request {
	p := &x.request.prompt
	return balance.Request{
		Service:        x.service,
		Parts:          p.Parts,
		Tokens:         p.Tokens,
		Bytes:          x.request.headBytes + len(x.request.body) + p.Expected*bytesPerToken,
		CanTransfer:    x.canFetchPrompts(),
		Class:          x.route.Name,
		MaxGap:         x.route.EventGap,
		ExpectedTokens: p.Expected,
		Homes:          route.AllowedRegions(x.route, x.customer),
		Urgency:        x.urgency,
		Waited:         x.pauseWaited > 0,
		Origin:         x.placementOrigin(),
		Resumable:      x.isResumable(),
	}
}

// canFetchPrompts reports whether the service's upstreams can fetch cached prompts from each other.
func (x *exchange) canFetchPrompts() bool {
	s := x.doc.Service(x.service)
	return s != nil && s.TransfersKV
}

// cameBackShare is the share of the route's timeout below which the remaining time marks a request as
// a retry after a refusal: a first attempt has all of it.
const cameBackShare = 0.95

// admission returns the properties by which the fleet decides whether the request would be late.
func (x *exchange) admission() balance.Admission {
	x.cameBack = float64(x.timeLeft()) < cameBackShare*float64(x.route.Timeout)
	return balance.Admission{Target: x.route.Target, Retried: x.cameBack}
}

// runOn runs the request on the chosen upstream, unless that has to be verified first and does not
// accept a connection.
func (x *exchange) runOn(choice balance.Choice) (runState, []byte) {
	x.throughOther = false
	if !x.verifyUpstream() && !x.connectsThroughOther() {
		x.leaveUnverified()
		return runUnsent, nil
	}
	return x.send(x.nextRun(choice.FetchFrom))
}

// send runs the request with the given parameters. With runAnswered, either the whole body has been
// read or the first events of the stream are pending.
func (x *exchange) send(params runParams) (runState, []byte) {
	x.triedInstances = append(x.triedInstances, x.upstream.Incarnation())
	state, resp, err := x.attempt(x.relay.buildRequest(x.request, params))
	if errors.Is(err, errNotAccepting) {
		x.triedInstances = x.triedInstances[:len(x.triedInstances)-1] // it may wait for this upstream's pause
	}
	if errors.Is(err, errUnverified) {
		x.unverified = append(x.unverified, x.upstream.Incarnation())
	}
	if state != runUnsent {
		x.runsSent++
	}
	var body []byte
	if state == runAnswered {
		state, body, err = x.accept(resp)
	}
	if state != runAnswered {
		x.recordFailure(state, err)
	}
	return state, body
}

// nextRun returns the parameters of the next run; fetch is the address of an upstream from which the
// prompt can be fetched.
func (x *exchange) nextRun(fetch string) runParams {
	params := runParams{
		upstream:    x.upstream,
		timeLeft:    x.timeLeft(),
		urgency:     x.urgency,
		customer:    x.customer,
		fetchFrom:   fetch,
		lastEventID: x.request.lastEventID,
	}
	if x.events != nil && x.events.hasIDs {
		params.lastEventID = formatID(x.events.lastID)
	}
	return params
}

// mayRetry decides whether the request may be sent to another upstream after a run that ended in
// state.
func (x *exchange) mayRetry(state runState) bool {
	if x.ctx.Err() != nil || x.timeLeft() < minTimeLeft || x.withheldFor() > 0 {
		return false
	}
	if x.events != nil && !x.events.canContinue() {
		return false
	}
	if state == runUnknown && !x.mayRepeat() {
		return false
	}
	if state == runUnsent {
		return x.unreachable < maxUnreachable && (x.runsSent == 0 || x.runsSent < x.route.MaxAttempts && x.hasRetry())
	}
	if x.events == nil && x.relay.cfg.Disabled[balance.Repeating] {
		return false
	}
	if x.runsSent >= x.route.MaxAttempts || state == runUnknown && !x.route.CanRepeat() {
		return false
	}
	return x.hasRetry()
}
