package relay

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// A box measures the connect time to a domain by its own connections and reports it to
// operators.
func TestConnectTimeIsMeasured(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u1", func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nContent-Length: 2\nConnection: close\n\nok")
		return false // each request takes a new connection
	})
	b := newTestBox(t, u)
	b.listInDomain(u, "far")
	b.waitFor(func() bool {
		b.relay.mu.Lock()
		defer b.relay.mu.Unlock()
		return b.relay.fleet.Get("u1").Domain == "far"
	})
	for range 3 {
		is.Equal(b.do(b.request("POST", "/once/x", "body")).status, 200)
	}
	rows := b.relay.state().Upstreams
	is.Equal(len(rows), 1)
	b.relay.mu.Lock()
	way := b.relay.fleet.RTT("far")
	b.relay.mu.Unlock()
	is.Equal(rows[0].Way, uint64(way.Microseconds()))
	is.True(way > 0)
	estimate := balance.NewFleet(balance.Config{Domain: "d"}).RTT("far")
	is.True(way != estimate) // measured, no longer estimated from the layout
}
