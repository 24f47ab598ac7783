package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/framing/framingtest"
)

// oddResponse is a response with an unusual line, malformed or not.
type oddResponse struct {
	name string
	text string // %s is the request's ID
}

// Parts of odd responses.
const (
	oddStatus = "HTTP/1.1 200 OK\r\n"
	oddFields = "X-Id: %s\r\nX-Sign: s\r\n"
	oddBody   = "Content-Length: 4\r\n\r\nbody"
	oddChunks = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
)

// withFields returns responses that have one of the lines in their headers: first, last, or in an interim response; or in a
// trailer.
func withFields(lines []framingtest.Line) (all []oddResponse) {
	for _, l := range lines {
		line := l.Text + "\r\n"
		all = append(all, oddResponse{l.Name + ", first line", oddStatus + line + oddFields + oddBody},
			oddResponse{l.Name + ", within", oddStatus + oddFields + line + oddBody},
			oddResponse{l.Name + ", last line", oddStatus + oddFields + strings.Replace(oddBody, "\r\n", "\r\n"+line, 1)},
			oddResponse{l.Name + ", trailer", oddStatus + oddFields + oddChunks + line + "\r\n"},
			oddResponse{l.Name + ", last line of a trailer", oddStatus + oddFields + oddChunks + "X-T: 1\r\n" + line + "\r\n"},
			oddResponse{l.Name + ", interim response", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + oddStatus + oddFields + oddBody})
	}
	return all
}

