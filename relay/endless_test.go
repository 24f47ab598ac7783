package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// endless is what an upstream sends without end, until the connection is closed.
type endless struct {
	name  string
	start string // sent once; %s is the request's ID
	rest  string // sent again and again
}

// Starts of responses.
const (
	statusOK     = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\n"
	chunkedOK    = statusOK + "Transfer-Encoding: chunked\r\n\r\n"
	unframedOK   = statusOK + "\r\n"
	streamOK     = statusOK + "Content-Type: text/event-stream\r\n"
	chunkedFlow  = streamOK + "Transfer-Encoding: chunked\r\n\r\n"
	unframedFlow = streamOK + "\r\n"
	chunkA       = "4\r\naaaa\r\n"
)

// endlessHeads never get to the end of a header, or to a response.
var endlessHeads = []endless{
	{"no response", "", "\x00\x01\x02a"},
	{"status line", "HTTP/1.1 200 ", "a"},
	{"header name", "HTTP/1.1 200 OK\r\n", "a"},
	{"header value", "HTTP/1.1 200 OK\r\nX-A: ", "a"},
	{"header lines", statusOK, "X-A: 1\r\n"},
	{"continuation lines", statusOK + "X-A: 1\r\n", " a\r\n"},
	{"empty lines", "", "\r\n"},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	{"responses to another request", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\na"},
	{"response to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", chunkA},
	{"long response to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 9000000000\r\n\r\n", "a"},
}

// endlessBodies never get to the end of a body.
var endlessBodies = []endless{
	{"chunks", chunkedOK, chunkA},
	{"chunk size", chunkedOK, "0"},
	{"chunk extension", chunkedOK + "4;", "a"},
	{"chunk extensions", chunkedOK, "1;aaaaaaaaaaaaaaaa\r\na\r\n"},
	{"trailers", chunkedOK + chunkA + "0\r\n", "X-A: 1\r\n"},
	{"trailer", chunkedOK + chunkA + "0\r\nX-A: ", "a"},
	{"no length", unframedOK, "a"},
	{"long", statusOK + "Content-Length: 9000000000\r\n\r\n", "a"},
}

// endlessStreams are sent after one event of a stream.
var endlessStreams = []endless{
	{"event in chunks", chunkedFlow, "4\r\naaaa\r\n"},
	{"event without a length", unframedFlow + event(1) + "id: 2\ndata: ", "a"},
	{"event lines", unframedFlow + event(1) + "id: 2\n", "data: a\n"},
	{"empty lines", unframedFlow + event(1), "\n"},
	{"the same event", unframedFlow + event(1), event(1)},
	{"no text", unframedFlow + event(1), "\x00\xff\n\n"},
	{"no event", unframedFlow + event(1), "aaaa\n\n"},
	{"chunk size", chunkedFlow, "0"},
	{"trailers", chunkedFlow + "0\r\n", "X-A: 1\r\n"},
}

// send sends the bytes until the connection is closed.
func (e endless) send(c net.Conn, r stubRequest) {
	if _, err := io.WriteString(c, strings.ReplaceAll(e.start, "%s", r.Header.Get("X-Id"))); err != nil {
		return
	}
	block := []byte(strings.Repeat(e.rest, 1+(16<<10)/len(e.rest)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// longDocument allows requests more time than the tests wait, so that no deadline ends one.
func longDocument() any {
	d := testDocument(2)
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Minute
	}
	return d
}

// endlessBox is a box before an upstream that sends without end.
type endlessBox struct {
	*testBox
	bad    *stub
	ended  atomic.Int32 // connections of bad that were closed by the box
	served atomic.Int32 // requests to bad
}

func newEndlessBox(t *testing.T, send func(c net.Conn, r stubRequest), change func(*Config)) *endlessBox {
	b := new(endlessBox)
	b.bad = newStub(t, "bad", func(c net.Conn, r stubRequest) bool {
		b.served.Add(1)
		send(c, r)
		b.ended.Add(1)
		return false
	})
	b.testBox = newTestBoxWithConfig(t, change, b.bad)
	b.publisher.set("document", longDocument(), false)
	b.waitFor(func() bool { return b.relay.documentVersion() == 2 })
	return b
}

// awaitAnswer waits for the answer to a request, which has much more time.
func (b *endlessBox) awaitAnswer(r *http.Request) callerResponse {
	b.t.Helper()
	r.Header.Set("X-Left", "60000")
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(r) }()
	select {
	case got := <-done:
		return got
	case <-time.After(20 * time.Second):
		b.t.Fatal("the caller is not answered")
	}
	return callerResponse{}
}

// awaitClosed waits until the box has closed all connections to bad and released what it held.
func (b *endlessBox) awaitClosed() {
	b.t.Helper()
	b.waitFor(func() bool { return b.ended.Load() == b.served.Load() })
	b.waitFor(func() bool { return b.relay.stats.openRequests.Load() == 0 })
}

// Bytes without end in a head or a body: the caller of a request that may run once waited for its
// deadline, or for longer, or got what was no answer.
func TestBytesWithoutEndAreNoAnswer(t *testing.T) {
	for _, e := range append(append([]endless{}, endlessHeads...), endlessBodies...) {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newEndlessBox(t, e.send, func(c *Config) { c.Memory = 64 << 20 })
			got := b.awaitAnswer(b.request("POST", "/once/x", "body"))
			is.Equal(got.status, http.StatusBadGateway) // it may have run
			b.awaitClosed()
			is.True(b.relay.account.Peak() <= b.relay.account.Bound())
		})
	}
}

