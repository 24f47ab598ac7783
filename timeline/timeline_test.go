package timeline

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withWallTimes sets the wall time of each event to its index, and the box to "b" where it is missing.
func withWallTimes(events ...Event) []Event {
	for i := range events {
		events[i].Wall = int64(i)
		if events[i].Box == "" {
			events[i].Box = "b"
		}
	}
	return events
}

// TestCheck checks that Check reports each kind of violation and none for a valid time line.
func TestCheck(t *testing.T) {
	received := Event{Kind: Received, Request: 1, Class: "once", Tier: 2}
	sending := Event{Kind: Sending, Request: 1, Class: "once"}
	for _, c := range []struct {
		name   string
		events []Event
		want   string
	}{
		{"valid", withWallTimes(received, sending, Event{Kind: Answered, Request: 1}), ""},
		{"sent again after the upstream did not run it", withWallTimes(received, sending, Event{Kind: Disclaimed, Request: 1}, sending, Event{Kind: Answered, Request: 1}), ""},
		{"sent twice", withWallTimes(received, sending, sending), InvariantAtMostOnce},
		{"refused after sending", withWallTimes(received, sending, Event{Kind: Refused, Request: 1}), InvariantRefusedNotRun},
		{"ended twice", withWallTimes(received, Event{Kind: Refused, Request: 1}, Event{Kind: Answered, Request: 1}), InvariantSingleEnd},
		{"sent after its end", withWallTimes(received, Event{Kind: Refused, Request: 1}, sending), InvariantSingleEnd},
		{"table revision decreases", withWallTimes(Event{Kind: TableAdopted, Revision: 2}, Event{Kind: TableAdopted, Revision: 1}), InvariantRevisionOrder},
		{"lower table revision on another box", withWallTimes(Event{Kind: TableAdopted, Revision: 2}, Event{Kind: TableAdopted, Revision: 1, Box: "c"}), ""},
		{"evicted while a lower tier waits", withWallTimes(received, Event{Kind: Refused, Request: 1, Reason: "evicted", LowerWaiting: 1}), InvariantTierOrder},
		{"late while a lower tier runs", withWallTimes(received, Event{Kind: Refused, Request: 1, Reason: "late", LowerRunning: 1}), InvariantTierOrder},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Check(c.events, func(string) bool { return false })
			if c.want == "" {
				is.Equal(len(got), 0)
				return
			}
			is.Equal(len(got), 1)
			is.Equal(got[0].Invariant, c.want)
		})
	}
}

// TestClock checks that stamps after a received message are later than its stamp even if the
// receiver's wall clock is behind, and that a stamp far in the future is ignored.
func TestClock(t *testing.T) {
	is := is.New(t)
	var a, b Clock
	now := time.Unix(1000, 0)
	sent := a.Now(now.Add(time.Second))
	b.Observe(now, sent)
	is.True(b.Now(now).Compare(sent) > 0)
	b.Observe(now, Stamp{Wall: now.Add(time.Hour).UnixNano()})
	is.True(b.Now(now.Add(2*time.Second)).Wall < now.Add(time.Minute).UnixNano())
}

func TestRingAndMerge(t *testing.T) {
	is := is.New(t)
	r := NewRing(3)
	for i := range 5 {
		r.Add(Event{Stamp: Stamp{Wall: int64(i)}, Box: "a"})
	}
	got := r.Events()
	is.Equal(len(got), 3)
	is.Equal(got[0].Wall, int64(2)) // the oldest two were replaced
	merged := Merge(got, []Event{{Stamp: Stamp{Wall: 3, Logical: 1}, Box: "b"}})
	is.Equal(merged[2].Box, "b")
}

func TestFormats(t *testing.T) {
	is := is.New(t)
	events := withWallTimes(Event{Kind: Received, Request: 0xab, Class: "c", Tier: 1, Customer: "u"}, Event{Kind: Owning, Set: "s"},
		Event{Kind: Sending, Request: 0xab, Class: "c", Upstream: "e"}, Event{Kind: Answered, Request: 0xab, Class: "c", Value: 9})
	var text, lines, trace, explanation bytes.Buffer
	is.NoErr(WriteText(&text, events))
	is.Equal(strings.Count(text.String(), "\n"), 4)
	is.NoErr(WriteJSON(&lines, events))
	var e Event
	is.NoErr(json.NewDecoder(&lines).Decode(&e))
	is.Equal(e.Request, uint64(0xab))
	is.NoErr(WriteTrace(&trace, events))
	is.True(json.Valid(trace.Bytes()))
	is.NoErr(Explain(&explanation, events, 0xab))
	is.True(strings.Contains(explanation.String(), "It was sent to e."))
	is.True(strings.Contains(explanation.String(), "The complete answer of 9 tokens reached the caller."))
	is.Equal(len(Open(events)), 0)
}
