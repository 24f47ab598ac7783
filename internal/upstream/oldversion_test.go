package upstream

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/decide"
)

// chunksOf returns parts in the chunked coding, without its last chunk.
func chunksOf(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.String()
}

// Plain answers of HTTP/1.0 in chunks, which that version does not have, were returned with the sizes of the chunks in
// their bodies, and cut off ones as whole.
func TestChunksOfOldVersionAreNoPartOfBody(t *testing.T) {
	const (
		body    = "first part, second part"
		framing = "Transfer-Encoding: chunked\r\n"
		keep    = "Connection: keep-alive\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	)
	whole := chunksOf("first part, ", "second part") + lastChunk
	failed, answered := decide.Failed, decide.Answered
	for _, c := range []struct {
		name, version, framing, body string
		outcome                      decide.Outcome
		want                         string
		isKept                       bool
	}{
		{"chunks", "HTTP/1.0", framing, whole, answered, body, false},
		{"no last chunk", "HTTP/1.0", framing, chunksOf(body), failed, "", false},
		{"cut off within a chunk", "HTTP/1.0", framing, whole[:20], failed, "", false},
		{"cut off within the last chunk", "HTTP/1.0", framing, whole[:len(whole)-2], failed, "", false},
		{"no chunk", "HTTP/1.0", framing, "", failed, "", false},
		{"trailer", "HTTP/1.0", framing, chunksOf(body) + "0\r\nX-Sum: 1\r\n\r\n", answered, body, false},
		{"empty body", "HTTP/1.0", framing, lastChunk, answered, "", false},
		{"chunks and a length", "HTTP/1.0", "Content-Length: 3\r\n" + framing, whole, answered, body, false},
		{"chunks and a length, connection to be kept", "HTTP/1.0", keep + "Content-Length: 3\r\n" + framing, whole, answered, body, false},
		{"connection to be kept", "HTTP/1.0", keep + "transfer-encoding: Chunked\r\n", whole, answered, body, false},
		{"behind an interim response", interim + "HTTP/1.0", keep + framing, whole, answered, body, false},
		{"behind an empty line", "\r\n\r\nHTTP/1.0", keep + framing, whole, answered, body, false},
		{"no chunks, but stated", "HTTP/1.0", framing, body, failed, "", false},
		{"another coding", "HTTP/1.0", "Transfer-Encoding: gzip\r\n", body, failed, "", false},
		{"two codings", "HTTP/1.0", "Transfer-Encoding: gzip, chunked\r\n", whole, failed, "", false},
		{"chunks twice", "HTTP/1.0", framing + framing, whole, failed, "", false},
		{"length", "HTTP/1.0", keep + "Content-Length: 23\r\n", body, answered, body, true},
		{"neither", "HTTP/1.0", "", body, answered, body, false},
		{"version that has chunks", "HTTP/1.1", framing, whole, answered, body, true},
		{"version that has chunks, behind an empty line", "\r\nHTTP/1.1", framing, whole, answered, body, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			answer := c.version + " 200 OK\r\n" + c.framing + "\r\n" + c.body
			isOpen := c.isKept || strings.Contains(c.framing, keep)
			s := serve(t, !isOpen, answer, answer)
			h := runner()
			defer func() { is.NoErr(h.Close()) }()
			for range 2 {
				var sink collector
				is.Equal(h.Run(context.Background(), callTo(s.Addr().String(), true), &sink).Outcome, c.outcome)
				is.Equal(sink.whole, c.want)
			}
			if isOpen {
				is.Equal(s.connections() == 1, c.isKept)
			}
		})
	}
}

// Events that were in two chunks of HTTP/1.0 were lost or torn apart.
func TestEventsInChunksOfOldVersionAreWhole(t *testing.T) {
	const (
		head   = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		events = "data: first\n\ndata: second\n\n"
		paused = `data: {"choices":[{"delta":{},"finish_reason":"paused"}]}` + "\n\n"
	)
	for _, c := range []struct {
		name, end string
		want      decide.Outcome
	}{
		{"complete", "data: " + endMarker + "\n\n", decide.Answered},
		{"paused", paused, decide.Paused},
		{"no end marker", "", decide.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			answer := head + chunksOf(events[:8], events[8:20], events[20:]+c.end) + lastChunk
			s := serve(t, false, answer, answer)
			h := runner()
			defer func() { is.NoErr(h.Close()) }()
			for range 2 {
				var sink collector
				is.Equal(h.Run(context.Background(), callTo(s.Addr().String(), false), &sink).Outcome, c.want)
				is.Equal(sink.events, []string{"first", "second"})
			}
			is.True(s.connections() >= 2) // a failed run looks whether its upstream has ended
		})
	}
}

// Control calls failed where the response had chunks of HTTP/1.0.
func TestReportInChunksOfOldVersion(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"
	report := chunksOf(`{"running":`, `2}`)
	for _, c := range []struct {
		name, answer string
		isRead       bool
	}{
		{"whole", head + report + lastChunk, true},
		{"trailer", head + report + "0\r\nX-Sum: 1\r\n\r\n", true},
		{"no last chunk", head + report, false},
		{"cut off within the last chunk", head + report + "0\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := serve(t, !c.isRead, c.answer, c.answer)
			h := runner()
			defer func() { is.NoErr(h.Close()) }()
			for range 2 {
				got, err := h.Report(context.Background(), s.Addr().String())
				is.Equal(err == nil, c.isRead)
				is.Equal(got.Running == 2, c.isRead)
			}
			is.Equal(s.connections(), 2)
		})
	}
}

// An answer to HEAD names the coding that its body would have.
func TestAnswerToHeadInChunksOfOldVersion(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"
	s := serve(t, false, answer, answer)
	h := runner()
	defer func() { is.NoErr(h.Close()) }()
	call := callTo(s.Addr().String(), true)
	call.Method, call.Body = fasthttp.MethodHead, nil
	for range 2 {
		is.Equal(h.Run(context.Background(), call, &collector{}).Outcome, decide.Answered)
	}
	is.Equal(s.connections(), 2)
}
