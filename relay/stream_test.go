package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

func TestStreamIsForwardedEventByEvent(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		for i := 1; i <= 3; i++ {
			writeChunk(c, event(i))
			<-next
		}
		writeChunk(c, "")
		return true
	})
	b := newTestBox(t, u)
	resp, err := http.DefaultClient.Do(b.request("POST", "/flow/x", ""))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 1024)
	for i := 1; i <= 3; i++ {
		n, err := resp.Body.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[:n]), event(i)) // before the next event was sent
		next <- struct{}{}
	}
	_, err = resp.Body.Read(buf)
	is.Equal(err, io.EOF)
}

// However a stream is interrupted, the caller gets each event once, or an incomplete response.
func TestBrokenStreamResumesOnAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		name string
		tail string // sent by the first upstream after two events
		path string
		want string
		fail bool
	}{
		{"between events", "", "/flow/x", event(1) + event(2) + event(3) + event(4), false},
		{"within an event", "id: 3\nda", "/flow/x", event(1) + event(2) + event(3) + event(4), false},
		{"stream that is not resumable", "id: 3\nda", "/fixed/x", event(1) + event(2), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			script := func(conn net.Conn, r stubRequest) bool {
				startStream(conn, r)
				if last := r.Header.Get("X-Last"); last != "" {
					from, _ := strconv.Atoi(last)
					writeChunk(conn, event(from)) // repeated; the caller must not get it twice
					for i := from + 1; i <= 4; i++ {
						writeChunk(conn, event(i))
					}
					writeChunk(conn, "")
					return true
				}
				writeChunk(conn, event(1))
				writeChunk(conn, event(2)+c.tail)
				return false
			}
			u1, u2 := newStub(t, "u1", script), newStub(t, "u2", script)
			b := newTestBox(t, u1, u2)
			a := b.do(b.request("POST", c.path, "body"))
			is.Equal(a.status, 200)
			is.Equal(a.body, c.want)
			is.Equal(a.err != nil, c.fail)
			if !c.fail {
				got := append(u1.requests(), u2.requests()...)
				is.Equal(len(got), 2)
				is.Equal(got[1].body, "body")
			}
		})
	}
}

func TestStreamLeavesUnreachableUpstream(t *testing.T) {
	is := is.New(t)
	silent := make(chan struct{})
	defer close(silent)
	script := func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		if r.Header.Get("X-Last") == "" {
			writeChunk(c, event(1))
			<-silent // neither an event nor an end follows
			return false
		}
		writeChunk(c, event(2))
		writeChunk(c, "")
		return true
	}
	u1, u2 := newDarkUpstream(t, "u1"), newDarkUpstream(t, "u2")
	u1.script, u2.script = script, script
	b := newTestBox(t, u1.stub, u2.stub)
	resp, err := http.DefaultClient.Do(b.request("POST", "/flow/x", ""))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 1024)
	n, err := resp.Body.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), event(1))
	first := u1
	if len(u1.requests()) == 0 {
		first = u2
	}
	first.disappear()
	b.relay.probeUnreachable(context.Background(), balance.Upstream{ID: first.id, Address: first.listener.Addr().String()})
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(rest), event(2))
}

// A stream with neither a length nor chunks ends with its connection: within an event it has been
// broken off, and without any event nothing says that it was whole.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		sent   string // by the first upstream, before it closes the connection
		path   string
		want   string
		status int
		broken bool
	}{
		{"after an event", event(1) + event(2), "/flow/x", event(1) + event(2), 200, false},
		{"within an event", event(1) + "id: 2\nda", "/flow/x", event(1) + event(2), 200, false},
		{"within an event of a stream that is not resumable", event(1) + "id: 2\nda", "/fixed/x", event(1), 200, true},
		{"before the first event", "", "/flow/x", event(1) + event(2), 200, false},
		{"before the first event of a stream that is not resumable", "", "/fixed/x", "", 502, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			script := func(conn net.Conn, r stubRequest) bool {
				if runs.Add(1) == 1 {
					writeWire(conn, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nContent-Type: text/event-stream\n\n")
					_, _ = io.WriteString(conn, c.sent)
					return false
				}
				startStream(conn, r)
				from, _ := strconv.Atoi(r.Header.Get("X-Last"))
				for i := from + 1; i <= 2; i++ {
					writeChunk(conn, event(i))
				}
				writeChunk(conn, "")
				return true
			}
			b := newTestBox(t, newStub(t, "u1", script), newStub(t, "u2", script))
			got := b.do(b.request("POST", c.path, "body"))
			is.Equal(got.status, c.status)
			is.Equal(got.err != nil, c.broken)
			if c.status == 200 {
				is.Equal(got.body, c.want)
			}
		})
	}
}
