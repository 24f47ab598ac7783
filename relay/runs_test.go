package relay

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// For each kind of failed run: how many runs the request has in total, and what the caller is told.
func TestFailedRuns(t *testing.T) {
	reset := func(net.Conn, stubRequest) bool { return false }
	cut := func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nContent-Length: 10\n\nhalf")
		return false
	}
	cutChunk := func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nTransfer-Encoding: chunked\n\n5\nhello\n")
		return false
	}
	garbage := func(c net.Conn, _ stubRequest) bool {
		writeWire(c, "\x01\x02 this is not an HTTP response\n\n")
		return false
	}
	foreign := func(c net.Conn, _ stubRequest) bool {
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: another\nX-Sign: s\nContent-Length: 2\n\nno")
		return false
	}
	failing := func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 500 Broken\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\nContent-Length: 2\n\nno")
		return true
	}
	for _, c := range []struct {
		name   string
		path   string
		script func(net.Conn, stubRequest) bool
		runs   int
		status int
		ran    string
	}{
		{"refused, once", "/once/x", respondNotRun(503), 2, 503, "no"},
		{"refused, repeatable", "/safe/x", respondNotRun(503), 2, 503, "no"},
		{"replaced by another instance", "/once/x", respondNotRun(421), 2, 503, "no"},
		{"reset, once", "/once/x", reset, 1, 502, "unknown"},
		{"reset, repeatable", "/safe/x", reset, 2, 502, "unknown"},
		{"reset, stream", "/fixed/x", reset, 1, 502, "unknown"},
		{"reset, resumable stream", "/flow/x", reset, 2, 502, "unknown"},
		{"truncated, once", "/once/x", cut, 1, 502, "unknown"},
		{"truncated, repeatable", "/safe/x", cut, 2, 502, "unknown"},
		{"truncated chunks", "/once/x", cutChunk, 1, 502, "unknown"},
		{"not HTTP, once", "/once/x", garbage, 1, 502, "unknown"},
		{"response to another request, once", "/once/x", foreign, 1, 502, "unknown"},
		{"status 500, once", "/once/x", failing, 1, 500, ""},
		{"status 500, repeatable", "/safe/x", failing, 2, 500, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u1, u2, u3 := newStub(t, "u1", c.script), newStub(t, "u2", c.script), newStub(t, "u3", c.script)
			b := newTestBox(t, u1, u2, u3)
			a := b.do(b.request("GET", c.path, ""))
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
			is.Equal(len(u1.requests())+len(u2.requests())+len(u3.requests()), c.runs)
			if c.ran != "" {
				is.True(strings.Contains(a.body, `"ran":"`+c.ran+`"`))
				is.Equal(a.header.Get("X-Sign"), "")
			}
		})
	}
}

func TestRefusedRequestIsServedByAnotherUpstream(t *testing.T) {
	is := is.New(t)
	full, free := newStub(t, "full", respondNotRun(503)), newStub(t, "free", respondOK("ok"))
	b := newTestBox(t, full, free)
	for range 4 {
		a := b.do(b.request("POST", "/once/x", "body"))
		is.Equal(a.status, 200)
	}
}

func TestUnreachableUpstreamCostsNoAttempt(t *testing.T) {
	is := is.New(t)
	dead, alive := newStub(t, "dead", respondOK("")), newStub(t, "alive", respondOK("ok"))
	is.NoErr(dead.listener.Close())
	b := newTestBox(t, dead, alive)
	for range 4 {
		is.Equal(b.do(b.request("POST", "/once/x", "body")).status, 200)
	}
}

func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: earlier\nX-Sign: old\nContent-Length: 3\n\nold")
		return respondOK("mine")(c, r)
	})
	b := newTestBox(t, u)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 200)
	is.Equal(a.body, "mine")
	is.Equal(a.header.Get("X-Sign"), "s")
}

func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		id := r.Header.Get("X-Id")
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+id+"\nX-Sign: s\nContent-Length: 2\n\nokHTTP/1.1 200 OK\nX-Id: "+id+"\nX-Sign: s\nContent-Length: 5\n\nextra")
		return true
	})
	b := newTestBox(t, u)
	for range 3 {
		a := b.do(b.request("POST", "/once/x", ""))
		is.Equal(a.body, "ok")
	}
}

func TestResponseWithoutLengthEndsAtConnectionClose(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\n\nall of it")
		return false
	})
	b := newTestBox(t, u)
	a := b.do(b.request("POST", "/once/x", ""))
	is.Equal(a.status, 200)
	is.Equal(a.body, "all of it")
	b.awaitLog(`"ended_by":"connection"`)
}

func TestEarlyResponseIsForwardedAndConnectionDropped(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 1024)) // the rest of the body is never read
		writeWire(c, "HTTP/1.1 400 Early\nX-Id: id-/once/x\nX-Sign: s\nContent-Length: 2\n\nno")
		time.Sleep(50 * time.Millisecond)
	}()
	u := &stub{id: "u1", listener: l}
	b := newTestBox(t, u)
	a := b.do(b.request("POST", "/once/x", strings.Repeat("x", 900<<10)))
	is.Equal(a.status, 400)
	is.Equal(a.body, "no")
	<-done
}

func TestConnectionLimitIsEnforced(t *testing.T) {
	is := is.New(t)
	p := newConnPool(func(string) int { return 2 })
	is.True(p.reserve("u", 2))
	is.True(p.reserve("u", 2))
	is.True(!p.reserve("u", 2))
	p.release("u")
	is.True(p.reserve("u", 2))
}

// respond500First returns a script that fails its first request and answers all others.
func respond500First() func(net.Conn, stubRequest) bool {
	first := true
	return func(c net.Conn, r stubRequest) bool {
		if first {
			first = false
			writeWire(c, "HTTP/1.1 500 Broken\nx-id: "+r.Header.Get("X-Id")+"\nX-Sign: bad\nContent-Length: 2\n\nno")
			return true
		}
		return respondOK("ok")(c, r)
	}
}

func TestRetryIsTakenFromBudgetOnce(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", respond500First()), newStub(t, "u2", respond500First())
	b := newTestBox(t, u1, u2)
	first := b.do(b.request("GET", "/safe/x", "")) // both upstreams fail their first request
	is.Equal(first.status, 500)
	is.Equal(b.relay.state().Retries[0].Spent, uint32(1))
}

func TestFailureIsForwardedWhenNoUpstreamIsLeft(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respond500First())
	b := newTestBox(t, u)
	a := b.do(b.request("GET", "/safe/x", ""))
	is.Equal(a.status, 500)
	is.Equal(a.body, "no")
	is.Equal(a.header.Get("X-Sign"), "bad")
}
