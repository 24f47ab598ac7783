package relay

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

// streamLength is the number of events of a stream of newSoftwareStub.
const streamLength = 4

// softwareEvent is an event that tells the software version of the upstream that wrote it.
func softwareEvent(id int, software string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, software)
}

// newSoftwareStub returns an upstream of a software version. It breaks streams that begin after two events, and
// finishes those that go on.
func newSoftwareStub(t testing.TB, id, software string) *stub {
	s := newStub(t, id, func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		last, goesOn := r.Header.Get("X-Last"), false
		from := 0
		if last != "" {
			from, _ = strconv.Atoi(last)
			goesOn = true
		}
		for i := from + 1; i <= streamLength; i++ {
			writeChunk(c, softwareEvent(i, software))
			if i == 2 && !goesOn {
				return false
			}
		}
		writeChunk(c, "")
		return true
	})
	s.software = software
	return s
}

// newSoftwareStubs returns count upstreams of each version.
func newSoftwareStubs(t testing.TB, count int, versions ...string) []*stub {
	var list []*stub
	for _, v := range versions {
		for i := range count {
			list = append(list, newSoftwareStub(t, fmt.Sprintf("%s-%d", v, i), v))
		}
	}
	return list
}

// versionsIn returns the software versions that wrote the events of a body.
func versionsIn(body string) map[string]bool {
	versions := make(map[string]bool)
	for line := range strings.Lines(body) {
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			versions[strings.TrimSpace(v)] = true
		}
	}
	return versions
}

// streams is the number of streams of each case.
const streams = 12

// Streams went on at another software version than the one that began them: 18 on a day with releases.
func TestStreamGoesOnAtOtherSoftware(t *testing.T) {
	t.Run("in one answer, at another upstream of its version", func(t *testing.T) {
		is := is.New(t)
		b := newTestBox(t, newSoftwareStubs(t, 2, "v1", "v2")...)
		for i := range streams {
			a := b.do(b.request(http.MethodPost, "/flow/x", "", "X-Id", fmt.Sprint("s", i)))
			is.NoErr(a.err)
			is.Equal(len(versionsIn(a.body)), 1)
			is.Equal(strings.Count(a.body, "id: "), streamLength)
		}
	})
	t.Run("in one answer, without another upstream of its version", func(t *testing.T) {
		is := is.New(t)
		b := newTestBox(t, newSoftwareStubs(t, 1, "v1", "v2")...)
		for i := range streams {
			a := b.do(b.request(http.MethodPost, "/flow/x", "", "X-Id", fmt.Sprint("s", i)))
			is.Equal(len(versionsIn(a.body)), 1)
			is.True(a.err != nil) // the answer does not look complete
		}
	})
	t.Run("taken up at another box", func(t *testing.T) {
		is := is.New(t)
		first, second := startPair(t, newSoftwareStubs(t, 1, "v1", "v2")...)
		first.awaitOriginPeers()
		second.awaitOriginPeers()
		for i := range streams {
			id := fmt.Sprint("s", i)
			began := first.do(first.request(http.MethodPost, "/flow/x", "", "X-Id", id))
			is.True(began.err != nil)
			rest := second.takeUp(id, id+"-again", 2)
			is.Equal(rest.status, http.StatusOK)
			is.Equal(len(versionsIn(began.body+rest.body)), 1)
			is.Equal(strings.Count(began.body+rest.body, "id: "), streamLength)
		}
	})
	t.Run("taken up after its box has ended", func(t *testing.T) {
		is := is.New(t)
		var self *wire.GroupBox
		first := newTestBoxWithConfig(t, func(c *Config) {
			joinGroup(t, c, "first")
			self = c.Self
		}, newSoftwareStubs(t, 1, "v1", "v2")...)
		second := first.startPeer(self)
		second.waitFor(func() bool { return second.upstreamCount() == 2 })
		first.awaitOriginPeers()
		var began [streams]callerResponse
		for i := range began {
			began[i] = first.do(first.request(http.MethodPost, "/flow/x", "", "X-Id", fmt.Sprint("s", i)))
		}
		first.relay.Stop()
		for i := range began {
			id := fmt.Sprint("s", i)
			rest := second.takeUp(id, id+"-again", 2)
			is.Equal(rest.status, http.StatusOK)
			is.Equal(len(versionsIn(began[i].body+rest.body)), 1)
		}
	})
}

// takeUp sends the request of a caller that takes up a stream after an event.
func (b *testBox) takeUp(first, id string, after int) callerResponse {
	b.t.Helper()
	return b.do(b.request(http.MethodPost, "/flow/x", "", "X-Id", id, "X-Resumes", first, "X-Last", strconv.Itoa(after)))
}

// awaitOriginPeers waits until the box knows another one that may hold records of its streams.
func (b *testBox) awaitOriginPeers() {
	b.t.Helper()
	b.waitFor(func() bool {
		b.relay.origins.mu.Lock()
		defer b.relay.origins.mu.Unlock()
		return b.relay.origins.peers.Len() > 0
	})
}

// openThenBreak returns a script that sends an event, waits, and breaks off; streams that go on are finished.
func openThenBreak(proceed <-chan struct{}) func(net.Conn, stubRequest) bool {
	return func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		if r.Header.Get("X-Last") == "" {
			writeChunk(c, softwareEvent(1, "v1"))
			<-proceed
			return false
		}
		writeChunk(c, softwareEvent(2, "v1"))
		writeChunk(c, "")
		return true
	}
}
