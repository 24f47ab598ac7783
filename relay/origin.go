package relay

// This file defines where a stream began, and what is logged when it goes on elsewhere. The
// invariants: a stream's origin is set once, by its first event; and from then on it is placed only
// at upstreams of the software version that began it.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/origin"
	"github.com/doormast/doormast/route"
)

// streamOrigin is where a stream began.
type streamOrigin struct {
	balance.Origin
	upstream string // ID of the upstream; empty: not known here
}

// The ways in which a stream goes on at another upstream; the text is used in log lines and metric
// names.
type continuation string

const (
	wayResumed continuation = "resumed"  // in one answer, after its run failed
	wayMoved   continuation = "moved"    // in one answer, with the run's memory
	wayTakenUp continuation = "taken_up" // by its caller, with another request
)

// otherSoftware counts streams that went on at another version of the software than the one that
// began them.
const otherSoftware = "streams_at_other_software"

// streamsNotContinued counts streams that broke off since no upstream of their software version
// took them.
const streamsNotContinued = "streams_not_continued"

// noteOrigin records where the stream began, or that its caller has taken it up. It is called with
// the first events of the answer, before the caller gets any.
func (x *exchange) noteOrigin() {
	if x.isTakenUp() {
		x.noteContinued(wayTakenUp, *x.origin)
	} else {
		x.beginHere()
	}
	x.tellOrigin()
}

// beginHere sets the origin of a stream whose first event came from the present upstream. If its
// entry has changed since the request was placed, the event may be of either version.
func (x *exchange) beginHere() {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	u, isListed := r.listedUpstream(x.upstream.ID)
	unchanged := !isListed || u.Incarnation() != x.upstream.Incarnation() || u.Software == x.upstream.Software
	x.origin = &streamOrigin{balance.Origin{Began: true, Known: unchanged && !x.unproven, Software: x.upstream.Software}, x.upstream.ID}
}

// placementOrigin returns the origin for the placement of the request.
func (x *exchange) placementOrigin() balance.Origin {
	if x.origin == nil {
		return balance.Origin{}
	}
	return x.origin.Origin
}

// mayContinueAt reports whether the stream may go on at an upstream, by its present entry.
func (x *exchange) mayContinueAt(u balance.Upstream) bool {
	x.relay.mu.Lock()
	defer x.relay.mu.Unlock()
	return x.relay.mayContinueAt(x, u)
}

// mayContinueAt is the same for a caller that holds mu. An upstream without an entry is judged by
// its last one.
func (r *Relay) mayContinueAt(x *exchange, u balance.Upstream) bool {
	if x.origin == nil {
		return true
	}
	if listed, ok := r.listedUpstream(u.ID); ok && listed.Incarnation() == u.Incarnation() {
		u = listed
	}
	return x.origin.Known && u.Software == x.origin.Software
}

// mayBeTakenUp reports whether the stream has events, and its caller may take it up at the version
// that began it.
func (x *exchange) mayBeTakenUp() bool {
	return x.origin != nil && x.origin.Known && x.isResumable() && x.request.firstID() != ""
}

// isResumable reports whether the request is for a stream that may go on at another upstream.
func (x *exchange) isResumable() bool { return x.route.Repeat == route.Stream && x.route.Resumable }

// tellOrigin records where the stream began, before its caller gets the first event, unless only one
// software version can have begun any stream.
func (x *exchange) tellOrigin() {
	if !x.mayBeTakenUp() {
		return
	}
	r := x.relay
	r.mu.Lock()
	_, isSole := r.fleet.SoleSoftware(r.now(), x.service)
	r.mu.Unlock()
	if !isSole {
		r.origins.tell([]origin.Record{x.originRecord()}, x.mayHoldOrigin)
	}
}

// originRecord is the record of the stream's origin. It is kept for as long as the caller may come
// back.
func (x *exchange) originRecord() origin.Record {
	life := x.relay.streamSpan()
	if x.request.timeLeft > 0 {
		life = x.request.timeLeft
	}
	return origin.Record{Key: origin.KeyOf(x.customerName(), x.request.firstID()), Origin: origin.Origin{Service: x.service, Software: x.origin.Software},
		Life: min(life+originMargin, maxOriginLife)}
}

// streamSpan is the longest time that a stream may last.
func (r *Relay) streamSpan() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.StreamSpan()
}

// tellOpenStreams records the origins of the open streams of services of which a second software
// version has come up. What began before has not been recorded.
func (r *Relay) tellOpenStreams() {
	r.mu.Lock()
	open := r.openStreams(r.fleet.TakeSecondSoftware())
	r.mu.Unlock()
	for _, x := range open {
		r.origins.tell([]origin.Record{x.originRecord()}, x.mayHoldOrigin)
	}
}

// openStreams returns the open streams of some services that callers may take up. The caller holds mu.
func (r *Relay) openStreams(services []string) []*exchange {
	if len(services) == 0 {
		return nil
	}
	var open []*exchange
	for x := range r.runConns {
		if slices.Contains(services, x.service) && x.mayBeTakenUp() {
			open = append(open, x)
		}
	}
	return open
}

// logNotContinued logs that a stream whose run ended cannot go on.
func (x *exchange) logNotContinued() {
	r := x.relay
	r.mu.Lock()
	versions := r.fleet.RecentSoftware(r.now(), x.service)
	r.mu.Unlock()
	r.stats.count(streamsNotContinued)
	r.cfg.Log.Event("run", "not continued", Fields{"id": x.request.id, "service": x.service, "began_at": x.origin.upstream, "began_software": x.origin.Software,
		"known": x.origin.Known, "software": versions, "events": x.events.total, "age_ms": r.publishedAge().Milliseconds()})
}

// noteContinued counts and logs that the stream goes on at its present upstream. from is where it
// began, as far as known.
func (x *exchange) noteContinued(way continuation, from streamOrigin) {
	r := x.relay
	r.stats.count("streams_" + string(way))
	if from.Known && from.Software != x.upstream.Software {
		r.stats.count(otherSoftware)
	}
	f := Fields{"id": x.request.id, "way": way, "service": x.service, "began_at": from.upstream, "began_software": from.Software,
		"upstream": x.upstream.ID, "software": x.upstream.Software, "after_event": x.request.lastEventID, "age_ms": r.publishedAge().Milliseconds()}
	if x.request.resumes != "" {
		f["resumes"] = boundedText(x.request.resumes)
	}
	r.cfg.Log.Event("run", "continues", f)
}

// maxLoggedText bounds a caller's text in a log line, in bytes.
const maxLoggedText = 64

// boundedText returns a text for a log line.
func boundedText(s string) string {
	if len(s) <= maxLoggedText {
		return s
	}
	return s[:maxLoggedText]
}
