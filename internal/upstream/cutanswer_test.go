package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/decide"
)

// serveCut starts an upstream that stops within its answer after as many bytes as offset says, and closes
// or resets the connection.
func serveCut(t *testing.T, answer string, isReset bool, offset *atomic.Int32) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { _ = l.Close(); <-done })
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(c, answer[:offset.Load()])
			if isReset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l
}

// An upstream that stops within an answer gives no success, wherever it stops.
func TestAnswerCutAnywhereIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-A: 0123456789\r\n"
	for _, c := range []struct {
		name, answer string
		isPlain      bool
		unread       int // bytes at its end whose lack nothing shows
	}{
		{"length", head + "Content-Length: 12\r\n\r\nabcdefghijkl", true, 0},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: 1\r\n\r\nabcdefghijkl", true, 0},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n0c\r\nabcdefghijkl\r\n3;x=y\r\nmno\r\n0\r\nX-T: 1\r\n\r\n", true, 0},
		{"bare line ends", "HTTP/1.1 200 OK\nX-A: 1\nContent-Length: 12\r\n\r\nabcdefghijkl", true, 0},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", true, 0},
		{"connection", head + "Connection: close\r\n\r\nabc", true, 2},
		{"nothing", head + "\r\nabc", true, 2},
		{"stream", chunked("a", "b"), false, 0},
		{"stream without a length", head + "Content-Type: text/event-stream\r\n\r\ndata: a\n\n", false, 0},
	} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " reset=", isReset), func(t *testing.T) {
				is := is.New(t)
				var offset atomic.Int32
				l := serveCut(t, c.answer, isReset, &offset)
				h := runner()
				defer func() { is.NoErr(h.Close()) }()
				for int(offset.Load()) < len(c.answer)-c.unread {
					call := callTo(l.Addr().String(), c.isPlain)
					call.Fresh = true
					var sink collector
					r := h.Run(context.Background(), call, &sink)
					if r.Outcome != decide.Failed || !r.Ran || sink.whole != "" {
						t.Fatalf("cut at %d of %q: outcome %v, ran %v, body %q", offset.Load(), c.answer, r.Outcome, r.Ran, sink.whole)
					}
					offset.Add(1)
				}
			})
		}
	}
}

// An answer without a body is whole where its status, its length or its version says so.
func TestAnswerWithoutBodyIsWhole(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 404 Not Found\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
	} {
		is := is.New(t)
		s := serve(t, true, answer)
		h := runner()
		is.Equal(h.Run(context.Background(), callTo(s.Addr().String(), true), &collector{}).Outcome, decide.Answered)
		is.NoErr(h.Close())
	}
}

// The box waited for a body that an answer to HEAD does not have, until the upstream counted as silent.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	for _, c := range []struct {
		name, framing string
		connections   int // opened for two requests
	}{
		{"length", "Content-Length: 5\r\n", 1},
		{"chunks", "Transfer-Encoding: chunked\r\n", 1},
		{"connection", "", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			answer := "HTTP/1.1 200 OK\r\n" + c.framing + "\r\n"
			s := serve(t, false, answer, answer)
			h := runner()
			call := callTo(s.Addr().String(), true)
			call.Method, call.Body = fasthttp.MethodHead, nil
			for range 2 {
				is.Equal(h.Run(context.Background(), call, &collector{}).Outcome, decide.Answered)
			}
			is.Equal(s.connections(), c.connections)
			is.NoErr(h.Close())
		})
	}
}
