package relay

// This file defines how a request is run on one upstream after another until one
// answers. The invariant: a request that may have run is only sent again where its
// route allows that, and each time it is sent again is taken from its service's budget.

import (
	"errors"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

const (
	// shortest is the least time left with which a request is sent (again).
	shortest = 20 * time.Millisecond
	// maxUnsent is how many upstreams may be unreachable before a request is given up.
	maxUnsent = 4
	// mostComeBack bounds when a caller shall come back where all upstreams are cold.
	mostComeBack = 3 * time.Second
	// answerBytes is what an answer takes for each of its tokens: some 4 bytes of text, and the
	// frame of an event around each few tokens.
	answerBytes = 16
)

// run sends the request to upstreams until one answers, or it is given up. The
// body is that of an answer that is no stream.
func (x *exchange) run() ([]byte, *refusal) {
	for {
		choice, ok := x.place()
		switch {
		case x.late:
			return nil, x.giveUp("too much before it")
		case !ok && x.await():
			continue
		case !ok:
			return x.unanswered("no upstream")
		}
		state, body := x.runOn(choice)
		if state == runAnswered {
			return body, nil
		}
		if !x.mayRunAgain(state) {
			return x.unanswered("no answer")
		}
	}
}

// unanswered ends a request that no upstream answered well: with the failure of one,
// or with the box's own answer.
func (x *exchange) unanswered(reason string) ([]byte, *refusal) {
	if body, ok := x.lastFailure(); ok {
		return body, nil
	}
	return nil, x.giveUp(reason)
}

// place chooses an upstream and counts the request there.
func (x *exchange) place() (balance.Choice, bool) {
	x.paused = 0
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
	if choice.Passed > 0 {
		r.stats.count(requestsHeldBack)
	}
	if !ok {
		x.paused = x.pauseLeft(x.triedCurrent())
		x.limited = choice.Passed > 0 && x.paused == 0
		x.tooLarge = r.fleet.TooLarge(q)
		left := max(r.fleet.ColdLeft(r.now(), x.service), r.fleet.MemoryLeft(r.now(), q), r.fleet.LimitLeft(r.now(), x.service), spread(r.fleet.LackedFor(r.now(), x.service)))
		x.comeBack = min(left, mostComeBack)
		return choice, false
	}
	if x.sent == 0 && len(q.Parts) > 0 {
		if x.comeBack, ok = r.fleet.Admit(r.now(), q, x.admission(), choice); !ok {
			x.upstream, x.ahead, x.late = *choice.Upstream, choice.Backlog, true
			return choice, false
		}
	}
	x.ticket = r.fleet.Open(r.now(), choice.Upstream.ID, q)
	wake(r.members.loadsChanged)
	x.upstream = *choice.Upstream
	x.fetched, x.kept, x.ahead = choice.Fetch != "", choice.Kept, choice.Backlog
	return choice, true
}

// placement is what the fleet looks at to place the request.
func (x *exchange) placement() balance.Request {
	p := &x.request.prompt
	return balance.Request{
		Service:  x.service,
		Parts:    p.Parts,
		Tokens:   p.Tokens,
		Bytes:    x.request.head + len(x.request.body) + p.Expected*answerBytes,
		Moves:    x.moves(),
		Class:    x.route.Name,
		Gap:      x.route.EventGap,
		Expected: p.Expected,
		Homes:    route.HomesOf(x.route, x.customer),
		Urgency:  x.urgency,
		Waited:   x.waited > 0,
	}
}

// moves reports whether the service's upstreams can fetch prompts from each other.
func (x *exchange) moves() bool {
	s := x.doc.Service(x.service)
	return s != nil && s.Moves
}

// cameBack is the share of the route's time below which a request has come back
// after a refusal: a first attempt has all of it.
const cameBack = 0.95

// admission is what the fleet looks at to decide whether the request would come late.
func (x *exchange) admission() balance.Admission {
	x.again = float64(x.left()) < cameBack*float64(x.route.Timeout)
	return balance.Admission{Target: x.route.Target, Again: x.again}
}

// runOn runs the request on the upstream that was chosen.
func (x *exchange) runOn(choice balance.Choice) (runState, []byte) {
	return x.send(x.nextRun(choice.Fetch))
}

// send sends the request for a run. With runAnswered, either the whole body has been read
// or the stream's first events are pending.
func (x *exchange) send(n run) (runState, []byte) {
	x.tried = append(x.tried, x.upstream.Incarnation())
	state, a, err := x.attempt(x.relay.outgoing(x.request, n))
	if errors.Is(err, errTakesNone) {
		x.tried = x.tried[:len(x.tried)-1] // it may wait for it
	}
	if state != runUnsent {
		x.sent++
	}
	var body []byte
	if state == runAnswered {
		state, body, err = x.accept(a)
	}
	if state != runAnswered {
		x.failed(state, err)
	}
	return state, body
}

// nextRun is what the coming run has of its own; fetch is from where its upstream may
// fetch the prompt.
func (x *exchange) nextRun(fetch string) run {
	n := run{
		upstream: x.upstream,
		timeLeft: x.left(),
		urgency:  x.urgency,
		customer: x.customer,
		fetch:    fetch,
		lastSeen: x.request.lastSeen,
	}
	if x.events != nil && x.events.seen {
		n.lastSeen = formatID(x.events.last)
	}
	return n
}

// mayRunAgain decides whether the request may go to another upstream after a run
// that came as far as state.
func (x *exchange) mayRunAgain(state runState) bool {
	if x.ctx.Err() != nil || x.left() < shortest || x.withheldFor() > 0 {
		return false
	}
	if state == runUnsent {
		return x.unsent < maxUnsent && (x.sent == 0 || x.sent < x.route.MaxAttempts && x.hasRetry())
	}
	if x.events == nil && x.relay.cfg.Off[balance.Repeating] {
		return false
	}
	if x.sent >= x.route.MaxAttempts || state == runUnknown && !x.route.Again() {
		return false
	}
	return x.hasRetry()
}
