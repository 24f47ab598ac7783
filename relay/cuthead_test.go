package relay

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// cutAnswer is an answer that an upstream stops within.
type cutAnswer struct {
	name string
	text string // %s is the request's ID
	body string // of the whole answer
	ends bool   // with its connection
}

// cutHead is the part of a head that the answers have in common.
const cutHead = "X-Sign: s\r\nX-A: " + "0123456789" + "\r\n"

// Answers by what marks their end.
var (
	lengthAnswer   = cutAnswer{"length", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + cutHead + "Content-Length: 12\r\n\r\nabcdefghijkl", "abcdefghijkl", false}
	lengthFirst    = cutAnswer{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: %s\r\n" + cutHead + "\r\nabcdefghijkl", "abcdefghijkl", false}
	chunkedAnswer  = cutAnswer{"chunks", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + cutHead + "Transfer-Encoding: chunked\r\n\r\n0c\r\nabcdefghijkl\r\n3;x=y\r\nmno\r\n0\r\nX-T: 1\r\n\r\n", "abcdefghijklmno", false}
	bareLineAnswer = cutAnswer{"bare line ends", "HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\nContent-Length: 12\r\n\r\nabcdefghijkl", "abcdefghijkl", false}
	interimAnswer  = cutAnswer{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + lengthAnswer.text, lengthAnswer.body, false}
	closeAnswer    = cutAnswer{"connection", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + cutHead + "Connection: close\r\n\r\nabc", "abc", true}
	unframedAnswer = cutAnswer{"nothing", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + cutHead + "\r\nabc", "abc", true}
	chunkedEvents  = cutAnswer{"stream", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + cutHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"f\r\nid: 1\ndata: d1\n\r\n1\r\n\n\r\n0\r\n\r\n", event(1), false}
)

// cutAnswers are answers of which each part up to cuts is too short.
var cutAnswers = []cutAnswer{lengthAnswer, lengthFirst, chunkedAnswer, bareLineAnswer, interimAnswer, closeAnswer, unframedAnswer, chunkedEvents}

// cutID is the ID of all requests that are cut off.
const cutID = "0123456789abcdef"

// wire returns the bytes of the answer.
func (a cutAnswer) wire() string { return strings.ReplaceAll(a.text, "%s", cutID) }

// cuts returns the number of offsets at which the answer can be told to be cut off. One that ends with its
// connection has to have a body.
func (a cutAnswer) cuts() int {
	if a.ends {
		return len(a.wire()) - len(a.body) + 1
	}
	return len(a.wire())
}

// cutScript returns a script that stops within an answer, at the offset that the request's path ends with.
// The first runs requests are cut off, and later ones answered; so are requests to another path.
func cutScript(a cutAnswer, isReset bool, cuts *atomic.Int32, runs int) func(net.Conn, stubRequest) bool {
	var mu sync.Mutex
	seen := make(map[string]int)
	return func(c net.Conn, r stubRequest) bool {
		offset, err := strconv.Atoi(path.Base(r.URL.Path))
		if err != nil {
			return respondOK("whole")(c, r)
		}
		mu.Lock()
		seen[r.URL.Path]++
		isCut := seen[r.URL.Path] <= runs
		mu.Unlock()
		if !isCut {
			_, _ = io.WriteString(c, a.wire())
			return !a.ends
		}
		cuts.Add(1)
		_, _ = io.WriteString(c, a.wire()[:offset])
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// requestCutAt sends a request that is cut off at an offset, at each third on a kept connection.
func (b *testBox) requestCutAt(route string, offset int) callerResponse {
	if offset%3 == 1 {
		if got := b.do(b.request("POST", "/once/whole", "x")); got.body != "whole" {
			b.t.Fatalf("got %d %q, want a whole answer", got.status, got.body)
		}
	}
	return b.do(b.request("POST", fmt.Sprintf("/%s/%d", route, offset), fmt.Sprint("body ", offset), "X-Id", cutID))
}

// An upstream that stops within an answer gives no success, wherever it stops.
func TestAnswerCutAnywhereIsNoSuccess(t *testing.T) {
	for _, a := range cutAnswers {
		for _, c := range []struct {
			route   string
			isReset bool
		}{{"once", false}, {"once", true}, {"flow", false}} {
			t.Run(fmt.Sprint(a.name, " ", c.route, " reset=", c.isReset), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var cuts atomic.Int32
				b := newTestBox(t, newStub(t, "u", cutScript(a, c.isReset, &cuts, math.MaxInt)))
				for offset := range a.cuts() {
					got := b.requestCutAt(c.route, offset)
					if got.status == http.StatusOK && got.err != nil && a.name == chunkedEvents.name && c.route == "flow" {
						continue // cut off after its event
					}
					if got.status != http.StatusBadGateway || got.err != nil || got.header.Get("X-Sign") != "" {
						t.Fatalf("cut at %d of %q: %d %q %v", offset, a.text, got.status, got.body, got.err)
					}
				}
				is.Equal(int(cuts.Load()), a.cuts())
			})
		}
	}
}

// The same through another box.
func TestAnswerCutAnywhereBehindOtherBoxIsNoSuccess(t *testing.T) {
	for _, a := range []cutAnswer{lengthAnswer, unframedAnswer} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprint(a.name, " reset=", isReset), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var cuts atomic.Int32
				first, _, _ := startTunnelPair(t, unchanged, newStub(t, "u", cutScript(a, isReset, &cuts, math.MaxInt)))
				for offset := range a.cuts() {
					got := first.requestCutAt("once", offset)
					if got.status != http.StatusBadGateway || got.err != nil {
						t.Fatalf("cut at %d of %q: %d %q %v", offset, a.text, got.status, got.body, got.err)
					}
				}
				is.Equal(int(cuts.Load()), a.cuts())
			})
		}
	}
}

// A request that may run again is answered by another upstream, wherever the first one stops.
func TestAnswerCutAnywhereIsReplacedElsewhere(t *testing.T) {
	for _, a := range cutAnswers {
		for _, route := range []string{"safe", "flow"} {
			t.Run(a.name+" "+route, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var cuts atomic.Int32
				script := cutScript(a, false, &cuts, 1)
				b := newTestBox(t, newStub(t, "u", script), newStub(t, "v", script))
				for offset := range a.cuts() {
					got := b.requestCutAt(route, offset)
					if got.status != http.StatusOK || got.err != nil || got.body != a.body {
						t.Fatalf("cut at %d of %q: %d %q %v", offset, a.text, got.status, got.body, got.err)
					}
				}
				is.Equal(int(cuts.Load()), a.cuts())
			})
		}
	}
}

// An answer without a body is whole where its status, its length or its version says so.
func TestAnswerWithoutBodyIsWhole(t *testing.T) {
	for _, c := range []struct {
		name, start string
		status      int
	}{
		{"length", "HTTP/1.1 200 OK\nContent-Length: 0\n", http.StatusOK},
		{"chunks", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", http.StatusOK},
		{"no content", "HTTP/1.1 204 No Content\n", http.StatusNoContent},
		{"failure", "HTTP/1.1 404 Not Found\n", http.StatusNotFound},
		{"version without chunks", "HTTP/1.0 200 OK\n", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestBox(t, newStub(t, "u", func(conn net.Conn, r stubRequest) bool {
				writeWire(conn, c.start+"X-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\n\n")
				if c.name == "chunks" {
					writeChunk(conn, "")
				}
				return false
			}))
			got := b.do(b.request("POST", "/once/x", "body"))
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(got.header.Get("X-Sign"), "s")
			is.Equal(got.body, "")
		})
	}
}
