package relay

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

// A stream was cut off when its upstream, which had closed its listener to stop once its runs had ended, refused
// another request's connection.
func TestStreamIsCutOffByRefusedProbe(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	u := newStub(t, "u", twoEvents(proceed))
	b := newTestBox(t, u)
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
	b.waitFor(func() bool { return len(u.requests()) == 1 })
	is.NoErr(u.listener.Close())
	is.True(b.once().status != 200)
	b.awaitLog(`"msg":"upstream: ended"`) // by the refused connection or a probe
	time.Sleep(2 * probeInterval)
	close(proceed)
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, event(1)+event(2))
	is.Equal(len(u.requests()), 1)
}

// Streams of a failure domain were cut off when its boxes had stopped and two of its upstreams, which were about to stop,
// refused connections: the domain counted as cut off.
func TestRefusalsCutOffDomainWithoutBoxes(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	script := func(c net.Conn, r stubRequest) bool {
		if strings.HasPrefix(r.URL.Path, "/flow/") {
			return twoEvents(proceed)(c, r)
		}
		<-proceed
		return respondOK("answer")(c, r)
	}
	stubs := []*stub{newStub(t, "u", script), newStub(t, "v", script), newStub(t, "w", script)}
	var self *wire.GroupBox
	first := newTestBoxWithConfig(t, func(c *Config) {
		joinGroup(t, c, "first")
		c.Domain, c.Self.Domain, self = "e", "e", c.Self
	}, stubs...)
	second := first.startPeer(self)
	second.relay.Stop()
	done := make(chan callerResponse, 1)
	go func() { done <- first.do(first.request("POST", "/flow/x", "")) }()
	hasStream := func(s *stub) bool { return len(s.requests()) == 1 }
	first.waitFor(func() bool { return slices.ContainsFunc(stubs, hasStream) })
	for _, s := range stubs {
		if !hasStream(s) {
			is.NoErr(s.listener.Close())
		}
	}
	answered := make(chan callerResponse, 1)
	go func() { answered <- first.once() }() // its upstream is tried after the other two
	first.waitFor(func() bool {
		first.relay.mu.Lock()
		defer first.relay.mu.Unlock()
		return len(first.relay.fleet.Unreachable()) >= 2
	})
	time.Sleep(2 * tickInterval) // the domain is looked at
	close(proceed)
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, event(1)+event(2))
	is.Equal((<-answered).status, http.StatusOK)
	is.True(!first.closedLogContains(`"msg":"domain: cut off"`))
}
