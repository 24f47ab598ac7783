package relay

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// listInDomain publishes an upstream in a failure domain.
func (b *testBox) listInDomain(s *stub, domain string) {
	b.publisher.set(s.id, balance.Upstream{ID: s.id, Service: "s", Address: s.listener.Addr().String(), Domain: domain, Slots: 8}, false)
}

// awaitEvacuated waits until exactly these domains are evacuated on the box.
func (b *testBox) awaitEvacuated(domains ...string) {
	b.t.Helper()
	b.waitFor(func() bool {
		b.relay.mu.Lock()
		defer b.relay.mu.Unlock()
		return fmt.Sprint(b.relay.fleet.Evacuated()) == fmt.Sprint(domains)
	})
}

func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", respondOK("1")), newStub(t, "u2", respondOK("2"))
	b := newTestBox(t, u1, u2)
	b.listInDomain(u1, "d1")
	b.listInDomain(u2, "d2")
	b.publisher.set("evacuate/d1", "", false)
	b.awaitEvacuated("d1")
	for i := range 20 {
		is.Equal(b.do(b.request("GET", fmt.Sprintf("/safe/%d", i), "")).body, "2")
	}
	is.Equal(len(u1.requests()), 0)
	b.awaitLog("domain: evacuated")

	b.publisher.set("evacuate/d2", "", false)
	b.awaitEvacuated("d1", "d2")
	a := b.do(b.request("POST", "/once/x", "")) // no upstream is left: refused, and not run
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(u1.requests()), 0)
	is.Equal(len(u2.requests()), 20)

	b.publisher.set("evacuate/d1", "", true)
	b.awaitEvacuated("d2")
	is.Equal(b.do(b.request("POST", "/once/y", "")).body, "1")
	b.awaitLog("domain: taken back")
}

// A run in an evacuated domain may finish there, but a stream that breaks continues elsewhere.
func TestBrokenStreamLeavesEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	broken := make(chan struct{})
	breaks := func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		writeChunk(c, event(1))
		<-broken
		return false
	}
	goesOn := func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		if r.Header.Get("X-Last") == "" {
			writeChunk(c, event(1))
		}
		writeChunk(c, event(2))
		writeChunk(c, "")
		return true
	}
	u1, u2, u3 := newStub(t, "u1", breaks), newStub(t, "u2", breaks), newStub(t, "u3", goesOn)
	b := newTestBox(t, u1, u2)
	b.listInDomain(u1, "d1")
	b.listInDomain(u2, "d1")
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
	b.waitFor(func() bool { return len(u1.requests())+len(u2.requests()) == 1 })
	b.listInDomain(u3, "d3")
	b.publisher.set("evacuate/d1", "", false)
	b.awaitEvacuated("d1")
	b.waitFor(func() bool { return b.upstreamCount() == 3 })
	close(broken)
	is.Equal((<-done).body, event(1)+event(2))
	is.Equal(len(u1.requests())+len(u2.requests()), 1)
	is.Equal(len(u3.requests()), 1)
}

// An upstream that identifies itself as another instance than the intended one gets no more
// requests. On a route that allows one run, the second request already goes elsewhere.
func TestReplacedUpstreamGetsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	replaced := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		writeWire(c, fmt.Sprintf("HTTP/1.1 421 No\nX-Id: %s\nX-Started: u9\nX-Not-Run: 1\nContent-Length: 0\n\n", r.Header.Get("X-Id")))
		return true
	})
	b := newTestBox(t, replaced)
	a := b.do(b.request("POST", "/brief/x", ""))
	is.Equal(a.status, 503) // its only run was refused
	b.listUpstream(newStub(t, "u2", respondOK("2")), false)
	b.waitFor(func() bool { return b.upstreamCount() == 2 })
	for i := range 20 {
		is.Equal(b.do(b.request("POST", fmt.Sprintf("/brief/%d", i), "")).body, "2")
	}
	is.Equal(len(replaced.requests()), 1)

	b.listUpstream(newStub(t, "u9", respondOK("9")), false) // the instance that took its place is listed
	b.waitFor(func() bool { return b.upstreamCount() == 3 })
}

// A refusal with the same status that names no other instance, as for another version of the
// weights, does not affect the upstream.
func TestVersionRefusalKeepsUpstream(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondNotRun(421))
	b := newTestBox(t, u)
	is.Equal(b.do(b.request("POST", "/brief/x", "")).status, 503)
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	is.True(!b.relay.fleet.Get("u1").Leaving)
}

func TestColdBounds(t *testing.T) {
	for _, c := range []struct {
		bounds    ColdBounds
		perSecond float64
		want      int
	}{
		{ColdBounds{Overshoot: 1.5, Slack: 5}, 5.2, 12},
		{ColdBounds{Overshoot: 1.5, Slack: 5}, 0, 0}, // the service configures no limit
		{ColdBounds{}, 5.2, 0},                       // unbounded
	} {
		is.New(t).Equal(c.bounds.maxRequests(c.perSecond), c.want)
	}
}

// A box that reports ready accepts new connections, whatever else it is doing: here it holds
// hanging streams, and no upstream may be sent anything more.
func TestReadyBoxAcceptsConnections(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	hangs := func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		writeChunk(c, event(1))
		<-ended
		return false
	}
	u := newStub(t, "u1", hangs)
	b := newTestBox(t, u)
	b.listInDomain(u, "d1")
	const streams, callers = 40, 7
	done := make(chan callerResponse, streams)
	for i := range streams {
		go func() { done <- b.do(b.request("POST", fmt.Sprintf("/fixed/%d", i), "")) }()
	}
	b.waitFor(func() bool { return len(u.requests()) == streams })
	b.publisher.set("evacuate/d1", "", false)
	b.awaitEvacuated("d1")
	is.True(b.relay.Ready())
	for i := range callers { // each on a new connection
		is.Equal(b.do(b.request("POST", fmt.Sprintf("/once/%d", i), "")).status, 503)
	}
	close(ended)
	for range streams {
		<-done
	}
}
