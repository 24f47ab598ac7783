package main

// This file defines the output of `relay status`: the boxes, the upstreams as the first box
// sees them, and the traffic between boxes. Invariant: an unknown value is printed as such.

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/doormast/doormast/wire"
)

// column defines one column of a table whose rows have type T.
type column[T any] struct {
	title string
	value func(T) string
}

// boxColumns are the columns of the table of boxes.
var boxColumns = []column[*wire.StateResponse]{
	{"BOX", func(s *wire.StateResponse) string { return s.Box }},
	{"DOMAIN", func(s *wire.StateResponse) string { return s.Domain }},
	{"READY", func(s *wire.StateResponse) string { return strconv.FormatBool(s.Ready) }},
	{"OPEN", func(s *wire.StateResponse) string { return count(s.Open) }},
	{"VERSION", func(s *wire.StateResponse) string { return count(s.Version) }},
	{"AGE", func(s *wire.StateResponse) string { return micros(s.ConfirmedAge).Round(time.Millisecond).String() }},
	{"LEAD", func(s *wire.StateResponse) string { return s.Lead }},
	{"BOXES", func(s *wire.StateResponse) string { return count(s.Boxes) }},
	{"RETRIES LEFT", retriesLeft},
	{"MEMORY", func(s *wire.StateResponse) string { return boxMemory(s.Memory) }},
	{"TURNED AWAY", func(s *wire.StateResponse) string { return count(s.Memory.GetTurnedAway()) }},
	{"CUT OFF", func(s *wire.StateResponse) string { return count(s.Memory.GetCutOff()) }},
}

// upstreamColumns are the columns of the table of upstreams.
var upstreamColumns = []column[*wire.UpstreamRow]{
	{"UPSTREAM", func(u *wire.UpstreamRow) string { return u.Id }},
	{"SERVICE", func(u *wire.UpstreamRow) string { return u.Service }},
	{"ADDRESS", func(u *wire.UpstreamRow) string { return u.Address }},
	{"DOMAIN", func(u *wire.UpstreamRow) string { return u.Domain }},
	{"STATE", upstreamState},
	{"LANE", upstreamLane},
	{"OPEN", func(u *wire.UpstreamRow) string { return count(u.Open) }},
	{"UNREAD TOKENS", func(u *wire.UpstreamRow) string { return count(u.Unread) }},
	{"HELD", func(u *wire.UpstreamRow) string { return count(u.Held) }},
	{"MEMORY", func(u *wire.UpstreamRow) string { return orNotKnown(u.Memory, count) }},
	{"LIMIT", formatLimit},
	{"WAY", func(u *wire.UpstreamRow) string { return orNotKnown(u.Way, formatMicros) }},
	{"BORN", func(u *wire.UpstreamRow) string { return orNotKnown(u.Born, formatUnixMilli) }},
}

// trafficColumns are the columns of the table of messages sent, after the box's name.
var trafficColumns = []column[*wire.TrafficRow]{
	{"HAS SENT", func(t *wire.TrafficRow) string { return t.Kind }},
	{"TO BOXES OF", func(t *wire.TrafficRow) string { return t.Reach }},
	{"MESSAGES", func(t *wire.TrafficRow) string { return count(t.Messages) }},
	{"BYTES", func(t *wire.TrafficRow) string { return count(t.Bytes) }},
}

// retryColumns are the columns of the table of retry budgets, after the box's name.
var retryColumns = []column[*wire.RetryRow]{
	{"RETRIES OF SERVICE", func(r *wire.RetryRow) string { return r.Service }},
	{"REQUESTS", func(r *wire.RetryRow) string { return count(r.Taken) }},
	{"RETRIES", func(r *wire.RetryRow) string { return count(r.Spent) }},
	{"LEFT", func(r *wire.RetryRow) string { return count(r.Left) }},
}

// withheldColumns are the columns of the table of withheld contents and parts of prompts, after the
// box's name.
var withheldColumns = []column[*wire.WithheldRow]{
	{"WITHHOLDS", withheldSubject},
	{"UPSTREAMS ENDED", func(c *wire.WithheldRow) string { return count(c.Ended) }},
	{"FOR", func(c *wire.WithheldRow) string { return micros(c.Left).Round(time.Second).String() }},
}

// withheldSubject names a content, or parts of prompts and their service.
func withheldSubject(c *wire.WithheldRow) string {
	if len(c.Parts) == 0 {
		return c.Content
	}
	return strings.TrimSpace(c.Content + " parts " + strings.Join(c.Parts, "+") + " of " + c.Service)
}

