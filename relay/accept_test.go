package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

// shortListener is a listener of a process that may lack descriptors.
type shortListener struct {
	net.Listener
	lacks  atomic.Bool
	failed atomic.Int32
}

// Accept fails at once while descriptors lack, as the kernel does.
func (l *shortListener) Accept() (net.Conn, error) {
	if l.lacks.Load() {
		return nil, l.fail()
	}
	c, err := l.Listener.Accept()
	if err == nil && l.lacks.Load() {
		_ = c.Close()
		return nil, l.fail()
	}
	return c, err
}

func (l *shortListener) fail() error {
	l.failed.Add(1)
	return &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
}

// lack makes the listener fail, and waits until it has.
func (l *shortListener) lack(b *testBox) {
	l.lacks.Store(true)
	before := l.failed.Load()
	b.waitFor(func() bool {
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			_ = c.Close()
		}
		return l.failed.Load() > before
	})
}

// The first failure to accept ended a server for good: the box took no new connection any more, and
// still reported that it was ready.
func TestBoxAcceptsConnectionsAgainAfterLackOfDescriptors(t *testing.T) {
	is := is.New(t)
	var callers, ready shortListener
	b := newTestBoxWithConfig(t, func(c *Config) {
		callers.Listener, ready.Listener = c.CallerListener, c.ReadinessListener
		c.CallerListener, c.ReadinessListener = &callers, &ready
	}, newStub(t, "u", respondOK("u")))
	for range 3 {
		is.Equal(b.once().body, "u")
		callers.lack(b)
		b.waitFor(func() bool { return !b.relay.Ready() })
		is.Equal(b.readiness(), http.StatusServiceUnavailable)
		callers.lacks.Store(false)
		b.waitFor(b.relay.Ready) // without a connection, which nobody opens to a box that is not ready
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		is.Equal(b.do(b.request(http.MethodPost, "/once/x", "x").WithContext(ctx)).body, "u")
		cancel()
		is.True(b.relay.Ready())
		ready.lack(b)
		ready.lacks.Store(false)
		is.Equal(b.readiness(), http.StatusOK)
	}
	b.awaitLog("box: cannot accept")
	b.awaitLog("box: accepts again")
	is.True(b.relay.stats.counterValue(acceptFailures) >= 6)
}

// readiness returns the status of a readiness check on a new connection.
func (b *testBox) readiness() int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(b.ready + "/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// The same for the connections of other boxes.
func TestTunnelsAreAcceptedAgainAfterLackOfDescriptors(t *testing.T) {
	is := is.New(t)
	var tunnels shortListener
	_, second, _ := startTunnelPair(t, func(c *Config) {
		tunnels.Listener = c.TunnelListener
		c.TunnelListener = &tunnels
	}, newStub(t, "u", respondOK("u")))
	tunnels.lack(second)
	tunnels.lacks.Store(false)
	is.Equal(askForTunnel(t, second, &wire.TunnelRequest{Box: "third", Domain: "d", Upstream: "u"}), wire.TunnelResponse_OPENED)
}
