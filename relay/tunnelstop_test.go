package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

// A stream whose upstream paused was cut off by the stop of the box that it leads through.
func TestPausedStreamGoesOnThroughStoppingBox(t *testing.T) {
	is := is.New(t)
	began, goOn := make(chan struct{}), make(chan struct{})
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		writeChunk(c, event(1))
		close(began)
		<-goOn
		writeChunk(c, event(2))
		writeChunk(c, event(3))
		writeChunk(c, "")
		return true
	})
	first, second, _ := startTunnelPair(t, unchanged, u)
	doc := testDocument(2)
	for i := range doc.Routes {
		doc.Routes[i].Timeout = time.Minute
	}
	first.publisher.set("document", doc, false)
	first.waitFor(func() bool { return first.relay.documentVersion() == 2 })
	answered := make(chan callerResponse, 1)
	go func() { answered <- first.do(first.request(http.MethodPost, "/fixed/x", "x")) }()
	<-began
	stopped := make(chan struct{})
	go func() {
		second.relay.Stop()
		close(stopped)
	}()
	time.Sleep(acceptLinger + time.Second) // the box only waits for the tunnel now
	close(goOn)
	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.body, event(1)+event(2)+event(3))
	is.Equal(len(u.requests()), 1)
	<-stopped
}

// An idle tunnel is closed by the box that uses it once the other one is about to stop.
func TestIdleTunnelsOfStoppingBoxAreClosed(t *testing.T) {
	is := is.New(t)
	first, second, _ := startTunnelPair(t, unchanged, newStub(t, "u", respondOK("answer")))
	is.Equal(first.once().status, http.StatusOK)
	is.Equal(first.relay.conns.tunnelled(), 1)
	second.relay.tunnelServer.announceStop()
	first.waitFor(func() bool { return first.relay.conns.tunnelled() == 0 && second.openTunnels() == 0 })
}

// A tunnel that was being opened when the stop was announced was never told of it.
func TestTunnelOpenedDuringAnnouncementIsToldOfStop(t *testing.T) {
	is := is.New(t)
	_, second, _ := startTunnelPair(t, unchanged, newStub(t, "u", respondOK("answer")))
	s := second.relay.tunnelServer
	s.announceStop()
	boxEnd, box := tcpPair(t)
	upstreamEnd, _ := tcpPair(t)
	tunnel := newTunnelConn(box, "second", func() {}, func() {})
	defer func() { _ = tunnel.Close() }()
	go s.forward(t.Context(), &servedTunnel{server: s, box: boxEnd, upstream: upstreamEnd, request: new(wire.TunnelRequest), lease: second.relay.account.Lease()})
	_ = tunnel.SetReadDeadline(time.Now().Add(10 * time.Second))
	for !tunnel.stopping.Load() {
		is.NoErr(tunnel.nextFrame())
	}
}

// tcpPair returns the ends of a TCP connection.
func tcpPair(t *testing.T) (accepted, dialed net.Conn) {
	t.Helper()
	l := listen(t)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = accepted.Close(), dialed.Close() })
	return accepted, dialed
}
