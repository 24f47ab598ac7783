package timeline

// This file defines how a time line is written: as text, as JSON lines, as a
// Chrome trace, and as sentences about one request.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteText writes one line for each event.
func WriteText(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintf(b, "%s %-10s %-14s", time.Unix(0, e.Wall).UTC().Format("15:04:05.000000"), e.Box, e.Kind)
		for _, f := range fields(e) {
			fmt.Fprintf(b, " %s", f)
		}
		b.WriteByte('\n')
	}
	return b.Flush()
}

func fields(e Event) []string {
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

// RequestText is how a request id is written.
func RequestText(id uint64) string { return fmt.Sprintf("%016x", id) }

// WriteJSON writes one JSON object on a line for each event.
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

// traceEvent is an event of the Chrome trace format; times are in microseconds.
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

// WriteTrace writes the Chrome trace format: a span for each state of each
// request, on a track for each class of each box.
func WriteTrace(w io.Writer, events []Event) error {
	out := make([]traceEvent, 0, len(events))
	open := make(map[requestKey]Event)
	for _, e := range events {
		if e.Request == 0 {
			out = append(out, traceEvent{Name: string(e.Kind), Phase: "i", Time: micros(e), Process: e.Box, Thread: "box", Scope: "p"})
			continue
		}
		key := requestKey{e.Box, e.Request}
		if before, ok := open[key]; ok {
			out = append(out, traceEvent{Name: string(before.Kind), Phase: "X", Time: micros(before),
				Duration: max(micros(e)-micros(before), 0.001), Process: e.Box, Thread: before.Class,
				Args: map[string]string{"request": RequestText(e.Request), "upstream": before.Upstream}})
		}
		open[key] = e
		if isEnd(e.Kind) {
			delete(open, key)
		}
	}
	return json.NewEncoder(w).Encode(map[string]any{"traceEvents": out})
}

func micros(e Event) float64 { return float64(e.Wall) / 1000 }

func isEnd(k Kind) bool {
	return k == Answered || k == Refused || k == Unknown || k == Disconnected
}

// Explain tells in sentences what happened to one request.
func Explain(w io.Writer, events []Event, request uint64) error {
	events = Filter(events, request, "", "")
	if len(events) == 0 {
		_, err := fmt.Fprintf(w, "Nothing is known of request %s; the rings may have moved on.\n", RequestText(request))
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

// sentence says what an event means.
func sentence(e Event) string {
	switch e.Kind {
	case Received:
		return fmt.Sprintf("Box %s received it from customer %s as class %s, tier %d.", e.Box, e.Customer, e.Class, e.Tier)
	case Waiting:
		return fmt.Sprintf("It waits for a slot of set %s at owner %s, with %d tokens expected.", e.Set, e.Upstream, e.Value)
	case Granted:
		return fmt.Sprintf("Owner %s granted it a slot of %s.", e.Box, e.Upstream)
	case Leased:
		return fmt.Sprintf("Box %s holds a slot of %s.", e.Box, e.Upstream)
	case Fallback:
		return fmt.Sprintf("The owner was not heard of; box %s took a slot of %s from its own share.", e.Box, e.Upstream)
	case Sending:
		return fmt.Sprintf("It was sent to %s.", e.Upstream)
	case Running:
		return fmt.Sprintf("The first token came from %s.", e.Upstream)
	case Paused:
		return fmt.Sprintf("It was paused on %s after %d tokens, for a higher tier.", e.Upstream, e.Value)
	case Disclaimed:
		return fmt.Sprintf("Upstream %s said that it did not run it.", e.Upstream)
	case Retried:
		return fmt.Sprintf("It is tried again: %s.", words(e.Reason))
	case Answered:
		return fmt.Sprintf("The whole answer of %d tokens reached the caller.", e.Value)
	case Refused:
		return fmt.Sprintf("It was refused and did not run: %s.", words(e.Reason))
	case Unknown:
		return fmt.Sprintf("It ended and may have run: %s.", words(e.Reason))
	case Disconnected:
		return "The caller left; the answer was cancelled."
	case Redirected:
		return fmt.Sprintf("It bids for a slot in another failure domain, at box %s.", e.Upstream)
	case PauseOrdered:
		return fmt.Sprintf("Owner %s asked for a pause, for a higher tier.", e.Box)
	}
	return fmt.Sprintf("Event %s on box %s.", e.Kind, e.Box)
}

func words(reason string) string { return strings.ReplaceAll(reason, "_", " ") }
