package relay

// This file defines where a stream began, and what is logged when it goes on elsewhere. The
// invariant: a stream's origin is set once, by its first event.

// streamOrigin is the upstream that a stream began at.
type streamOrigin struct {
	upstream string // its ID
	software string // version of its software
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

// noteOrigin records where the stream began, or that its caller has taken it up.
func (x *exchange) noteOrigin() {
	if x.origin != nil {
		return
	}
	x.origin = &streamOrigin{upstream: x.upstream.ID, software: x.upstream.Software}
	if x.request.lastEventID != "" {
		x.noteContinued(wayTakenUp, streamOrigin{})
	}
}

// noteContinued counts and logs that the stream goes on at its present upstream. from is where it
// began, as far as known.
func (x *exchange) noteContinued(way continuation, from streamOrigin) {
	r := x.relay
	r.stats.count("streams_" + string(way))
	if from.software != "" && from.software != x.upstream.Software {
		r.stats.count(otherSoftware)
	}
	f := Fields{"id": x.request.id, "way": way, "service": x.service, "began_at": from.upstream, "began_software": from.software,
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