// The same in the body of a refusal that states that the request has not run.
func TestRefusalWithoutEndIsReportedAtOnce(t *testing.T) {
	for _, e := range []endless{
		{"chunks", "HTTP/1.1 503 No\r\nX-Id: %s\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunkA},
		{"no length", "HTTP/1.1 503 No\r\nX-Id: %s\r\nX-Not-Run: 1\r\n\r\n", "a"},
		{"long", "HTTP/1.1 503 No\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 9000000000\r\n\r\n", "a"},
	} {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newEndlessBox(t, e.send, func(*Config) {})
			got := b.awaitAnswer(b.request("POST", "/once/x", "body"))
			is.Equal(got.status, http.StatusServiceUnavailable) // it has not run
			b.awaitClosed()
		})
	}
}

// The same within a stream: it is continued elsewhere, and cut off where that is not allowed.
func TestStreamWithoutEndIsLeft(t *testing.T) {
	for _, e := range endlessStreams {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			if strings.HasPrefix(e.start, chunkedFlow) {
				e.start = chunkedFlow + fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1)) + strings.TrimPrefix(e.start, chunkedFlow)
			}
			b := newEndlessBox(t, e.send, func(c *Config) { c.Memory = 64 << 20 })
			got := b.awaitAnswer(b.request("POST", "/fixed/x", "body"))
			is.True(got.err != nil)
			is.Equal(got.body, event(1))
			good := newStub(t, "good", func(c net.Conn, r stubRequest) bool {
				startStream(c, r)
				if r.Header.Get("X-Last") == "" {
					writeChunk(c, event(1))
				}
				writeChunk(c, event(2))
				writeChunk(c, "")
				return true
			})
			b.listUpstream(good, false)
			b.waitFor(func() bool { return b.upstreamCount() == 2 })
			got = b.awaitAnswer(b.request("POST", "/flow/x", "body"))
			is.NoErr(got.err)
			is.Equal(got.body, event(1)+event(2))
			b.awaitClosed()
			is.True(b.relay.account.Peak() <= b.relay.account.Bound())
		})
	}
}

// Bytes behind a whole answer: the answer is whole, and the connection carries no other request.
func TestBytesBehindAnswerEndItsConnection(t *testing.T) {
	for _, e := range []endless{
		{"length", statusOK + "Content-Length: 2\r\n\r\nok", "a"},
		{"chunks", chunkedOK + "2\r\nok\r\n0\r\n\r\n", "a"},
		{"answers", statusOK + "Content-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"},
	} {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newEndlessBox(t, e.send, func(*Config) {})
			for i := range 3 {
				got := b.awaitAnswer(b.request("POST", fmt.Sprintf("/once/%d", i), "body"))
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, "ok")
				b.waitFor(func() bool { return !b.hasUsableConn("bad") }) // the bytes have arrived
			}
			b.relay.conns.closeIdle("bad")
			b.awaitClosed()
		})
	}
}

