package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

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
	}{
		{"length", head + "Content-Length: 12\r\n\r\nabcdefghijkl", true},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: 1\r\n\r\nabcdefghijkl", true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n0c\r\nabcdefghijkl\r\n3;x=y\r\nmno\r\n0\r\nX-T: 1\r\n\r\n", true},
		{"bare line ends", "HTTP/1.1 200 OK\nX-A: 1\nContent-Length: 12\r\n\r\nabcdefghijkl", true},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", true},
		{"connection", head + "Connection: close\r\n\r\n", true},
		{"nothing", head + "\r\n", true},
		{"stream", chunked("a", "b"), false},
		{"stream without a length", head + "Content-Type: text/event-stream\r\n\r\ndata: a\n\n", false},
	} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " reset=", isReset), func(t *testing.T) {
				is := is.New(t)
				var offset atomic.Int32
				l := serveCut(t, c.answer, isReset, &offset)
				h := runner()
				defer func() { is.NoErr(h.Close()) }()
				for int(offset.Load()) < len(c.answer) {
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
