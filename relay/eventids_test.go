package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// numbered returns the events with the IDs from first to last.
func numbered(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// brokenRun is a stream whose first run is cut off within an event.
type brokenRun struct {
	name   string
	last   string   // the event after which the caller takes the stream up; empty: it begins it
	first  string   // events of the first run
	second string   // events of the second run
	asked  []string // the events after which the runs were asked to go on
	want   string   // events that the caller gets; it gets an incomplete answer if there is one run
}

// run returns what the caller gets, and after which events the runs were asked to go on.
func (c brokenRun) run(t *testing.T) (got callerResponse, asked []string) {
	script := func(conn net.Conn, r stubRequest) bool {
		startStream(conn, r)
		asked = append(asked, r.Header.Get("X-Last")) // one run at a time
		if len(asked) == 1 {
			if c.first != "" {
				writeChunk(conn, c.first)
			}
			_, _ = io.WriteString(conn, "40\r\nid")
			return false
		}
		writeChunk(conn, c.second)
		writeChunk(conn, "")
		return true
	}
	b := newTestBox(t, newStub(t, "u1", script), newStub(t, "u2", script))
	r := b.request(http.MethodPost, "/flow/x", "body")
	if c.last != "" {
		r.Header.Set("X-Last", c.last)
	}
	return b.do(r), asked
}

// check compares what came with what is due.
func (c brokenRun) check(t *testing.T) {
	is := is.New(t)
	got, asked := c.run(t)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, c.want)
	is.Equal(asked, c.asked)
	is.Equal(got.err != nil, len(c.asked) == 1)
}

// A run whose last events had no ID, or no number, was gone on with from event 0: callers got events twice.
func TestStreamGoesOnAfterWrongEvent(t *testing.T) {
	for _, c := range []brokenRun{
		{"comment first, taken up", "5", ": ping\n\n", numbered(6, 8), []string{"5", "5"}, ": ping\n\n" + numbered(6, 8)},
		{"retry time first, taken up", "5", "retry: 100\n\n", numbered(6, 8), []string{"5", "5"}, "retry: 100\n\n" + numbered(6, 8)},
		{"nothing first, taken up", "5", "", numbered(6, 8), []string{"5", "5"}, numbered(6, 8)},
		{"comment first", "", ": ping\n\n", numbered(1, 3), []string{"", ""}, ": ping\n\n" + numbered(1, 3)},
		{"comment last", "", numbered(1, 2) + ": ping\n\n", numbered(3, 4), []string{"", "2"}, numbered(1, 2) + ": ping\n\n" + numbered(3, 4)},
		{"IDs from 0", "", numbered(0, 0), numbered(0, 3), []string{"", "0"}, numbered(0, 3)},
		{"IDs from 0 after a comment", "", ": ping\n\n" + numbered(0, 1), numbered(2, 3), []string{"", "1"}, ": ping\n\n" + numbered(0, 3)},
		{"IDs from -2", "", numbered(-2, -1), numbered(0, 3), []string{"", "-1"}, numbered(-2, 3)},
		{"IDs that jump", "", numbered(7, 7) + numbered(90, 90), numbered(200, 201), []string{"", "90"}, numbered(7, 7) + numbered(90, 90) + numbered(200, 201)},
		{"no ID", "", "data: a\n\n", "", []string{""}, "data: a\n\n"},
		{"no ID, event without data", "", "event: a\n\n", "", []string{""}, "event: a\n\n"},
		{"no ID after one", "", numbered(1, 1) + "data: b\n\n", "", []string{""}, numbered(1, 1) + "data: b\n\n"},
		{"no ID before one", "", "data: a\n\n" + numbered(2, 2), numbered(3, 3), []string{"", "2"}, "data: a\n\n" + numbered(2, 3)},
		{"ID that is no number", "", "id: a\ndata: a\n\n", "", []string{""}, "id: a\ndata: a\n\n"},
		{"ID that is no number, taken up", "a", "", "id: b\ndata: b\n\n", []string{"a", "a"}, "id: b\ndata: b\n\n"},
	} {
		t.Run(c.name, c.check)
	}
}

// Lines of one event that end in two ways hid its end, and a byte order mark hid an ID: callers got events
// twice, or late.
func TestLineEndingHidesEvent(t *testing.T) {
	for _, c := range []struct {
		name  string
		first string // events 1 and 2
	}{
		{"LF", numbered(1, 2)},
		{"CRLF", strings.ReplaceAll(numbered(1, 2), "\n", "\r\n")},
		{"LF, empty lines with CRLF", strings.ReplaceAll(numbered(1, 2), "\n\n", "\n\r\n")},
		{"CRLF, empty lines with LF", strings.ReplaceAll(strings.ReplaceAll(numbered(1, 2), "\n", "\r\n"), "\r\n\r\n", "\r\n\n")},
		{"one of each", event(1) + "id: 2\r\ndata: d2\r\n\r\n"},
		{"one with an empty line with CRLF", "id: 1\ndata: d1\n\r\n" + event(2)},
		{"byte order mark", "\ufeff" + numbered(1, 2)},
		{"byte order mark before a comment", "\ufeff: ping\n\n" + numbered(1, 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkSplits(t, c.first)
			brokenRun{"", "", c.first, numbered(1, 4), []string{"", "2"}, c.first + numbered(3, 4)}.check(t)
		})
	}
	t.Run("byte order mark before the only event", func(t *testing.T) {
		brokenRun{"", "", "\ufeff" + event(1), numbered(2, 4), []string{"", "1"}, "\ufeff" + numbered(1, 4)}.check(t)
	})
}

// checkSplits reads two events whose bytes arrive in two parts, split at each byte.
func checkSplits(t *testing.T, text string) {
	is := is.New(t)
	for at := range len(text) {
		e := &eventReader{src: io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:]))}
		var got strings.Builder
		for {
			events, err := e.next()
			if err != nil {
				is.Equal(err, io.EOF)
				break
			}
			got.Write(events)
		}
		is.Equal(got.String(), text)
		is.Equal(e.lastID, int64(2))
	}
}

// Where an upstream began with events that the caller of a taken up stream had, the caller got them twice.
func TestStreamTakenUpBeginsWithEarlierEvents(t *testing.T) {
	for _, c := range []brokenRun{
		{"the last event", "5", numbered(5, 6), numbered(7, 8), []string{"5", "6"}, numbered(6, 8)},
		{"the last event alone", "5", numbered(5, 5), numbered(6, 8), []string{"5", "5"}, numbered(6, 8)},
		{"all events, as it does not go on", "5", numbered(1, 6), numbered(1, 8), []string{"5", "6"}, numbered(6, 8)},
		{"the last event, with ID 0", "0", numbered(0, 1), numbered(2, 2), []string{"0", "1"}, numbered(1, 2)},
		{"the last event behind a comment", "5", ": ping\n\n" + numbered(5, 5), numbered(5, 6), []string{"5", "5"}, ": ping\n\n" + numbered(6, 6)},
		{"no event, as there are no more", "8", "", "", []string{"8", "8"}, ""},
	} {
		t.Run(c.name, c.check)
	}
}
