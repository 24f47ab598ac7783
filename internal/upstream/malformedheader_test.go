package upstream

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/framing/framingtest"
)

// Parts of answers.
const (
	statusOK   = "HTTP/1.1 200 OK\r\n"
	plainBody  = "Content-Length: 4\r\n\r\nbody"
	reportBody = "Content-Length: 13\r\n\r\n{\"running\":2}"
	eventsBody = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n13\r\ndata: a\n\ndata: [DON\r\n4\r\nE]\n\n\r\n" + lastChunk
)

// oddAnswer is an answer with an unusual line, malformed or not.
type oddAnswer struct{ name, text string }

// oddAnswers returns answers with a body and its fields that have one of the lines: first, last, or in an interim response.
func oddAnswers(fields, statusLines []framingtest.Line, body string) (all []oddAnswer) {
	const interim = "HTTP/1.1 103 Early Hints\r\n"
	for _, l := range fields {
		line := l.Text + "\r\n"
		all = append(all, oddAnswer{l.Name + ", first line", statusOK + line + body},
			oddAnswer{l.Name + ", last line", statusOK + strings.Replace(body, "\r\n\r\n", "\r\n"+line+"\r\n", 1)},
			oddAnswer{l.Name + ", interim response", interim + line + "\r\n" + statusOK + body})
	}
	for _, l := range statusLines {
		all = append(all, oddAnswer{l.Name, l.Text + "\r\n" + body},
			oddAnswer{l.Name + ", behind an interim response", interim + "\r\n" + l.Text + "\r\n" + body})
	}
	return all
}

// malformedAnswers returns answers whose headers are not in the grammar.
func malformedAnswers(body string) []oddAnswer {
	return slices.Concat(oddAnswers(framingtest.MalformedFields(), framingtest.MalformedStatusLines(), body),
		[]oddAnswer{{"white space before the first field", statusOK + " X-A: 1\r\n" + body}})
}

// Answers with a malformed line reached callers, or with a body that was not the upstream's.
func TestMalformedHeaderIsNoAnswer(t *testing.T) {
	for _, isPlain := range []bool{true, false} {
		body := plainBody
		if !isPlain {
			body = eventsBody
		}
		for _, a := range malformedAnswers(body) {
			s := serve(t, false, a.text, a.text)
			h := runner()
			for range 2 {
				var sink collector
				r := h.Run(context.Background(), callTo(s.Addr().String(), isPlain), &sink)
				if r.Outcome != decide.Failed || !r.Ran || sink.whole != "" || sink.events != nil {
					t.Errorf("%s, plain %v: outcome %v, ran %v, %q %q", a.name, isPlain, r.Outcome, r.Ran, sink.whole, sink.events)
				}
			}
			if s.connections() < 2 {
				t.Errorf("%s, plain %v: the connection was kept", a.name, isPlain)
			}
			if err := h.Close(); err != nil {
				t.Error(err)
			}
		}
	}
}

// The same in answers to control calls.
func TestReportWithMalformedHeaderFails(t *testing.T) {
	for _, a := range malformedAnswers(reportBody) {
		s := serve(t, false, a.text)
		h := runner()
		if got, err := h.Report(context.Background(), s.Addr().String()); err == nil {
			t.Errorf("%s: %+v", a.name, got)
		}
		if err := h.Close(); err != nil {
			t.Error(err)
		}
	}
}

// chunkedAnswers returns answers whose trailers have one of the lines: first or last.
func chunkedAnswers(lines []framingtest.Line, body string) (all []oddAnswer) {
	for _, l := range lines {
		chunks := statusOK + "Transfer-Encoding: chunked\r\n\r\n" + chunksOf(body) + "0\r\n"
		all = append(all, oddAnswer{l.Name + ", first line", chunks + l.Text + "\r\n\r\n"},
			oddAnswer{l.Name + ", last line", chunks + "X-T: 1\r\n" + l.Text + "\r\n\r\n"})
	}
	return all
}

// The same in a trailer.
func TestMalformedTrailerIsNoAnswer(t *testing.T) {
	lines := append(framingtest.MalformedFields(), framingtest.Line{Name: "white space", Text: " X-A: 1"})
	for n, a := range chunkedAnswers(lines, "body") {
		if strings.HasSuffix(a.name, "white space, last line") {
			continue // it continues the line before
		}
		s := serve(t, false, a.text, chunkedAnswers(lines, `{"running":2}`)[n].text)
		h := runner()
		var sink collector
		if r := h.Run(context.Background(), callTo(s.Addr().String(), true), &sink); r.Outcome != decide.Failed || !r.Ran || sink.whole != "" {
			t.Errorf("%s: outcome %v, ran %v, %q", a.name, r.Outcome, r.Ran, sink.whole)
		}
		if got, err := h.Report(context.Background(), s.Addr().String()); err == nil {
			t.Errorf("%s: %+v", a.name, got)
		}
		if err := h.Close(); err != nil {
			t.Error(err)
		}
	}
}

// A stream is whole with its end marker, but the connection of one with a malformed trailer is not used again.
func TestConnectionOfMalformedTrailerIsNotUsed(t *testing.T) {
	for _, l := range framingtest.MalformedFields() {
		answer := chunked("a", endMarker) + "0\r\n" + l.Text + "\r\n\r\n"
		s := serve(t, false, answer, answer)
		h := runner()
		for range 2 {
			if r := h.Run(context.Background(), callTo(s.Addr().String(), false), &collector{}); r.Outcome != decide.Answered {
				t.Errorf("%s: outcome %v", l.Name, r.Outcome)
			}
		}
		if s.connections() != 2 {
			t.Errorf("%s: the connection was kept", l.Name)
		}
		if err := h.Close(); err != nil {
			t.Error(err)
		}
	}
}

// Unusual lines that are in the grammar, or that recipients may accept, are no reason to refuse an answer.
func TestUnusualHeaderIsAnswer(t *testing.T) {
	for _, a := range append(oddAnswers(framingtest.SoundFields(), framingtest.SoundStatusLines(), plainBody), chunkedAnswers(framingtest.SoundFields(), "body")...) {
		is := is.New(t)
		s := serve(t, false, a.text, a.text)
		h := runner()
		for range 2 {
			var sink collector
			if r := h.Run(context.Background(), callTo(s.Addr().String(), true), &sink); r.Outcome != decide.Answered || sink.whole != "body" {
				t.Errorf("%s: outcome %v, %q", a.name, r.Outcome, sink.whole)
			}
		}
		is.Equal(s.connections(), 1)
		is.NoErr(h.Close())
	}
}
