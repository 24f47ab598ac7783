package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// manyBytes is a body that the kernel does not hold completely for a peer that reads nothing, so that a
// part of it is not acknowledged.
var manyBytes = strings.Repeat("x", 1<<20)

// startLossyPair starts two boxes of a group. The first one reaches the upstreams of service s over paths
// of its own, has open connections to all of them, and serves another service whose paths are sound.
func startLossyPair(t *testing.T) (first *testBox, l paths) {
	t.Helper()
	var stubs []*stub
	for _, id := range []string{"u", "v", "w", "x"} {
		stubs = append(stubs, newStub(t, id, func(c net.Conn, r stubRequest) bool {
			time.Sleep(20 * time.Millisecond)
			writeWire(c, fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nX-Sign: s\nKeep-Alive: timeout=60\nContent-Length: 1\n\n%s", r.Header.Get("X-Id"), id))
			return true
		}))
	}
	l = newPaths(t, stubs...)
	for _, p := range l {
		shrinkReceiveBuffer(t, p.listener)
	}
	first, second := startPathPair(t, l, nil, stubs...)
	other := newStub(t, "other", respondOK("other"))
	doc := testDocument(2)
	doc.Services = append(doc.Services, route.Service{Name: "other", MaxConnections: 100})
	doc.Routes = append(doc.Routes, route.Route{Name: "other", Host: "h.example", Prefix: "/other/", Repeat: route.Repeatable, MaxAttempts: 2, Timeout: 5 * time.Second,
		Targets: []route.Target{{Service: "other", Weight: 1}}})
	first.publisher.set("document", doc, false)
	first.publisher.set("other", balance.Upstream{ID: "other", Service: "other", Address: other.listener.Addr().String(), Domain: "d", Slots: 8}, false)
	first.waitFor(func() bool {
		return first.upstreamCount() == len(stubs)+1 && second.upstreamCount() == len(stubs)+1 && first.do(first.request(http.MethodGet, "/other/x", "")).status == http.StatusOK
	})
	first.waitFor(func() bool {
		first.connectToAll(len(stubs))
		return first.relay.conns.idleTo("u", "v", "w", "x")
	})
	return first, l
}

// connectToAll sends requests beside each other, which are spread over the upstreams.
func (b *testBox) connectToAll(count int) { b.connectBy("/safe/x", count) }

// connectBy is connectToAll by requests for a path.
func (b *testBox) connectBy(path string, count int) {
	var all sync.WaitGroup
	for range count {
		all.Go(func() { b.do(b.request(http.MethodPost, path, "x")) })
	}
	all.Wait()
}

// idleTo reports whether there is an idle connection to each of the upstreams.
func (p *connPool) idleTo(ids ...string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if len(p.idle[idleKey{id, false}]) == 0 {
			return false
		}
	}
	return true
}

// Boxes that lost their paths to a service lost one request for each of its upstreams, while another
// service answered: 15 of 71 first tries were answered in the first second.
func TestOneLostRequestPutsOtherPathsOfItsServiceInDoubt(t *testing.T) {
	is := is.New(t)
	first, l := startLossyPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	var answering sync.WaitGroup
	answering.Go(func() {
		for ctx.Err() == nil {
			first.do(first.request(http.MethodGet, "/other/x", ""))
			time.Sleep(20 * time.Millisecond)
		}
	})
	defer answering.Wait()
	defer cancel()
	l.cut()
	first.do(first.request(http.MethodPost, "/once/x", manyBytes)) // is lost
	for range 6 {
		is.Equal(first.do(first.request(http.MethodPost, "/once/x", manyBytes)).status, http.StatusOK)
	}
}

// A request that may be repeated waited for its time on a path that was known to be gone, while
// others reached the upstream.
func TestRequestOnPathThatIsGoneIsRepeatedInTime(t *testing.T) {
	is := is.New(t)
	first, l := startLossyPair(t)
	l.cut()
	is.Equal(first.do(first.request(http.MethodPost, "/safe/x", manyBytes, "X-Left", "1000")).status, http.StatusOK)
}

// The caller of a request that may run once was told nothing until its time was up.
func TestCallerOfRequestOnPathThatIsGoneIsToldBeforeItsTimeIsUp(t *testing.T) {
	is := is.New(t)
	first, l := startLossyPair(t)
	l.cut()
	got := first.do(first.request(http.MethodPost, "/once/x", manyBytes, "X-Left", "2000"))
	is.Equal(got.status, http.StatusBadGateway) // 504 once its time is up
	first.awaitLog(`"path_lost":true`)
}