// showStates prints the boxes, the upstreams as the first box sees them, and per box the
// retry budgets, the withheld contents and the traffic to other boxes since the start. A
// box has a traffic row only for the kinds of messages that it has sent.
func showStates(w io.Writer, all []*wire.StateResponse) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	showTable(tw, boxColumns, all)
	fmt.Fprintln(tw)
	showTable(tw, upstreamColumns, all[0].Upstreams)
	showByBox(tw, retryColumns, all, (*wire.StateResponse).GetRetries)
	showByBox(tw, withheldColumns, all, (*wire.StateResponse).GetWithheld)
	showByBox(tw, trafficColumns, all, (*wire.StateResponse).GetTraffic)
	return tw.Flush()
}

// showByBox prints a table of the rows of all boxes, with the box name as first column.
func showByBox[T any](w io.Writer, columns []column[T], all []*wire.StateResponse, rows func(*wire.StateResponse) []T) {
	fmt.Fprintln(w, "\nBOX\t"+titles(columns))
	for _, s := range all {
		for _, row := range rows(s) {
			fmt.Fprintln(w, s.Box+"\t"+cells(columns, row))
		}
	}
}

// showTable prints the column titles and one line per row.
func showTable[T any](w io.Writer, columns []column[T], rows []T) {
	fmt.Fprintln(w, titles(columns))
	for _, row := range rows {
		fmt.Fprintln(w, cells(columns, row))
	}
}

// titles returns the column titles, separated by tabs.
func titles[T any](columns []column[T]) string {
	list := make([]string, len(columns))
	for i, c := range columns {
		list[i] = c.title
	}
	return strings.Join(list, "\t")
}

// cells returns the values of one row, separated by tabs.
func cells[T any](columns []column[T], row T) string {
	list := make([]string, len(columns))
	for i, c := range columns {
		list[i] = c.value(row)
	}
	return strings.Join(list, "\t")
}

func count[N uint32 | uint64](n N) string { return strconv.FormatUint(uint64(n), 10) }

// orNotKnown formats a value; 0 means that the value is unknown.
func orNotKnown[N int64 | uint64](n N, text func(N) string) string {
	if n == 0 {
		return "not known"
	}
	return text(n)
}

// formatUnixMilli formats a time in Unix milliseconds as RFC 3339 in UTC.
func formatUnixMilli(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339Nano) }

// formatMicros formats a duration in microseconds, rounded to 10 µs.
func formatMicros(us uint64) string { return micros(us).Round(10 * time.Microsecond).String() }

// boxMemory formats the memory that a box uses to buffer data for callers and upstreams,
// and its limit if there is one.
func boxMemory(m *wire.MemoryRow) string {
	const kilobyte = 1 << 10
	if m.GetBound() == 0 {
		return fmt.Sprintf("%d KB", m.GetUsed()/kilobyte)
	}
	return fmt.Sprintf("%d of %d KB", m.GetUsed()/kilobyte, m.GetBound()/kilobyte)
}

// retriesLeft returns the smallest number of retries that any service has left at a box.
func retriesLeft(s *wire.StateResponse) string {
	if len(s.Retries) == 0 {
		return "no requests yet"
	}
	return count(s.BudgetLeft)
}

// upstreamState returns the state of an upstream; the first matching state wins.
func upstreamState(u *wire.UpstreamRow) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Evacuated:
		return "evacuated"
	case u.Out:
		return "out of reach"
	case u.PauseLeft > 0:
		return "pauses " + micros(u.PauseLeft).Round(100*time.Millisecond).String()
	case u.ColdLeft > 0:
		return "cold"
	}
	return "ready"
}

// formatLimit formats the rate limit that an upstream announces, the share of it that the
// reporting box may use, and the age of the announcement.
func formatLimit(u *wire.UpstreamRow) string {
	l := u.Limit
	if l == nil {
		return "none"
	}
	return fmt.Sprintf("%g/s, %d in %v here, %v old", l.PerSecond, l.Ration, micros(l.Span).Round(time.Millisecond), micros(l.Age).Round(time.Second))
}

// upstreamLane returns the kind of requests for which an upstream is reserved.
func upstreamLane(u *wire.UpstreamRow) string {
	if u.Tight {
		return "tight streams"
	}
	return "others"
}
