// Package oplog reads the logs of relaying boxes, merges them, explains what happened to a
// request and summarizes how requests ended.
package oplog

// This file defines Line and the reading of logs. The invariant: text that is not a log line of a
// box is counted and skipped, never an error, since log pipelines mix and truncate lines.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line of a box.
type Line struct {
	Time      time.Time
	Box       string
	Component string // of the box, the part of msg before ": "
	Event     string
	Fields    map[string]any // the other fields of the line, by name
}

const (
	// maxLineBytes is the longest line that Read accepts.
	maxLineBytes = 1 << 20
	// initialBufferBytes is the initial size of the read buffer.
	initialBufferBytes = 64 << 10
)

// Read reads the lines of a log; skipped counts the lines that are not log lines of a box. Text
// before the first brace of a line, such as a log collector's timestamp, is ignored. The error is
// that of r, or bufio.ErrTooLong for a line longer than maxLineBytes.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, initialBufferBytes), maxLineBytes)
	for in.Scan() {
		if line, ok := parseLine(in.Bytes()); ok {
			lines = append(lines, line)
		} else {
			skipped++
		}
	}
	return lines, skipped, in.Err()
}

// commonFields are on every line; they are left out of Line.Fields.
var commonFields = []string{"time", "msg", "box", "level"}

// parseLine parses a line; false means that it is not a log line of a box.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339, stringValue(fields["time"]))
	component, event, ok := strings.Cut(stringValue(fields["msg"]), ": ")
	if err != nil || !ok {
		return Line{}, false
	}
	line := Line{Time: at, Box: stringValue(fields["box"]), Component: component, Event: event, Fields: fields}
	for _, name := range commonFields {
		delete(fields, name)
	}
	return line, true
}

// stringValue returns a field's string, empty if the field is missing or not a string.
func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

// Merge returns the lines of several logs sorted by time. The clocks of boxes may differ, so the
// order of lines from different boxes is approximate.
func Merge(logs ...[]Line) []Line {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return all
}

var _ fmt.Stringer = Line{}

// String formats the line for display: time, box, component, event and the sorted fields.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.Time.Format("15:04:05.000"), l.Box, l.Component, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
