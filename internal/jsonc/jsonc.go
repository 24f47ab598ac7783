// Package jsonc reads JSON with comments into structs, strictly: every problem
// names the file, the line, the field, the value found and what is allowed.
//
// Syntax is left to hujson; this package only walks the parsed tree beside the
// Go type it is read into.
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

// Problem is one thing wrong with a document.
type Problem struct {
	File    string // as given to Parse
	Line    int    // counted from 1; 0 where no line applies
	Field   string // path such as classes[2].tier
	Found   string // the value in the document, shortened
	Allowed string // what would have been right
}

func (p Problem) String() string {
	s := fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Field)
	if p.Found != "" {
		s += ": found " + p.Found
	}
	return s + ": " + p.Allowed
}

// Problems is a list of problems that serves as an error.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Duration is a span of time written as "250ms" or "2m" in documents.
type Duration time.Duration

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalJSON reads a quoted duration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// MarshalJSON writes a quoted duration.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Document is a parsed document that can still tell where each field stood.
type Document struct {
	file     string
	source   []byte
	offsets  map[string]int
	problems Problems
}

// Parse reads source into target, a pointer to a struct with json tags. The
// error, if any, is of type Problems.
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

// Problem makes a problem for the field at path, on the line where it stands
// or, where it is missing, where the nearest enclosing value stands.
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

// walk compares the value at path with the type it is to be read into.
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

// nearest names the known field closest to name, if one is close.
func nearest(name string, fields map[string]reflect.Type) string {
	best, least := "", 4
	for f := range fields {
		if n := distance(name, f); n < least || n == least && f < best {
			best, least = f, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// distance is the Levenshtein distance between a and b.
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

// lineOf takes the line number out of a hujson syntax error.
func lineOf(err error) int {
	_, after, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 1
	}
	number, _, _ := strings.Cut(after, ",")
	n, _ := strconv.Atoi(number)
	return max(n, 1)
}
