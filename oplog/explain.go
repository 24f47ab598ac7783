package oplog

// This file defines Explain, which prints the log lines of one request together with the state
// changes that its boxes logged shortly before and during it. The invariant: every line with the
// request's id is printed.

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// lookback is how long before a request's first line a state change counts as relevant to it:
// the longest time for a document or the departure of an upstream to reach the boxes.
const lookback = 5 * time.Second

// Explain writes the lines of the request id, each with its meaning, and the state changes
// relevant to it. The lines must be sorted by time. The error is an *Error of
// KindRequestNotFound if no line has the id, or a write error of w.
func Explain(w io.Writer, lines []Line, id string) error {
	own := linesOfRequest(lines, id)
	if len(own) == 0 {
		return &Error{Op: "explain " + id, Kind: KindRequestNotFound}
	}
	s := newScope(own)
	for _, l := range lines {
		var err error
		switch {
		case stringValue(l.Fields["id"]) == id:
			_, err = fmt.Fprintf(w, "%s\n  %s\n", l, describe(l))
		case s.contains(l) && isRelevant(l, s.upstreams), s.isEvidence(l):
			_, err = fmt.Fprintf(w, "    %s\n", l)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// scope is the time window, boxes and upstreams of a request.
type scope struct {
	from, to  time.Time
	boxes     map[string]bool
	upstreams map[string]bool // keyed by id
	crashes   map[string]bool // held against the request, keyed as lines name them
	parts     string          // of prompts, for which the request was refused
}

// newScope derives the scope from the request's own lines, of which there must be at least one.
func newScope(own []Line) scope {
	s := scope{
		from:      own[0].Time.Add(-lookback),
		to:        own[len(own)-1].Time,
		boxes:     make(map[string]bool),
		upstreams: make(map[string]bool),
		crashes:   make(map[string]bool),
	}
	for _, l := range own {
		s.boxes[l.Box] = true
		s.upstreams[stringValue(l.Fields["upstream"])] = true
		for _, crash := range strings.Fields(stringValue(l.Fields["crashes"])) {
			s.crashes[crash] = true
		}
		if l.Event == "refused" {
			s.parts = stringValue(l.Fields["parts"])
		}
	}
	return s
}

// isEvidence reports whether a line of any box, at any time before the request's end, tells why
// the request was withheld: the crashes held against it, and since when its parts are withheld.
func (s scope) isEvidence(l Line) bool {
	if l.Time.After(s.to) {
		return false
	}
	switch l.Component {
	case "upstream":
		return s.crashes[stringValue(l.Fields["crash"])]
	case "part":
		return s.parts != "" && stringValue(l.Fields["parts"]) == s.parts
	}
	return false
}

// contains reports whether a line comes from one of the boxes within the time window.
func (s scope) contains(l Line) bool {
	return !l.Time.Before(s.from) && !l.Time.After(s.to) && s.boxes[l.Box]
}

// linesOfRequest returns the lines that have the request's id.
func linesOfRequest(lines []Line, id string) []Line {
	var own []Line
	for _, l := range lines {
		if stringValue(l.Fields["id"]) == id {
			own = append(own, l)
		}
	}
	return own
}

// isRelevant reports whether a state change may have affected a request that was sent to the
// given upstreams.
func isRelevant(l Line, upstreams map[string]bool) bool {
	switch l.Component {
	case "document", "domain", "publisher", "box", "group", "settings", "published", "content":
		return true
	case "upstream":
		return upstreams[stringValue(l.Fields["upstream"])]
	}
	return false
}

// descriptions explains each kind of line; the key is "component: event".
var descriptions = map[string]string{
	"request: answered":                     "The upstream's answer was sent to the caller.",
	"request: refused":                      "The box refused the request without asking an upstream. The line has the reason, and the version and age of the document.",
	"request: no upstream":                  "No upstream was left to try: all were leaving, unreachable, or had been tried.",
	"request: too much before it":           "The upstream had so many prompt tokens queued before this request (ahead) that the answer would have been late; the caller was told when to retry.",
	"request: upstreams ask for a pause":    "All upstreams of the service asked this box to pause for longer than the caller waits; the caller was told when the first pause ends.",
	"request: no answer":                    "A run may have happened and returned no answer; the route, the number of attempts or the retry budget allowed no other run.",
	"request: out of time":                  "The deadline of the caller or of the route passed while an upstream was processing the request.",
	"request: broken off":                   "The run ended before the stream was complete and could not continue on another upstream; the caller's connection was closed.",
	"request: cut by the stop":              "The grace period of the box's shutdown ended while an upstream was processing the request; the exit of the process interrupted the answer.",
	"request: caller left":                  "The caller closed its connection; the run was cancelled.",
	"request: caller does not read":         "The caller read nothing of its answer for seconds and was disconnected; this does not count as a failure of the upstream.",
	"part: withheld":                        "Upstreams crashed under requests that share these parts of their prompts (ended, and crashes, by which the lines of upstreams that ended are found): requests that hold all of them are refused until for_ms have passed or one of them is answered completely.",
	"part: no longer withheld":              "Requests with these parts may run again: one of them was answered completely, or another part explains the crashes.",
	"content: no longer withheld":           "The content may run again: it was answered completely, or a part of its prompt explains the crashes.",
	"run: not repeated":                     "The run was cut off, and several upstreams have crashed under its content or under parts of its prompt that nothing else explains: it is not sent to another one.",
	"content: withheld":                     "Upstreams crashed while processing this content (ended counts the crashes that boxes saw or reported to each other): it is refused until for_ms have passed or it gets a complete answer.",
	"upstream: says that it is leaving":     "An answer of the upstream to this box says so: this box sends it nothing more until it restarts, whatever its entry in the list says (list_age_ms).",
	"upstream: asks for a pause":            "The upstream rejected a request and asked this box to send none for pause_ms (asked is the value it sent); requests resume after till_ms.",
	"upstream: used as before its pause":    "The upstream's share of requests has grown back to its level before the pause.",
	"upstream: asked whether it is leaving": "The upstream has restarted, and the answers that said it is leaving may have come from its current process; it gets requests unless it says so again.",
	"upstream: pause not taken":             "The upstream rejected a request with an invalid pause duration; why says what is wrong.",
	"upstream: names a limit":               "An answer of the upstream, to this box or to one that reported it, gives the requests per second it accepts from all boxes together (per_second; before is the previous limit). This box sent it sent_lately requests in the last span_ms, and may send it ration requests in any ration_span_ms from now on.",
	"upstream: total sent before its limit": "All boxes together sent the upstream sent_by_all requests before they knew its limit, which began age_ms ago; what they leave of the bound may be sent in the first span under the limit, and this box's part of it at once.",
	"upstream: names no limit any more":     "The upstream answered a request, sent after the last one whose answer gave its limit, without giving a limit.",
	"upstream: ended":                       "The upstream broke off a run and its address no longer accepts connections: its crash is counted against the content of the runs it broke off, and against the parts of their prompts; other lines name it by crash.",
	"box: cannot accept":                    "The box cannot accept connections (error; serves tells of whom); it goes on trying, and is not ready meanwhile if they are callers.",
	"box: accepts again":                    "The box accepts connections again.",
	"box: was suspended":                    "The machine was suspended for for_ms: the remaining time of requests in progress is shorter, and the box's state is older, by that much.",
	"caller: cut off":                       "The caller read nothing of its answer for two seconds, or was still reading long after its deadline (reason); its connection was reset.",
	"caller: turned away":                   "The box has reached its memory limit (memory_used of memory_bound); the request did not run, and the caller was told when to retry.",
	"run: silent":                           "The connection delivered nothing more, while the upstream, asked twice on a new connection, had produced more events than arrived (made, events) or did not know the run: the run was ended, and continues on another upstream if allowed.",
	"run: continues":                        "The stream goes on at an upstream, after its run failed (resumed), with its memory (moved), or with its caller's next request (taken_up); began_software and software are the versions of the two upstreams.",
	"run: moves":                            "The answer would miss the caller's deadline on its upstream (here_ms) but meet it on another (there_ms): its memory is copied there and the run continues there.",
	"run: asked to move":                    "The upstream answered the call to stop the run and to copy its memory, with status; copy names the memory, if there is any.",
	"run: not moved":                        "The upstream did not answer the call to copy the run; the answer continues there, or breaks off.",
	"run: not retried":                      "The service's retry budget on this box is exhausted: it follows from the requests (taken) and retries (spent) of the last window_ms, and the slack divided by boxes.",
	"run: retried":                          "A retry was sent sent_ms_ago and reached its upstream between then and now, or never: answered tells whether there is a response. On this box, which started up_ms ago, taken requests and spent retries of the service count in the window; the slack is divided by boxes. A retry for a move was paid for paid_ms_before it was sent.",
	"run: failed":                           "A run returned nothing: unsent (no connection), refused (the upstream did not run it) or unknown (it may have run).",
}

// describe returns a sentence that explains the line.
func describe(l Line) string {
	if m := descriptions[l.Component+": "+l.Event]; m != "" {
		return m
	}
	return "This kind of line has no description."
}
