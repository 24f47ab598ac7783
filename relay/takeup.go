package relay

// This file defines how a caller takes up a stream of which it has events, with another request at
// any box. The invariant: it goes on only at the service and the software version that began it, or
// is refused as not run.

import (
	"slices"

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

// findOrigin finds out where a stream that its caller takes up began; the refusal is nil if that is
// known, or if the request begins a stream.
func (x *exchange) findOrigin() *refusal {
	if !x.isTakenUp() {
		return nil
	}
	r := x.relay
	r.mu.Lock()
	software, isSole := r.fleet.SoleSoftware(r.now(), x.service)
	r.mu.Unlock()
	if isSole && r.publishedAge() <= freshList {
		x.setOrigin(software)
		return nil
	}
	// A caller that names no attempt finds no record, but may be told that there is one version only.
	a := r.origins.lookup(x.ctx, x.customerName(), origin.KeyOf(x.customerName(), x.request.resumes), x.service, x.mayHoldOrigin)
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
		if a.limited {
			unknown.retryAfter = defaultRetryAfter
		}
		return unknown
	}
	x.setOrigin(a.Software)
	return nil
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
		"ambiguous": a.result == origin.Ambiguous, "limited": a.limited, "asked": a.asked, "answered": a.answered, "took_ms": a.took.Milliseconds(), "age_ms": r.publishedAge().Milliseconds()})
}

// refuseTakenUp returns the refusal of a stream that its caller takes up, where no upstream of its
// software took it. It may succeed later only while one is listed.
func (x *exchange) refuseTakenUp(otherwise *refusal) *refusal {
	if x.origin == nil || !x.isTakenUp() || otherwise.status != fasthttp.StatusServiceUnavailable {
		return otherwise
	}
	x.relay.mu.Lock()
	isListed := x.relay.fleet.ListsSoftware(x.service, x.origin.Software)
	x.relay.mu.Unlock()
	if !isListed {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: noSoftwareReason}
	}
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: softwareFullReason, retryAfter: otherwise.retryAfter}
}
