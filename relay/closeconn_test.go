package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// listenWithSmallBuffer returns a listener whose connections hold little that is not read.
func listenWithSmallBuffer(t testing.TB) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); e != nil {
			return e
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// The upstream had not acknowledged all of a request when the box gave it up, as where a partition
// holds bytes up: it reached the upstream later, when nobody waited for it.
func TestRequestReachesUpstreamAfterItWasGivenUp(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	for _, path := range []string{"/once/x", "/safe/x", "/flow/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			l := listenWithSmallBuffer(t)
			b := newTestBox(t, []*stub{}...)
			b.publisher.set("u1", balance.Upstream{ID: "u1", Service: "s", Address: l.Addr().String(), Domain: "d", Slots: 8}, false)
			b.waitFor(func() bool { return b.upstreamCount() == 1 })
			accepted := make(chan net.Conn, 1)
			go func() {
				if c, err := l.Accept(); err == nil {
					accepted <- c
				}
			}()
			a := b.do(b.request(http.MethodPost, path, body, "X-Left", "400"))
			is.True(a.status >= http.StatusInternalServerError)
			c := <-accepted
			defer func() { _ = c.Close() }()
			b.waitFor(func() bool {
				b.relay.mu.Lock()
				defer b.relay.mu.Unlock()
				return len(b.relay.runConns) == 0
			})
			received, err := io.ReadAll(c)
			is.True(err != nil) // the connection was reset
			is.True(len(received) < len(body))
		})
	}
}
