package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/decide"
)

// A request that may run once was lost on an idle connection that its upstream had closed.
func TestConnectionThatUpstreamClosedIsNotUsed(t *testing.T) {
	for name, unasked := range map[string]string{"closed": "", "closed after unasked bytes": "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			closed := make(chan struct{})
			go func() {
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4096))
				_, _ = c.Write([]byte(answer))
				time.Sleep(50 * time.Millisecond) // the connection is idle
				_, _ = c.Write([]byte(unasked))
				_ = c.Close()
				time.Sleep(50 * time.Millisecond) // its end has arrived
				close(closed)
				if c, err = l.Accept(); err == nil {
					_, _ = c.Read(make([]byte, 4096))
					_, _ = c.Write([]byte(answer))
					_ = c.Close()
				}
			}()
			h := runner()
			defer func() { _ = h.Close() }()
			call := callTo(l.Addr().String(), true)
			is.Equal(h.Run(t.Context(), call, new(collector)).Outcome, decide.Answered)
			<-closed
			got := new(collector)
			is.Equal(h.Run(t.Context(), call, got).Outcome, decide.Answered)
			is.Equal(got.whole, "ok")
		})
	}
}
