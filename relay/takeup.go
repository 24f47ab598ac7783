package relay

// This file defines how a caller takes up a stream of which it has events, with another request at
// any box. The invariant: it goes on only at the service and the software version that began it, or
// is refused as not run.

import (
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/origin"
	"github.com/doormast/doormast/route"
)

// Reasons for which a stream that its caller takes up is refused, or a new request for its sake. It has not run.
const (
	originUnknownReason = "not known where the stream began"
	noSoftwareReason    = "no upstream of the software that began the stream"
	softwareFullReason  = "upstreams of the software that began the stream take no more"
	roomKeptReason      = "free slots are kept for streams that go on" // of a new request
	serviceGoneReason   = "its route no longer names the service that began the stream"
)

// isTakenUp reports whether the caller takes up a stream of which it has events.
func (x *exchange) isTakenUp() bool {
	return x.request.lastEventID != "" && x.isResumable()
}

// newEventReader returns the reader of the stream's events. Of one that its caller takes up it skips what the
// caller has: an upstream may begin with events that came before.
func (x *exchange) newEventReader(body io.Reader) *eventReader {
	e := &eventReader{src: body, reserve: x.chargeOpenEnded}
	if id, err := strconv.ParseInt(x.request.lastEventID, 10, 64); err == nil && x.isTakenUp() {
		e.lastID, e.hasIDs = id, true
	}
	return e
}

// findOrigin finds out where a stream that its caller takes up began; the refusal is nil if that is
// known, or if the request begins a stream.
func (x *exchange) findOrigin() *refusal {
	if !x.isTakenUp() {
		return nil
	}
	r := x.relay
	arrived, own := r.now(), x.ownWord()
	if own.isSole && own.isFresh && r.origins.isAlone() {
		x.setOrigin(own.software)
		return nil
	}
	// A caller that names no attempt finds no record, but may be told that there is one version only.
	a := r.origins.lookup(x.ctx, x.customerName(), origin.KeyOf(x.customerName(), x.request.resumes), x.service, own, x.mayHoldOrigin)
	if x.mayAwaitList(a) {
		a = x.awaitList(arrived, a)
	}
	x.logOrigin(a)
	if a.Service != "" && a.Service != x.service {
		if !slices.ContainsFunc(x.route.Targets, func(t route.Target) bool { return t.Service == a.Service }) {
			return &refusal{status: fasthttp.StatusServiceUnavailable, reason: serviceGoneReason}
		}
		x.service = a.Service
		x.cachedPartSubjects.Store(nil)
	}
	isKnown := a.result == origin.Found || a.sole && x.isOnlySoftware(a.Software)
	if !isKnown {
		unknown := &refusal{status: fasthttp.StatusServiceUnavailable, reason: originUnknownReason}
		if a.limited || own.isSole && !a.split {
			unknown.retryAfter = defaultRetryAfter // this box, or another one, may know it later
		}
		return unknown
	}
	x.setOrigin(a.Software)
	return nil
}

// ownWord returns what this box knows of the versions of the request's service.
func (x *exchange) ownWord() ownWord {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	software, isSole := r.fleet.SoleSoftware(r.now(), x.service)
	return ownWord{software, isSole, r.publishedAge() <= freshList}
}

// mayAwaitList reports whether this box may soon know by its own list that one version only can have begun
// the stream: no box knows of several, and this one is not cut off as far as it knows.
func (x *exchange) mayAwaitList(a originAnswer) bool {
	isOpen := a.result == origin.NotFound && !a.sole && !a.split
	return isOpen && (a.limited || a.answered > 0 || x.relay.members.shouldRead.Load())
}

const (
	// messageTime is longer than a message takes that says how old a list is.
	messageTime = 100 * time.Millisecond
	// listPoll is how often the age of the list is looked at.
	listPoll = 20 * time.Millisecond
)

// awaitList waits until the list of this box is known to have been current after the request arrived.
// It holds every version then that can have begun the stream. It gives up as soon as the list is no longer
// fresh.
func (x *exchange) awaitList(arrived time.Duration, a originAnswer) originAnswer {
	r := x.relay
	a.awaited = true
	for {
		a.took = r.now() - arrived
		confirmed := time.Duration(r.published.confirmedAt.Load()) // before the versions of that list, or of a later one
		own := x.ownWord()
		switch {
		case x.ctx.Err() != nil || !own.isSole || !own.isFresh:
			return a
		case confirmed > arrived+messageTime:
			a.Software, a.sole = own.software, true
			return a
		}
		sleep(x.ctx, listPoll)
	}
}

// setOrigin sets where a stream that its caller takes up began.
func (x *exchange) setOrigin(software string) {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	x.origin = &streamOrigin{Origin: balance.Origin{Began: true, Known: true, Software: software}}
}

// isOnlySoftware reports whether this box knows of no other software version of the service that may
// have open streams.
func (x *exchange) isOnlySoftware(software string) bool {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.fleet.RecentSoftware(r.now(), x.service), func(v string) bool { return v != software })
}

// mayHoldOrigin reports whether records of the stream may be kept in a failure domain.
func (x *exchange) mayHoldOrigin(domain string) bool {
	homes := route.AllowedRegions(x.route, x.customer)
	return !homes.Restricted || slices.Contains(homes.Regions, x.relay.cfg.Regions[domain])
}

// logOrigin logs what was found out of the stream's origin.
func (x *exchange) logOrigin(a originAnswer) {
	r := x.relay
	event, counter := "unknown", originsUnknown
	if a.result == origin.Found || a.sole {
		event, counter = "found", originsFound
	}
	r.stats.count(counter)
	r.stats.latency("origin_lookup_ms", a.took)
	r.cfg.Log.Event("origin", event, Fields{"id": x.request.id, "resumes": boundedText(x.request.resumes), "service": x.service, "software": a.Software, "sole": a.sole,
		"ambiguous": a.result == origin.Ambiguous, "limited": a.limited, "awaited": a.awaited, "asked": a.asked, "answered": a.answered, "took_ms": a.took.Milliseconds(), "age_ms": r.publishedAge().Milliseconds()})
}

// refuseTakenUp returns the refusal of a stream that its caller takes up, where no upstream of its
// software took it. It may succeed later unless the last one has gone.
func (x *exchange) refuseTakenUp(otherwise *refusal) *refusal {
	if x.origin == nil || !x.isTakenUp() || otherwise.status != fasthttp.StatusServiceUnavailable {
		return otherwise
	}
	r := x.relay
	r.mu.Lock()
	isListed := r.fleet.ListsSoftware(x.service, x.origin.Software)
	hasGone := slices.Contains(r.fleet.RecentSoftware(r.now(), x.service), x.origin.Software)
	r.mu.Unlock()
	switch {
	case !isListed && hasGone:
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: noSoftwareReason}
	case !isListed: // the list is behind
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: noSoftwareReason, retryAfter: defaultRetryAfter}
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: softwareFullReason, retryAfter: otherwise.retryAfter}
}
