package framing

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/framing/framingtest"
)

// Whether a header is accepted does not depend on how it arrives.
func TestHeaderArrivingInPiecesIsJudgedAlike(t *testing.T) {
	const rest = "X-B: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		lines []framingtest.Line
		start string
		isOK  bool
	}{
		{framingtest.MalformedFields(), "HTTP/1.1 200 OK\r\n", false},
		{framingtest.SoundFields(), "HTTP/1.1 200 OK\r\n", true},
		{framingtest.MalformedStatusLines(), "", false},
		{framingtest.SoundStatusLines(), "", true},
		{[]framingtest.Line{{Name: "bare line end at the end", Text: "X-A: 1\n"}, {Name: "bare empty line", Text: "X-A: 1\r\n\n"}}, "HTTP/1.1 200 OK\r\n", false},
	} {
		for _, l := range c.lines {
			text := c.start + l.Text + "\r\n" + rest
			for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				var h fasthttp.ResponseHeader
				if err := ReadHeader(bufio.NewReader(source), &h); (err == nil) != c.isOK {
					t.Errorf("%s: %v", l.Name, err)
				}
			}
		}
	}
}

// A response that is accepted has a status and names that are in the grammar, and the parser finds the end of its header where
// the grammar does.
func FuzzReadHeader(f *testing.F) {
	for _, l := range append(framingtest.MalformedFields(), framingtest.SoundFields()...) {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + l.Text + "\r\nContent-Length: 0\r\n\r\n"))
	}
	for _, l := range append(framingtest.MalformedStatusLines(), framingtest.SoundStatusLines()...) {
		f.Add([]byte(l.Text + "\r\nContent-Length: 0\r\n\r\n"))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var h fasthttp.ResponseHeader
		h.DisableNormalizing()
		r := bufio.NewReader(bytes.NewReader(text))
		if ReadHeader(r, &h) != nil {
			return
		}
		if s := h.StatusCode(); s < 100 || s > 599 {
			t.Errorf("status %d in %q", s, text)
		}
		for name := range h.All() {
			if !isToken(name) {
				t.Errorf("name %q in %q", name, text)
			}
		}
		var whole responseHeader
		if isComplete, err := whole.scan(text); !isComplete || err != nil {
			t.Errorf("%q is accepted, but incomplete or malformed: %v", text, err)
		}
		if rest, _ := r.Peek(r.Buffered()); len(text) <= 4<<10 && len(text)-len(rest) != whole.next {
			t.Errorf("the parser reads %d bytes of %q, the grammar %d", len(text)-len(rest), text, whole.next)
		}
	})
}

// BenchmarkReadHeader reads the header of a usual response.
func BenchmarkReadHeader(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nX-Id: 9c41d07be2a35f68\r\nX-Sign: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Content-Type: text/event-stream\r\nX-Versions: 12\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n")
	source := bytes.NewReader(nil)
	r := bufio.NewReaderSize(source, 4<<10)
	var h fasthttp.ResponseHeader
	h.DisableNormalizing()
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(text)
		r.Reset(source)
		if err := ReadHeader(r, &h); err != nil {
			b.Fatal(err)
		}
	}
}
