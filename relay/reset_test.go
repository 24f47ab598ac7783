package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newEarlyStub returns an upstream that answers before it has read the body of a request, without a length, and
// ends the connection by end.
func newEarlyStub(t *testing.T, contentType, body string, end func(*net.TCPConn)) *stub {
	s := &stub{id: "u1", listener: listen(t)}
	t.Cleanup(func() { _ = s.listener.Close() })
	serve := func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
		if err != nil {
			return
		}
		writeWire(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\nContent-Type: %s\n\n", r.Header.Get("X-Id"), contentType))
		_, _ = io.WriteString(c, body)
		end(c)
	}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return s
}

// The kernel tells of a reset once. Where it told a write of the request, the end of the connection was taken for that of the
// answer: callers got a part of an answer without a length as complete.
func TestResetUnderWriteLooksLikeEndOfAnswer(t *testing.T) {
	killed := func(*net.TCPConn) { time.Sleep(2 * time.Millisecond) } // closing with unread bytes resets the connection
	drained := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	for _, test := range []struct {
		name, path, contentType string
		end                     func(*net.TCPConn)
		isComplete              bool
	}{
		{"stream, reset", "/fixed/", "text/event-stream", killed, false},
		{"stream, closed before all is read", "/fixed/", "text/event-stream", drained, true},
		{"plain answer, reset", "/once/", "text/plain", killed, false},
		{"plain answer, closed before all is read", "/once/", "text/plain", drained, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestBox(t, newEarlyStub(t, test.contentType, event(1)+event(2), test.end))
			for i := range 20 {
				id := fmt.Sprint("r", i)
				got := b.do(b.request(http.MethodPost, test.path+id, id+strings.Repeat("x", 1<<20-100), "X-Id", id))
				is.Equal(got.status == http.StatusOK && got.err == nil, test.isComplete)
			}
		})
	}
}
