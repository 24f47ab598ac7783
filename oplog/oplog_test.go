package oplog

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const log1 = `12.1 box1 {"box":"box1","level":"info","msg":"document: in force","time":"2026-01-01T10:00:00.000Z","version":7}
not a line
{"broken":
{"box":"box1","level":"info","msg":"run: failed","id":"r1","upstream":"u1","state":"unknown","time":"2026-01-01T10:00:02.500Z"}
{"box":"box1","level":"info","msg":"request: no answer","id":"r1","upstream":"u1","runs":1,"time":"2026-01-01T10:00:02.501Z"}
{"box":"box1","level":"info","msg":"upstream: gone from the list","upstream":"u2","time":"2026-01-01T10:00:02.000Z"}
{"box":"box1","level":"info","msg":"upstream: gone from the list","upstream":"u1","time":"2026-01-01T10:00:02.100Z"}
`

const log2 = `{"box":"box2","level":"info","msg":"document: in force","time":"2026-01-01T10:00:01.000Z","version":7}
{"box":"box2","level":"info","msg":"request: answered","id":"r2","time":"2026-01-01T10:00:01.000Z"}
`

func read(t *testing.T, text string) ([]Line, int) {
	t.Helper()
	lines, skipped, err := Read(strings.NewReader(text))
	is.New(t).NoErr(err)
	return lines, skipped
}

func TestReadSkipsForeignText(t *testing.T) {
	is := is.New(t)
	lines, skipped := read(t, log1)
	is.Equal(len(lines), 5)
	is.Equal(skipped, 2)
	is.Equal(lines[0].Box, "box1")
	is.Equal(lines[0].Component, "document")
	is.Equal(lines[0].Event, "in force")
	is.Equal(lines[0].Fields["version"], 7.0)
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	a, _ := read(t, log1)
	b, _ := read(t, log2)
	var out bytes.Buffer
	is.NoErr(Explain(&out, Merge(a, b), "r1"))
	text := out.String()
	for _, want := range []string{"document: in force", "gone from the list upstream=u1", "run: failed", "request: no answer", "may have happened"} {
		is.True(strings.Contains(text, want))
	}
	is.True(!strings.Contains(text, "u2"))   // an upstream that the request was not sent to
	is.True(!strings.Contains(text, "box2")) // a box that did not handle the request
	is.True(strings.Index(text, "gone from") < strings.Index(text, "run: failed"))
}

func TestExplainUnknownRequest(t *testing.T) {
	is := is.New(t)
	lines, _ := read(t, log1)
	var e *Error
	is.True(errors.As(Explain(&bytes.Buffer{}, lines, "other"), &e))
	is.Equal(e.Kind, KindRequestNotFound)
}

// A request that is refused for a part of its prompt leads to the part and to the crashes held
// against it, which other boxes may have seen long before.
func TestExplainLeadsToPartAndCrashes(t *testing.T) {
	is := is.New(t)
	a, _ := read(t, `{"box":"box1","msg":"part: withheld","parts":"42","crashes":"a1 b2","why":"told","time":"2026-01-01T10:00:01.000Z"}
{"box":"box1","msg":"part: withheld","parts":"7","crashes":"c3","why":"told","time":"2026-01-01T10:00:01.000Z"}
{"box":"box1","msg":"request: refused","id":"r1","parts":"42","crashes":"a1 b2","time":"2026-01-01T10:02:00.000Z"}
`)
	b, _ := read(t, `{"box":"box2","msg":"upstream: ended","upstream":"u1","crash":"a1","time":"2026-01-01T10:00:00.000Z"}
{"box":"box2","msg":"upstream: ended","upstream":"u9","crash":"c3","time":"2026-01-01T10:00:00.000Z"}
`)
	var out bytes.Buffer
	is.NoErr(Explain(&out, Merge(a, b), "r1"))
	is.True(strings.Contains(out.String(), "upstream=u1"))
	is.True(strings.Contains(out.String(), "part: withheld"))
	is.True(!strings.Contains(out.String(), "u9"))
	is.True(!strings.Contains(out.String(), "c3"))
}
