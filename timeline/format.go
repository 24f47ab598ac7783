package timeline

// This file defines the output formats of a time line: text, JSON lines, a Chrome trace, and an
// explanation of one request in sentences.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteText writes one line of text per event, with those fields that are not zero.
func WriteText(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintf(b, "%s %-10s %-14s", time.Unix(0, e.Wall).UTC().Format("15:04:05.000000"), e.Box, e.Kind)
		for _, f := range nonZeroFields(e) {
			fmt.Fprintf(b, " %s", f)
		}
		b.WriteByte('\n')
	}
	return b.Flush()
}

func nonZeroFields(e Event) []string {
	var out []string
	add := func(name string, value any, ok bool) {
		if ok {
			out = append(out, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add("request", RequestText(e.Request), e.Request != 0)
	add("class", e.Class, e.Class != "")
	add("tier", e.Tier, e.Tier != 0)
	add("customer", e.Customer, e.Customer != "")
	add("upstream", e.Upstream, e.Upstream != "")
	add("set", e.Set, e.Set != "")
	add("reason", e.Reason, e.Reason != "")
	add("revision", e.Revision, e.Revision != 0)
	add("value", e.Value, e.Value != 0)
	return out
}

// RequestText formats a request id as 16 hexadecimal digits.
func RequestText(id uint64) string { return fmt.Sprintf("%016x", id) }

// WriteJSON writes one JSON object per event, each on its own line.
func WriteJSON(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	for i := range events {
		if err := e.Encode(&events[i]); err != nil {
			return err
		}
	}
	return b.Flush()
}

// traceEvent is an event of the Chrome trace format. Times are in microseconds.
type traceEvent struct {
	Name     string            `json:"name"`
	Phase    string            `json:"ph"`
	Time     float64           `json:"ts"`
	Duration float64           `json:"dur,omitempty"`
	Process  string            `json:"pid"`
	Thread   string            `json:"tid"`
	Scope    string            `json:"s,omitempty"`
	Args     map[string]string `json:"args,omitempty"`
}

// WriteTrace writes the events in the Chrome trace format: a span for each state of each request,
// on one track per class and box, and an instant event for each event without a request.
func WriteTrace(w io.Writer, events []Event) error {
	out := make([]traceEvent, 0, len(events))
	open := make(map[requestKey]Event)
	for _, e := range events {
		if e.Request == 0 {
			out = append(out, traceEvent{Name: string(e.Kind), Phase: "i", Time: microseconds(e), Process: e.Box, Thread: "box", Scope: "p"})
			continue
		}
		key := requestKey{e.Box, e.Request}
		if previous, ok := open[key]; ok {
			out = append(out, traceEvent{Name: string(previous.Kind), Phase: "X", Time: microseconds(previous),
				Duration: max(microseconds(e)-microseconds(previous), 0.001), Process: e.Box, Thread: previous.Class,
				Args: map[string]string{"request": RequestText(e.Request), "upstream": previous.Upstream}})
		}
		open[key] = e
		if isFinal(e.Kind) {
			delete(open, key)
		}
	}
	return json.NewEncoder(w).Encode(map[string]any{"traceEvents": out})
}

func microseconds(e Event) float64 { return float64(e.Wall) / 1000 }

func isFinal(k Kind) bool {
	return k == Answered || k == Refused || k == Unknown || k == Disconnected
}

// Explain writes one sentence per event of the request, with the time since its first event.
func Explain(w io.Writer, events []Event, request uint64) error {
	events = Filter(events, request, "", "")
	if len(events) == 0 {
		_, err := fmt.Fprintf(w, "No events of request %s are stored; newer events may have replaced them.\n", RequestText(request))
		return err
	}
	start := events[0].Wall
	for _, e := range events {
		after := time.Duration(e.Wall - start).Round(10 * time.Microsecond)
		if _, err := fmt.Fprintf(w, "%10s  %s\n", after, sentence(e)); err != nil {
			return err
		}
	}
	return nil
}

// sentence describes an event in words.
func sentence(e Event) string {
	switch e.Kind {
	case Received:
		return fmt.Sprintf("Box %s received it from customer %s as class %s, tier %d.", e.Box, e.Customer, e.Class, e.Tier)
	case Waiting:
		return fmt.Sprintf("It waits for a slot of set %s from owner %s, with %d tokens expected.", e.Set, e.Upstream, e.Value)
	case Granted:
		return fmt.Sprintf("Owner %s granted it a slot of %s.", e.Box, e.Upstream)
	case Leased:
		return fmt.Sprintf("Box %s holds a slot of %s.", e.Box, e.Upstream)
	case Fallback:
		return fmt.Sprintf("Nothing was heard from the owner; box %s took a slot of %s from its own share.", e.Box, e.Upstream)
	case Sending:
		return fmt.Sprintf("It was sent to %s.", e.Upstream)
	case Running:
		return fmt.Sprintf("The first token arrived from %s.", e.Upstream)
	case Paused:
		return fmt.Sprintf("It was paused on %s after %d tokens in favour of a higher tier.", e.Upstream, e.Value)
	case Disclaimed:
		return fmt.Sprintf("Upstream %s reported that it did not run the request.", e.Upstream)
	case Retried:
		return fmt.Sprintf("It is retried: %s.", withSpaces(e.Reason))
	case Answered:
		return fmt.Sprintf("The complete answer of %d tokens reached the caller.", e.Value)
	case Refused:
		return fmt.Sprintf("It was refused and did not run: %s.", withSpaces(e.Reason))
	case Unknown:
		return fmt.Sprintf("It ended and may have run: %s.", withSpaces(e.Reason))
	case Disconnected:
		return "The caller disconnected; the answer was cancelled."
	case Redirected:
		return fmt.Sprintf("It asks for a slot in another failure domain, at box %s.", e.Upstream)
	case PauseOrdered:
		return fmt.Sprintf("Owner %s asked for a pause in favour of a higher tier.", e.Box)
	}
	return fmt.Sprintf("Event %s on box %s.", e.Kind, e.Box)
}

func withSpaces(reason string) string { return strings.ReplaceAll(reason, "_", " ") }
