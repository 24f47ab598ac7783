package relay

// This file defines where a stream began, and what is logged when it goes on elsewhere. The
// invariants: a stream's origin is set once, by its first event; and from then on it is placed only
// at upstreams of the software version that began it.

import "github.com/doormast/doormast/balance"

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

// noteOrigin records where the stream began, or that its caller has taken it up.
func (x *exchange) noteOrigin() {
	if x.origin != nil {
		return
	}
	r := x.relay
	r.mu.Lock()
	u, isListed := r.listedUpstream(x.upstream.ID)
	unchanged := !isListed || u.Incarnation() != x.upstream.Incarnation() || u.Software == x.upstream.Software
	x.origin = &streamOrigin{balance.Origin{Began: true, Known: unchanged, Software: x.upstream.Software}, x.upstream.ID}
	r.mu.Unlock()
	if x.request.lastEventID != "" {
		x.noteContinued(wayTakenUp, streamOrigin{})
	}
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
