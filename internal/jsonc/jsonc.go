// Package jsonc strictly decodes JSON with comments into structs. Every problem
// names the file, the line, the field, the value found and what is allowed.
//
// Package hujson parses the syntax; this package compares the parsed tree with the
// Go type of the target.
package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Problem is one error in a document.
type Problem struct {
	File    string // as given to Parse
	Line    int    // counted from 1; 0 if no line applies
	Field   string // path, such as classes[2].tier
	Found   string // value in the document, shortened
	Allowed string // description of the valid values
}

func (p Problem) String() string {
	s := fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Field)
	if p.Found != "" {
		s += ": found " + p.Found
	}
	return s + ": " + p.Allowed
}

// Problems is a list of problems that implements error, with one line for each.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Duration is a duration that documents write as a string, such as "250ms" or "2m".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalJSON parses a duration string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// MarshalJSON encodes d as a duration string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Document is a parsed document with the position of each field.
type Document struct {
	file     string
	source   []byte
	offsets  map[string]int // of values in source, in bytes, by path
	problems Problems
}

// Parse decodes source into target, a pointer to a struct with json tags; file is
// the name in error messages. The error is of type Problems.
func Parse(file string, source []byte, target any) (*Document, error) {
	d := &Document{file: file, source: source, offsets: make(map[string]int)}
	tree, err := hujson.Parse(source)
	if err != nil {
		return d, Problems{{File: file, Line: lineOf(err), Field: "syntax", Allowed: err.Error()}}
	}
	d.walk("", tree, reflect.TypeOf(target).Elem())
	if len(d.problems) > 0 {
		return d, d.problems
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), target); err != nil {
		return d, Problems{{File: file, Line: 1, Field: "document", Allowed: err.Error()}}
	}
	return d, nil
}

// Problem returns a problem with the field at path. Its line is that of the field
// or, if the field is missing, of the nearest enclosing value.
func (d *Document) Problem(path, found, allowed string) Problem {
	at := path
	for {
		if offset, ok := d.offsets[at]; ok {
			return Problem{d.file, d.line(offset), path, found, allowed}
		}
		cut := strings.LastIndexAny(at, ".[")
		if cut < 0 {
			return Problem{d.file, 1, path, found, allowed}
		}
		at = at[:cut]
	}
}

func (d *Document) line(offset int) int {
	return 1 + strings.Count(string(d.source[:min(offset, len(d.source))]), "\n")
}

func (d *Document) fail(path string, v hujson.Value, allowed string) {
	found := strings.TrimSpace(string(d.source[v.StartOffset:v.EndOffset]))
	if len(found) > 40 {
		found = found[:37] + "..."
	}
	d.problems = append(d.problems, Problem{d.file, d.line(v.StartOffset), path, found, allowed})
}

var durationType = reflect.TypeOf(Duration(0))

// walk records the position of the value at path and reports where it does not
// match the target type t.
func (d *Document) walk(path string, v hujson.Value, t reflect.Type) {
	d.offsets[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		d.walkObject(path, v, x, t)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			d.fail(path, v, "want "+describe(t))
			return
		}
		for i, e := range x.Elements {
			d.walk(fmt.Sprintf("%s[%d]", path, i), e, t.Elem())
		}
	case hujson.Literal:
		d.walkLiteral(path, v, x, t)
	}
}

func (d *Document) walkObject(path string, v hujson.Value, x *hujson.Object, t reflect.Type) {
	if t.Kind() == reflect.Map {
		for _, m := range x.Members {
			d.walk(join(path, m.Name.Value.(hujson.Literal).String()), m.Value, t.Elem())
		}
		return
	}
	if t.Kind() != reflect.Struct {
		d.fail(path, v, "want "+describe(t))
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	for _, m := range x.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field, ok := fields[name]
		switch {
		case !ok:
			d.fail(join(path, name), m.Name, "unknown field"+nearest(name, fields))
		case seen[name]:
			d.fail(join(path, name), m.Name, "field is given twice")
		default:
			seen[name] = true
			d.walk(join(path, name), m.Value, field)
		}
	}
}

func (d *Document) walkLiteral(path string, v hujson.Value, x hujson.Literal, t reflect.Type) {
	if t == durationType {
		if _, err := time.ParseDuration(x.String()); x.Kind() != '"' || err != nil {
			d.fail(path, v, `want a duration such as "250ms" or "2m"`)
		}
		return
	}
	ok := false
	switch t.Kind() {
	case reflect.String:
		ok = x.Kind() == '"'
	case reflect.Bool:
		ok = x.Kind() == 't' || x.Kind() == 'f'
	case reflect.Int, reflect.Int64:
		_, err := strconv.ParseInt(string(x), 10, 64)
		ok = x.Kind() == '0' && err == nil
	case reflect.Uint64:
		_, err := strconv.ParseUint(string(x), 10, 64)
		ok = x.Kind() == '0' && err == nil
	case reflect.Float64:
		_, err := strconv.ParseFloat(string(x), 64)
		ok = x.Kind() == '0' && err == nil
	}
	if !ok {
		d.fail(path, v, "want "+describe(t))
	}
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number, 0 or more"
	}
	return "a whole number"
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// nearest returns a hint with the known field closest to name, or "" if every
// known field has an edit distance of 4 or more.
func nearest(name string, fields map[string]reflect.Type) string {
	best, bestDistance := "", 4
	for f := range fields {
		if n := distance(name, f); n < bestDistance || n == bestDistance && f < best {
			best, bestDistance = f, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// distance returns the Levenshtein distance between a and b, in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// lineOf returns the line number that a hujson syntax error names in its text, or 1
// if it names none.
func lineOf(err error) int {
	_, after, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 1
	}
	number, _, _ := strings.Cut(after, ",")
	n, _ := strconv.Atoi(number)
	return max(n, 1)
}