// withStatusLines returns responses that start with one of the lines.
func withStatusLines(lines []framingtest.Line) (all []oddResponse) {
	for _, l := range lines {
		all = append(all, oddResponse{l.Name, l.Text + "\r\n" + oddFields + oddBody},
			oddResponse{l.Name + ", behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + l.Text + "\r\n" + oddFields + oddBody})
	}
	return all
}

// malformedResponses returns responses whose headers are not in the grammar.
func malformedResponses() []oddResponse {
	all := slices.Concat(withFields(framingtest.MalformedFields()), withStatusLines(framingtest.MalformedStatusLines()))
	return append(all, oddResponse{"white space before the first field", oddStatus + " X-A: 1\r\n" + oddFields + oddBody},
		oddResponse{"tab before the first field", oddStatus + "\tX-A: 1\r\n" + oddFields + oddBody},
		oddResponse{"white space before the first field of a trailer", oddStatus + oddFields + oddChunks + " X-A: 1\r\n\r\n"},
		oddResponse{"empty line before the status line", "\r\n" + oddStatus + oddFields + oddBody})
}

// oddUpstreams are upstreams that answer with the response that the path of a request ends with.
type oddUpstreams struct {
	t         *testing.T
	responses []oddResponse
	runs      int // of each request that are answered so; later ones are answered with "sound"

	mu    sync.Mutex
	seen  map[string]int
	conns map[net.Conn]string // those that carried one of the responses, by its name
}

// respond is the script of the upstreams. No connection carries a request behind one of the responses if runs is set.
func (o *oddUpstreams) respond(c net.Conn, r stubRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, err := strconv.Atoi(path.Base(r.URL.Path))
	if name, isUsed := o.conns[c]; isUsed && o.runs > 0 {
		o.t.Errorf("%s: its connection is used again", name)
	}
	if o.seen[r.URL.Path]++; err != nil || o.runs > 0 && o.seen[r.URL.Path] > o.runs {
		return respondOK("sound")(c, r)
	}
	o.conns[c] = o.responses[n].name
	_, _ = io.WriteString(c, strings.ReplaceAll(o.responses[n].text, "%s", r.Header.Get("X-Id")))
	return true
}

func newOddUpstreams(t *testing.T, responses []oddResponse, runs int) *oddUpstreams {
	return &oddUpstreams{t: t, responses: responses, runs: runs, seen: make(map[string]int), conns: make(map[net.Conn]string)}
}

// requestOdd sends the request that is answered with the n-th response, on a connection to the upstream that was used before.
func (b *testBox) requestOdd(route string, n int) callerResponse {
	b.t.Helper()
	if got := b.do(b.request("POST", "/once/sound", "x", "X-Id", fmt.Sprintf("before-%s-%d", route, n))); got.body != "sound" {
		b.t.Fatalf("got %d %q, want a whole response", got.status, got.body)
	}
	return b.do(b.request("POST", fmt.Sprintf("/%s/%d", route, n), fmt.Sprint("body ", n)))
}

// isNoResponse reports whether a caller was told that its request may have run, and nothing of the upstream's.
func isNoResponse(got callerResponse) bool {
	return got.err == nil && got.status == http.StatusBadGateway && got.header.Get("X-Sign") == "" && !strings.HasPrefix(got.body, "body")
}

// Responses with a malformed line reached callers with that line, or with a body that was not the upstream's.
func TestMalformedHeaderIsNoResponse(t *testing.T) {
	o := newOddUpstreams(t, malformedResponses(), 2)
	b := newTestBox(t, newStub(t, "u", o.respond))
	for n, odd := range o.responses {
		for _, route := range []string{"once", "fixed"} {
			if got := b.requestOdd(route, n); !isNoResponse(got) {
				t.Errorf("%s on route %s: %d %q %v", odd.name, route, got.status, got.body, got.err)
			}
		}
	}
}

// The same where the request may be repeated.
func TestRequestAnsweredWithMalformedHeaderRunsElsewhere(t *testing.T) {
	o := newOddUpstreams(t, malformedResponses(), 1)
	b := newTestBox(t, newStub(t, "u1", o.respond), newStub(t, "u2", o.respond))
	for n, odd := range o.responses {
		if got := b.requestOdd("safe", n); got.err != nil || got.status != http.StatusOK || got.body != "sound" {
			t.Errorf("%s: %d %q %v", odd.name, got.status, got.body, got.err)
		}
	}
}

// The same through another box.
func TestMalformedHeaderBehindOtherBoxIsNoResponse(t *testing.T) {
	o := newOddUpstreams(t, malformedResponses(), 2)
	first, _, _ := startTunnelPair(t, unchanged, newStub(t, "u", o.respond))
	for n, odd := range o.responses {
		if got := first.requestOdd("once", n); !isNoResponse(got) {
			t.Errorf("%s: %d %q %v", odd.name, got.status, got.body, got.err)
		}
	}
}

// The same in responses to calls of the box itself, such as for reports.
func TestCallAnsweredWithMalformedHeaderFails(t *testing.T) {
	responses := malformedResponses()
	for n, odd := range responses {
		responses[n].text = strings.ReplaceAll(odd.text, "X-Id: %s\r\n", "")
	}
	o := newOddUpstreams(t, responses, 1)
	s := newStub(t, "u", o.respond)
	b := newTestBox(t, s)
	u := balance.Upstream{ID: "u", Service: "s", Address: s.listener.Addr().String()}
	for n, odd := range responses {
		ctx, cancel := context.WithTimeout(t.Context(), reportTimeout)
		resp, err := b.relay.callUpstream(ctx, u, "s", UpstreamCall{Method: http.MethodGet, Path: fmt.Sprint("/tell/", n)})
		cancel()
		if err == nil {
			t.Errorf("%s: %d %q", odd.name, resp.status, resp.body)
		}
	}
}

// A stream with a malformed line in its trailer ended as if it were complete.
func TestStreamWithMalformedTrailerIsNotComplete(t *testing.T) {
	var responses []oddResponse
	for _, l := range framingtest.MalformedFields() {
		responses = append(responses, oddResponse{l.Name, oddStatus + oddFields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n\r\n", len(event(1)), event(1), l.Text)})
	}
	o := newOddUpstreams(t, responses, 2)
	b := newTestBox(t, newStub(t, "u", o.respond))
	for n, odd := range responses {
		if got := b.requestOdd("fixed", n); got.err == nil || got.body != event(1) {
			t.Errorf("%s: %d %q %v", odd.name, got.status, got.body, got.err)
		}
	}
}

// Unusual lines that are in the grammar, or that recipients may accept, are no reason to refuse a response.
func TestUnusualHeaderIsResponse(t *testing.T) {
	responses := slices.Concat(withFields(framingtest.SoundFields()), withStatusLines(framingtest.SoundStatusLines()))
	o := newOddUpstreams(t, responses, 0)
	b := newTestBox(t, newStub(t, "u", o.respond))
	for n, odd := range responses {
		got := b.do(b.request("POST", fmt.Sprint("/once/", n), "body"))
		if got.err != nil || got.status/100 != 2 || got.body != "body" || got.header.Get("X-Sign") != "s" {
			t.Errorf("%s: %d %q %v", odd.name, got.status, got.body, got.err)
		}
	}
	is := is.New(t)
	is.Equal(len(o.conns), 1) // the connection was kept
}
