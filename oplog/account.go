package oplog

// This file defines the account of a time: how the requests of each class ended, and what
// that had to do with. The invariant: each request's line is counted under one fate, in the
// class and in the span of time in which it ended.

import (
	"cmp"
	"slices"
	"time"
)

// Fate is how a request ended for its caller.
type Fate int

// The fates, the best first.
const (
	InTime     Fate = iota
	LateFirst       // its answer, or the first of it, came after its target
	LatePause       // a pause between its events was too long
	Refused         // it has not run, and its caller was told when to come back
	Unfinished      // its time was over while its answer went on
	Cut             // its stream broke off midway
	Failed          // it ended without a whole answer, or with a failure
	Left            // its caller left
	fates
)

// FateNames are the fates as tables and pictures show them.
var FateNames = [...]string{
	InTime: "in time", LateFirst: "late", LatePause: "late pause", Refused: "refused", Unfinished: "unfinished", Cut: "cut", Failed: "failed", Left: "left",
}

// Tally is what is told of some requests. Means are over those that it names.
type Tally struct {
	Requests int
	Fates    [fates]int
	CameBack int           // after a refusal, as far as their time left showed
	Again    int           // sent to more than one upstream
	Unkept   int           // their upstream was not thought to keep their prompt
	Fetched  int           // their upstream was told of another that keeps the prompt
	Moved    int           // their answer went on at another upstream
	Ahead    int           // prompt tokens before them, in sum
	Begun    int           // those whose answer began
	First    time.Duration // until it did, in sum: waiting, and the reading of their prompts
	Rest     time.Duration // from then to the end, in sum
}

// Group is a tally of a class, or of a class in a span of time.
type Group struct {
	Class string
	From  time.Time
	Tally
}

// Account is what a log tells of a time.
type Account struct {
	From    time.Time // of the first span
	Span    time.Duration
	Classes []Group // by class
	Spans   []Group // by time, then by class
	LeftOut int     // lines that boxes left out, so that requests are missing
}

// Tell makes the account of lines that are in order, in spans of the length given.
func Tell(lines []Line, span time.Duration) *Account {
	a := &Account{Span: span}
	classes := make(map[string]*Group)
	spans := make(map[spanKey]*Group)
	for _, l := range lines {
		a.LeftOut += numberOf(l.Fields["lines_left_out"]) + numberOf(l.Fields["lines_dropped"])
		class := textOf(l.Fields["route"])
		if l.Part != "request" || class == "" {
			continue // it was refused before its class was known
		}
		if a.From.IsZero() {
			a.From = l.At
		}
		at := l.At.Sub(a.From).Truncate(span)
		groupOf(classes, class, Group{Class: class, From: a.From}).add(l)
		groupOf(spans, spanKey{at, class}, Group{Class: class, From: a.From.Add(at)}).add(l)
	}
	a.Classes, a.Spans = sorted(classes), sorted(spans)
	return a
}

// spanKey is a class in a span of time, since the first.
type spanKey struct {
	at    time.Duration
	class string
}

// groupOf is the group under the key, a new one where there is none.
func groupOf[K comparable](groups map[K]*Group, key K, fresh Group) *Group {
	if groups[key] == nil {
		groups[key] = &fresh
	}
	return groups[key]
}

// sorted lists groups by time, then by class.
func sorted[K comparable](groups map[K]*Group) []Group {
	list := make([]Group, 0, len(groups))
	for _, g := range groups {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Class, b.Class)) })
	return list
}

// add counts a request's line.
func (t *Tally) add(l Line) {
	t.Requests++
	t.Fates[fateOf(l)]++
	t.Ahead += numberOf(l.Fields["ahead"])
	t.CameBack += oneIf(l.Fields["came_back"] == true)
	t.Again += oneIf(numberOf(l.Fields["runs"]) > 1)
	t.Unkept += oneIf(l.Fields["kept"] == false)
	t.Fetched += oneIf(l.Fields["fetched"] == true)
	t.Moved += oneIf(l.Fields["moved"] == true)
	first, total := millisOf(l.Fields["first_ms"]), millisOf(l.Fields["total_ms"])
	if first > 0 {
		t.Begun++
		t.First += first
		t.Rest += max(0, total-first)
	}
}

// failures is the status from which on an answer is a failure.
const failures = 400

// fateOf says how a request ended for its caller.
func fateOf(l Line) Fate {
	switch l.Event {
	case "answered":
		return fateOfAnswer(l)
	case "cut by the stop":
		return Cut
	case "broken off", "caller left", "caller does not read":
		return fateOfBreak(l)
	case "refused", "too much before it", "no upstream":
		return Refused
	}
	return Failed
}

// nearEnd is how near to the end of its time, in ms, an answer that breaks off is taken to have
// run out of it: a caller's clock and the box's differ by what is on its way.
const nearEnd = 150

// fateOfBreak tells answers that broke off apart by whether any time was left.
func fateOfBreak(l Line) Fate {
	left, known := l.Fields["left_ms"].(float64)
	_, began := l.Fields["late_pauses"]
	switch {
	case known && began && left < nearEnd:
		return Unfinished
	case l.Event == "caller left", l.Event == "caller does not read":
		return Left
	}
	return Cut
}

// fateOfAnswer tells answers apart by their status and when they came.
func fateOfAnswer(l Line) Fate {
	took := numberOf(l.Fields["total_ms"])
	if _, isStream := l.Fields["late_pauses"]; isStream {
		took = numberOf(l.Fields["first_ms"])
	}
	target := numberOf(l.Fields["target_ms"])
	switch {
	case numberOf(l.Fields["status"]) >= failures:
		return Failed
	case target > 0 && took > target:
		return LateFirst
	case numberOf(l.Fields["late_pauses"]) > 0:
		return LatePause
	}
	return InTime
}

// numberOf is a field's number, 0 where the field is missing or no number.
func numberOf(v any) int {
	f, _ := v.(float64)
	return int(f)
}

// millisOf is a field's time.
func millisOf(v any) time.Duration { return time.Duration(numberOf(v)) * time.Millisecond }

func oneIf(ok bool) int {
	if ok {
		return 1
	}
	return 0
}