// hasUsableConn reports whether the box would send a request to an upstream on an idle connection.
func (b *testBox) hasUsableConn(id string) bool {
	p := b.relay.conns
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[idleKey{id, false}], (*conn).isUsable)
}

// The same in the answer to a call of the box itself: the call fails, and its connection is closed.
func TestCallAnsweredWithoutEndFails(t *testing.T) {
	for _, e := range append(append([]endless{}, endlessHeads[:9]...), endlessBodies...) {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newEndlessBox(t, endless{e.name, strings.ReplaceAll(e.start, "X-Id: %s\r\n", ""), e.rest}.send, func(*Config) {})
			u := balance.Upstream{ID: "bad", Service: "s", Address: b.bad.listener.Addr().String()}
			_, err := b.relay.callUpstream(t.Context(), u, "s", UpstreamCall{Method: http.MethodGet, Path: "/tell"})
			is.True(err != nil)
			b.awaitClosed()
		})
	}
}

// Many answers without end take no more than their part of a box's memory, and sound requests beside
// them are answered.
func TestAnswersWithoutEndLeaveMemoryToOthers(t *testing.T) {
	const bad = 40
	is := is.New(t)
	e := endless{"", unframedOK, "a"}
	b := newEndlessBox(t, e.send, func(c *Config) { c.Memory = 48 << 20 })
	u := balance.Upstream{ID: "bad", Service: "s", Address: b.bad.listener.Addr().String(), Domain: "d", Slots: 64}
	b.publisher.set("bad", u, false)
	done := make(chan callerResponse, bad)
	for i := range bad {
		go func() { done <- b.do(b.request("POST", fmt.Sprintf("/once/%d", i), "body", "X-Left", "60000")) }()
	}
	b.waitFor(func() bool { return b.served.Load() >= bad/2 })
	b.listUpstream(newStub(t, "good", respondOK("ok")), false)
	b.waitFor(func() bool { return b.upstreamCount() == 2 })
	for i := range 20 {
		got := b.awaitAnswer(b.request("GET", fmt.Sprintf("/safe/%d", i), ""))
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "ok")
	}
	for range bad {
		select {
		case got := <-done:
			is.Equal(got.status, http.StatusBadGateway)
		case <-time.After(20 * time.Second):
			t.Fatal("a caller is not answered")
		}
	}
	b.awaitClosed()
	is.True(b.relay.account.Peak() <= b.relay.account.Bound())
}

// An interim response was taken for the answer, with the answer as its body.
func TestInterimResponseIsNotTheAnswer(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nLink: a\n\n")
		return respondOK("ok")(c, r)
	})
	b := newTestBox(t, u)
	for i := range 2 {
		got := b.do(b.request("POST", fmt.Sprintf("/once/%d", i), "body"))
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "ok")
	}
}

// BenchmarkEventWithoutEnd measures what an event without an end costs until it is given up. It was
// searched from its start after each read.
func BenchmarkEventWithoutEnd(b *testing.B) {
	for b.Loop() {
		e := &eventReader{src: &shortReads{strings.NewReader("id: 1\ndata: " + strings.Repeat("a", 2*maxEvent)), readSize}}
		if _, err := e.next(); !errors.Is(err, errLongEvent) {
			b.Fatal(err)
		}
	}
}

// The end of an event is found wherever reads divide it.
func TestEventEndIsFoundAcrossReads(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		for size := 1; size < 9; size++ {
			is := is.New(t)
			want := "id: 1" + end + "id: 2" + end
			e := &eventReader{src: &shortReads{strings.NewReader(want), size}}
			var got strings.Builder
			for {
				part, err := e.next()
				got.Write(part)
				if err != nil {
					is.Equal(err, io.EOF)
					break
				}
			}
			is.Equal(got.String(), want)
		}
	}
}

// shortReads reads up to size bytes at a time.
type shortReads struct {
	src  io.Reader
	size int
}

func (s *shortReads) Read(p []byte) (int, error) { return s.src.Read(p[:min(len(p), s.size)]) }
