package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
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
