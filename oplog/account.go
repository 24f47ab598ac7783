package oplog

// This file defines Account, a summary of the requests in a log: how those of each class ended,
// with counts of retries, cache misses and migrations. The invariant: each request's line is
// counted under exactly one outcome, in its class and in the time span in which it ended.

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is how a request ended for its caller.
type Outcome int

// The outcomes, best first.
const (
	OnTime       Outcome = iota
	LateStart            // the answer, or the first event of a stream, came after its latency target
	LatePause            // a pause between two events of the stream was too long
	Refused              // the request did not run; the caller was told when to retry
	Unfinished           // the deadline passed while the answer was streaming
	Interrupted          // the stream ended before the answer was complete
	Failed               // no answer, or an answer with an error status
	Disconnected         // the caller disconnected
	outcomeCount
)

// OutcomeNames are the labels of the outcomes in tables and charts.
var OutcomeNames = [...]string{
	OnTime: "in time", LateStart: "late", LatePause: "late pause", Refused: "refused", Unfinished: "unfinished", Interrupted: "cut", Failed: "failed", Disconnected: "left",
}

// Counts holds counters and sums over a set of requests.
type Counts struct {
	Requests            int
	Outcomes            [outcomeCount]int
	RetriedAfterRefusal int           // retries after a refusal, recognized by their remaining time
	MultipleRuns        int           // requests sent to more than one upstream
	CacheMisses         int           // requests whose upstream was not expected to have their prompt cached
	CacheFetches        int           // requests whose upstream was told of another one that has the prompt cached
	Migrated            int           // requests whose answer continued at another upstream
	TokensAhead         int           // sum of the prompt tokens queued before each request
	Started             int           // requests whose answer began
	TimeToFirst         time.Duration // sum over Started requests until the answer began: queueing and prompt processing
	TimeAfterFirst      time.Duration // sum over Started requests from the beginning of the answer to its end
}

// Group holds the counts of one class, over the whole log or in one time span.
type Group struct {
	Class string
	Start time.Time
	Counts
}

// Account summarizes the requests in a log.
type Account struct {
	Start        time.Time // start of the first span
	Span         time.Duration
	Classes      []Group // sorted by class
	Spans        []Group // sorted by time, then by class
	DroppedLines int     // log lines that boxes dropped; their requests are not counted
}

// Summarize returns the account of lines, which must be sorted by time, in spans of length span.
func Summarize(lines []Line, span time.Duration) *Account {
	a := &Account{Span: span}
	classes := make(map[string]*Group)
	spans := make(map[spanKey]*Group)
	for _, l := range lines {
		a.DroppedLines += intValue(l.Fields["lines_left_out"]) + intValue(l.Fields["lines_dropped"])
		class := stringValue(l.Fields["route"])
		if l.Component != "request" || class == "" {
			continue // not about a request, or refused before its class was known
		}
		if a.Start.IsZero() {
			a.Start = l.Time
		}
		at := l.Time.Sub(a.Start).Truncate(span)
		getOrAdd(classes, class, Group{Class: class, Start: a.Start}).add(l)
		getOrAdd(spans, spanKey{at, class}, Group{Class: class, Start: a.Start.Add(at)}).add(l)
	}
	a.Classes, a.Spans = sortedGroups(classes), sortedGroups(spans)
	return a
}

// spanKey identifies a class in a time span; at is the offset of the span from the first one.
type spanKey struct {
	at    time.Duration
	class string
}

// getOrAdd returns the group stored under key; if there is none it stores and returns fresh.
func getOrAdd[K comparable](groups map[K]*Group, key K, fresh Group) *Group {
	if groups[key] == nil {
		groups[key] = &fresh
	}
	return groups[key]
}

// sortedGroups returns the groups sorted by time, then by class.
func sortedGroups[K comparable](groups map[K]*Group) []Group {
	list := make([]Group, 0, len(groups))
	for _, g := range groups {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Class, b.Class)) })
	return list
}

// add counts the log line of one request.
func (c *Counts) add(l Line) {
	c.Requests++
	c.Outcomes[outcomeOf(l)]++
	c.TokensAhead += intValue(l.Fields["ahead"])
	c.RetriedAfterRefusal += boolToInt(l.Fields["came_back"] == true)
	c.MultipleRuns += boolToInt(intValue(l.Fields["runs"]) > 1)
	c.CacheMisses += boolToInt(l.Fields["kept"] == false)
	c.CacheFetches += boolToInt(l.Fields["fetched"] == true)
	c.Migrated += boolToInt(l.Fields["moved"] == true)
	first, total := millisValue(l.Fields["first_ms"]), millisValue(l.Fields["total_ms"])
	if first > 0 {
		c.Started++
		c.TimeToFirst += first
		c.TimeAfterFirst += max(0, total-first)
	}
}

// firstErrorStatus is the lowest HTTP status that counts as a failure.
const firstErrorStatus = 400

// outcomeOf returns how a request ended for its caller.
func outcomeOf(l Line) Outcome {
	switch l.Event {
	case "answered":
		return answerOutcome(l)
	case "cut by the stop":
		return Interrupted
	case "broken off", "caller left", "caller does not read":
		return brokenStreamOutcome(l)
	case "refused", "too much before it", "no upstream":
		return Refused
	}
	return Failed
}

// deadlineToleranceMS is the remaining time, in ms, below which a stream that broke off counts as
// having reached its deadline: network delay makes the caller's deadline differ from the box's.
const deadlineToleranceMS = 150

// brokenStreamOutcome classifies a request that broke off, by its event and its remaining time.
func brokenStreamOutcome(l Line) Outcome {
	remaining, known := l.Fields["left_ms"].(float64)
	_, began := l.Fields["late_pauses"]
	switch {
	case known && began && remaining < deadlineToleranceMS:
		return Unfinished
	case l.Event == "caller left", l.Event == "caller does not read":
		return Disconnected
	}
	return Interrupted
}

// answerOutcome classifies an answer by its status and its latency: of the first event for a
// stream, of the whole answer otherwise.
func answerOutcome(l Line) Outcome {
	took := intValue(l.Fields["total_ms"])
	if _, isStream := l.Fields["late_pauses"]; isStream {
		took = intValue(l.Fields["first_ms"])
	}
	target := intValue(l.Fields["target_ms"])
	switch {
	case intValue(l.Fields["status"]) >= firstErrorStatus:
		return Failed
	case target > 0 && took > target:
		return LateStart
	case intValue(l.Fields["late_pauses"]) > 0:
		return LatePause
	}
	return OnTime
}

// intValue returns a field's number truncated to an int, 0 if the field is missing or not a number.
func intValue(v any) int {
	f, _ := v.(float64)
	return int(f)
}

// millisValue returns a field given in milliseconds as a duration.
func millisValue(v any) time.Duration { return time.Duration(intValue(v)) * time.Millisecond }

func boolToInt(ok bool) int {
	if ok {
		return 1
	}
	return 0
}
