// Package oplog reads the lines that relaying boxes log, over all boxes, and tells
// what happened to a request.
package oplog

// This file defines how lines are read. The invariant: what is no line of a box is
// counted and passed over, never an error, since logs come through pipes that mix
// and cut.

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

// Line is one line of a box.
type Line struct {
	At     time.Time
	Box    string
	Part   string // of the box
	Event  string
	Fields map[string]any // what else it tells
}

const (
	// maxLine bounds a line, in bytes; longer ones are no lines of a box.
	maxLine = 1 << 20
	// usualLine is the room for a line to begin with, in bytes.
	usualLine = 64 << 10
)

// Read reads the lines of a log; passed is how many lines were none of a box. What
// stands before a line's brace, such as the time of whoever collects logs, is
// dropped.
func Read(r io.Reader) (lines []Line, passed int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, usualLine), maxLine)
	for in.Scan() {
		if line, ok := parse(in.Bytes()); ok {
			lines = append(lines, line)
		} else {
			passed++
		}
	}
	return lines, passed, in.Err()
}

// lineFields are those that every line has; Line has fields of its own for them.
var lineFields = []string{"time", "msg", "box", "level"}

// parse reads a line; false means that it is none of a box.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339, textOf(fields["time"]))
	part, event, ok := strings.Cut(textOf(fields["msg"]), ": ")
	if err != nil || !ok {
		return Line{}, false
	}
	line := Line{At: at, Box: textOf(fields["box"]), Part: part, Event: event, Fields: fields}
	for _, name := range lineFields {
		delete(fields, name)
	}
	return line, true
}

// textOf is a field's text, empty where the field is missing or no text.
func textOf(v any) string {
	s, _ := v.(string)
	return s
}

// Merge puts the lines of several logs in the order of their times. Clocks of boxes
// may differ, so that the order between boxes is a hint.
func Merge(logs ...[]Line) []Line {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return all
}

var _ fmt.Stringer = Line{}

// String is a line for people.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.At.Format("15:04:05.000"), l.Box, l.Part, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
