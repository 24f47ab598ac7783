package relay

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// listIn lists an upstream in a failure domain of its own choice.
func (b *testBox) listIn(s *stub, domain string) {
	b.publisher.set(s.id, balance.Upstream{ID: s.id, Service: "s", Address: s.listener.Addr().String(), Domain: domain, Slots: 8}, false)
}

// evacuated waits until the box goes by what is published.
func (b *testBox) evacuated(domains ...string) {
	b.t.Helper()
	b.waitFor(func() bool {
		b.relay.mu.Lock()
		defer b.relay.mu.Unlock()
		return fmt.Sprint(b.relay.fleet.Evacuated()) == fmt.Sprint(domains)
	})
}

func TestNothingGoesToADomainThatIsEvacuated(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", respondOK("1")), newStub(t, "u2", respondOK("2"))
	b := newTestBox(t, u1, u2)
	b.listIn(u1, "d1")
	b.listIn(u2, "d2")
	b.publisher.set("evacuate/d1", "", false)
	b.evacuated("d1")
	for i := range 20 {
		is.Equal(b.do(b.request("GET", fmt.Sprintf("/safe/%d", i), "")).body, "2")
	}
	is.Equal(len(u1.requests()), 0)
	is.True(b.log.contains("domain: evacuated"))

	b.publisher.set("evacuate/d2", "", false)
	b.evacuated("d1", "d2")
	a := b.do(b.request("POST", "/once/x", "")) // nobody is left: refused, and not run
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(u1.requests()), 0)
	is.Equal(len(u2.requests()), 20)

	b.publisher.set("evacuate/d1", "", true)
	b.evacuated("d2")
	is.Equal(b.do(b.request("POST", "/once/y", "")).body, "1")
	is.True(b.log.contains("domain: taken back"))
}

// What runs in a domain when it is evacuated may end there, but a stream that breaks goes on
// elsewhere.
func TestAStreamThatBreaksInAnEvacuatedDomainGoesOnElsewhere(t *testing.T) {
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
	b.listIn(u1, "d1")
	b.listIn(u2, "d1")
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
	b.waitFor(func() bool { return len(u1.requests())+len(u2.requests()) == 1 })
	b.listIn(u3, "d3")
	b.publisher.set("evacuate/d1", "", false)
	b.evacuated("d1")
	b.waitFor(func() bool { return b.upstreamCount() == 3 })
	close(broken)
	is.Equal((<-done).body, event(1)+event(2))
	is.Equal(len(u1.requests())+len(u2.requests()), 1)
	is.Equal(len(u3.requests()), 1)
}

// An upstream that says that it is another start than the one meant is left at once: on a route
// that allows one run, the second request already goes elsewhere.
func TestAnUpstreamThatWasReplacedIsLeftAtTheFirstWord(t *testing.T) {
	is := is.New(t)
	replaced := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		writeWire(c, fmt.Sprintf("HTTP/1.1 421 No\nX-Id: %s\nX-Started: u9\nX-Not-Run: 1\nContent-Length: 0\n\n", r.Header.Get("X-Id")))
		return true
	})
	b := newTestBox(t, replaced)
	a := b.do(b.request("POST", "/brief/x", ""))
	is.Equal(a.status, 503) // its only run; it has not run
	b.listUpstream(newStub(t, "u2", respondOK("2")), false)
	b.waitFor(func() bool { return b.upstreamCount() == 2 })
	for i := range 20 {
		is.Equal(b.do(b.request("POST", fmt.Sprintf("/brief/%d", i), "")).body, "2")
	}
	is.Equal(len(replaced.requests()), 1)

	b.listUpstream(newStub(t, "u9", respondOK("9")), false) // what took its place is listed
	b.waitFor(func() bool { return b.upstreamCount() == 3 })
}

// A refusal with the same status that names no other start, as for another version of the
// weights, says nothing about the upstream.
func TestAnUpstreamThatRefusesAVersionIsNotLeft(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", respondNotRun(421))
	b := newTestBox(t, u)
	is.Equal(b.do(b.request("POST", "/brief/x", "")).status, 503)
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	is.True(!b.relay.fleet.Get("u1").Leaving)
}

func TestWhatAColdUpstreamMayBeSent(t *testing.T) {
	for _, c := range []struct {
		bounds    ColdBounds
		perSecond float64
		want      int
	}{
		{ColdBounds{Overshoot: 1.5, Slack: 5}, 5.2, 12},
		{ColdBounds{Overshoot: 1.5, Slack: 5}, 0, 0}, // the service states no bound
		{ColdBounds{}, 5.2, 0},                       // there is none
	} {
		is.New(t).Equal(c.bounds.maxRequests(c.perSecond), c.want)
	}
}

// A box that says it is ready takes new connections, whatever it is busy with: here streams that
// hang, at upstreams of which none may be sent anything more.
func TestABoxThatIsReadyTakesNewConnections(t *testing.T) {
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
	b.listIn(u, "d1")
	const streams, callers = 40, 7
	done := make(chan callerResponse, streams)
	for i := range streams {
		go func() { done <- b.do(b.request("POST", fmt.Sprintf("/fixed/%d", i), "")) }()
	}
	b.waitFor(func() bool { return len(u.requests()) == streams })
	b.publisher.set("evacuate/d1", "", false)
	b.evacuated("d1")
	is.True(b.relay.Ready())
	for i := range callers { // each on a connection of its own
		is.Equal(b.do(b.request("POST", fmt.Sprintf("/once/%d", i), "")).status, 503)
	}
	close(ended)
	for range streams {
		<-done
	}
}
