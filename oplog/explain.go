package oplog

// This file defines how a request is explained: its own lines, and what its boxes
// came to believe shortly before and while it was under way. The invariant: every line
// that names the request is shown.

import (
	"fmt"
	"io"
	"time"
)

// before is how long before a request's first line a change of belief may bear on it:
// the longest that a document or a leaving upstream may take to be known.
const before = 5 * time.Second

// Explain writes what the lines tell about a request. The lines are in order. The
// error is an Error of KindUnknown where none names the request, or w's.
func Explain(w io.Writer, lines []Line, id string) error {
	own := about(lines, id)
	if len(own) == 0 {
		return &Error{Op: "explain " + id, Kind: KindUnknown}
	}
	s := scopeOf(own)
	for _, l := range lines {
		var err error
		switch {
		case textOf(l.Fields["id"]) == id:
			_, err = fmt.Fprintf(w, "%s\n  %s\n", l, meaning(l))
		case s.holds(l) && bears(l, s.upstreams):
			_, err = fmt.Fprintf(w, "    %s\n", l)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// scope is when and where a request was under way.
type scope struct {
	from, to  time.Time
	boxes     map[string]bool
	upstreams map[string]bool // by id
}

// scopeOf makes it of the request's own lines, of which there is one at least.
func scopeOf(own []Line) scope {
	s := scope{
		from:      own[0].At.Add(-before),
		to:        own[len(own)-1].At,
		boxes:     make(map[string]bool),
		upstreams: make(map[string]bool),
	}
	for _, l := range own {
		s.boxes[l.Box] = true
		s.upstreams[textOf(l.Fields["upstream"])] = true
	}
	return s
}

// holds reports whether a line comes from one of the boxes, and in that time.
func (s scope) holds(l Line) bool {
	return !l.At.Before(s.from) && !l.At.After(s.to) && s.boxes[l.Box]
}

// about returns the lines that name the request.
func about(lines []Line, id string) []Line {
	var own []Line
	for _, l := range lines {
		if textOf(l.Fields["id"]) == id {
			own = append(own, l)
		}
	}
	return own
}

// bears reports whether a line that is no request's may bear on a request that went
// to the upstreams.
func bears(l Line, upstreams map[string]bool) bool {
	switch l.Part {
	case "document", "domain", "publisher", "box", "group", "settings", "published", "content":
		return true
	case "upstream":
		return upstreams[textOf(l.Fields["upstream"])]
	}
	return false
}

// meanings tell what a kind of line says, in a sentence.
var meanings = map[string]string{
	"request: answered":                     "The upstream's answer went to the caller.",
	"request: refused":                      "The box answered by itself; no upstream was asked. The reason, the document's version and its age are given.",
	"request: no upstream":                  "No upstream could be asked any more: all were leaving, out of reach, or had been tried.",
	"request: too much before it":           "The upstream had so many prompt tokens to read before this one (ahead) that it would have been late; the caller was told when to come back.",
	"request: upstreams ask for a pause":    "All upstreams of the service want nothing from this box for longer than the caller waits; it was told when the first pause ends.",
	"request: no answer":                    "A run may have happened and brought no answer, and the route, the attempts or the budget allowed no other.",
	"request: out of time":                  "The caller's or the route's time was over while an upstream was at work.",
	"request: broken off":                   "The stream's run ended before its end and could not go on elsewhere; the caller's connection was closed.",
	"request: cut by the stop":              "The box's planned stop came to the end of its grace while an upstream was at work; the process's end cut the answer.",
	"request: caller left":                  "The caller closed its connection; the run was ended.",
	"request: caller does not read":         "The caller took nothing of its answer for seconds and was cut off; nothing is held against the upstream.",
	"content: withheld":                     "Upstreams have ended under this content (ended, as boxes saw and told each other): it is refused until for_ms have passed, or it is answered whole.",
	"upstream: says that it is leaving":     "An answer of it to this box says so: this life of it is sent nothing from here on, whatever its entry says (list_age_ms).",
	"upstream: asks for a pause":            "It turned a request away and wants none from this box for pause_ms (asked is what it sent); requests return after till_ms.",
	"upstream: used as before its pause":    "Requests have returned to it after a pause, in growing numbers.",
	"upstream: asked whether it is leaving": "It has started again, and the answers that said it is leaving may have been of this start; it gets requests unless it says so again.",
	"upstream: pause not taken":             "It turned a request away and sent something else than a time for which it wants none; why says what is wrong.",
	"upstream: names a limit":               "An answer of it, seen here or by a box that told, names how many requests a second it takes from all boxes together (per_second, before). This box has sent it sent_lately in the last span_ms, and may send it ration in any ration_span_ms from now on.",
	"upstream: names no limit any more":     "An answer of it to a request that was sent after the last one that named its limit names none.",
	"upstream: ended":                       "It cut a run off and nobody listens at its address any more: its end is held against what was cut off there.",
	"box: was suspended":                    "The machine was suspended for that long (for_ms): requests under way have so much less time, and what is known is older by as much.",
	"caller: cut off":                       "The caller took nothing of its answer for two seconds, or went on taking it long after its time (reason); its connection was reset.",
	"caller: turned away":                   "The box keeps as much for others as its memory allows (memory_used of memory_bound); the request has not run, and was told when to come back.",
	"run: silent":                           "The connection carried nothing more while its upstream, asked twice on a fresh one, had made more events than came (made, events), or knew nothing of the run: it was ended, and goes on elsewhere where it may.",
	"run: moves":                            "The answer would not end in its caller's time where it runs (here_ms), and would elsewhere (there_ms): its memory is copied and it goes on there.",
	"run: not moved":                        "Its upstream did not answer the call to copy it; the answer goes on where it is, or breaks off.",
	"run: not retried":                      "The service's retry budget on this box is used up: of window_ms count taken requests and spent retries, and the slack divided by boxes.",
	"run: failed":                           "A run brought nothing: unsent (no connection), refused (the upstream did not run it) or unknown (it may have run).",
}

// meaning is what a line tells, in a sentence.
func meaning(l Line) string {
	if m := meanings[l.Part+": "+l.Event]; m != "" {
		return m
	}
	return "No more is known of this kind of line."
}
