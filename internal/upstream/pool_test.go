package upstream

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/timer"
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

// laterClock is the system clock, put forward.
type laterClock struct {
	timer.SystemClock
	by atomic.Int64 // time.Duration
}

func (c *laterClock) Boot() time.Duration { return c.SystemClock.Boot() + time.Duration(c.by.Load()) }

// A request that may run once was lost when it crossed the close of a connection that had been idle for long.
func TestConnectionIdleForLongIsNotUsed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for { // each connection ends without a word on its second request
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			go func() {
				_, _ = c.Read(make([]byte, 4096))
				_ = c.Close()
			}()
		}
	}()
	clock := new(laterClock)
	h := NewHTTP(HTTPConfig{Clock: clock, DialTimeout: time.Second, CallTimeout: time.Second, MaxAnswer: 1000, MaxSilence: 5 * time.Second})
	defer func() { is.NoErr(h.Close()) }()
	call := callTo(l.Addr().String(), true)
	is.Equal(h.Run(t.Context(), call, new(collector)).Outcome, decide.Answered)
	clock.by.Store(int64(5 * time.Second))
	is.Equal(h.Run(t.Context(), call, new(collector)).Outcome, decide.Answered)
}
