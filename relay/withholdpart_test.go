package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// Requests with different bodies shared one part of their prompts, and each crashed the upstreams
// that began to answer it. Boxes identified requests by their whole content and counted each as
// the first one: 61 upstreams crashed under one part, 33 of them after five had.

// maxEndedUnderPart is how many upstreams may crash under requests with one part if the requests
// come one after another.
const maxEndedUnderPart = 5

// newPartCrashingUpstreams returns upstreams that crash under requests whose prompt contains part
// 66, once begin has written the beginning of the answer.
func newPartCrashingUpstreams(t testing.TB, begin func(net.Conn, stubRequest)) *crashingUpstreams {
	m := newCrashingUpstreams(t)
	m.crash = func(c net.Conn, r stubRequest) bool {
		if !strings.Contains(r.Header.Get("X-Parts"), " 66:") {
			return false
		}
		begin(c, r)
		return true
	}
	return m
}

// send sends a request with a body and a last part of its own.
func (m *crashingUpstreams) send(b *testBox, path, name string, n int, sharedParts string) callerResponse {
	return b.do(b.request(http.MethodPost, path, fmt.Sprint(name, n), "X-Id", fmt.Sprint(name, "-", n),
		"X-Parts", fmt.Sprintf("%s %d:10", sharedParts, 1000+len(name)*1000+n)))
}

func TestPartThatCrashesUpstreamsIsWithheld(t *testing.T) {
	for _, test := range []struct {
		name, path string
		begin      func(net.Conn, stubRequest)
		parts      string
	}{
		{"before the header", "/safe/x", func(net.Conn, stubRequest) {}, "1:100 66:50"},
		{"after the header", "/flow/x", startStream, "1:100 66:50"},
		{"after the first event", "/flow/x", func(c net.Conn, r stubRequest) { startStream(c, r); writeChunk(c, event(1)) }, "1:100 66:50"},
		{"with other parts after it", "/safe/x", func(net.Conn, stubRequest) {}, "1:100 66:50 2:10"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := newPartCrashingUpstreams(t, test.begin)
			m.startBox(6, func(*Config) {})
			for n := range 12 {
				m.b.waitFor(func() bool { return m.b.lists(m.newest()) })
				m.send(m.b, test.path, "fatal", n, test.parts)
				is.Equal(m.send(m.b, "/safe/x", "sound", n, "1:100 2:10").status, http.StatusOK) // shares the other parts
			}
			t.Logf("%d upstreams crashed under one part", m.endedCount())
			is.True(m.endedCount() <= maxEndedUnderPart)
			got := m.send(m.b, test.path, "last", 0, test.parts)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
		})
	}
}

// A run that was cut off names what other requests may share with it.
func TestLogOfRunCutOffNamesSharedParts(t *testing.T) {
	is := is.New(t)
	b := newTestBox(t, newStub(t, "u", func(net.Conn, stubRequest) bool { return false }))
	got := b.do(b.request(http.MethodPost, "/once/x", "body", "X-Parts", "1:100 171:50 1000:10"))
	is.Equal(got.status, http.StatusBadGateway)
	b.awaitLog(`"parts":"1 ab"`) // without the last one, which is of this request alone
	is.True(b.closedLogContains(`"route":"once"`))
}

// An answer with neither a length nor chunks ends with its connection, so one that a crash cuts off
// looks whole. It does not clear its parts, and the crash counts against them.
func TestAnswerCutOffByCrashDoesNotClearParts(t *testing.T) {
	is := is.New(t)
	m := newPartCrashingUpstreams(t, func(c net.Conn, r stubRequest) {
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\n\nhalf")
	})
	m.startBox(6, func(*Config) {})
	status := 0
	for n := 0; n < 12 && status != http.StatusServiceUnavailable; n++ {
		m.b.waitFor(func() bool { return m.b.lists(m.newest()) })
		status = m.send(m.b, "/safe/x", "fatal", n, "1:100 66:50").status
		for k := range 8 { // find that the upstream has ended
			is.Equal(m.send(m.b, "/safe/x", "sound", 100*n+k, "1:100 2:10").status, http.StatusOK)
		}
	}
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(m.endedCount() <= maxEndedUnderPart)
}

// A box that did not run any of the requests refuses the part as well, and a request that it
// refuses leads to the part and to the crashes held against it in the log and in its state.
func TestWithheldPartIsKnownToOtherBoxes(t *testing.T) {
	is := is.New(t)
	m := newPartCrashingUpstreams(t, func(net.Conn, stubRequest) {})
	var self *wire.GroupBox
	m.startBox(6, func(c *Config) {
		joinGroup(t, c, "first")
		self = c.Self
	})
	second := m.b.startPeer(self)
	status := 0
	for n := 0; n < 40 && status != http.StatusServiceUnavailable; n++ {
		status = m.send(m.b, "/safe/x", "fatal", n, "1:100 66:50").status
		m.send(m.b, "/safe/x", "sound", n, "1:100 2:10")
	}
	is.Equal(status, http.StatusServiceUnavailable)
	second.awaitLog(`"msg":"part: withheld"`)
	before := m.endedCount()
	got := m.send(second, "/safe/x", "other", 1, "1:100 66:50")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(m.send(second, "/safe/x", "sound", 1000, "1:100 2:10").status, http.StatusOK)
	is.Equal(m.endedCount(), before) // no upstream crashed under it at the second box
	withheld := second.relay.state().Withheld
	is.Equal(len(withheld), 1)
	is.Equal(withheld[0].Parts, []string{"42"}) // hexadecimal
	is.Equal(withheld[0].Service, "s")
	is.True(len(withheld[0].Crashes) >= 3)
	is.True(second.closedLogContains(`"reason":"upstreams ended under it"`))
	is.True(second.log.contains(`"parts":"42"`))
	is.True(m.b.closedLogContains(`"crash":"` + withheld[0].Crashes[0] + `"`)) // of the line "upstream: ended"
}

// A part is not told apart from the customer's part, or from one that sound requests have as
// well, by how often runs of it are cut off.
func TestPartsCutOffBesideFatalPartAreServed(t *testing.T) {
	is := is.New(t)
	m := newPartCrashingUpstreams(t, func(net.Conn, stubRequest) { time.Sleep(20 * time.Millisecond) })
	m.startBox(8, func(*Config) {})
	for n := range 10 {
		m.b.waitFor(func() bool { return m.b.lists(m.newest()) })
		var beside sync.WaitGroup
		for k := range 16 {
			beside.Go(func() { m.send(m.b, "/safe/x", "beside", 100*n+k, "1:100 2:10") })
		}
		beside.Go(func() { m.send(m.b, "/safe/x", "fatal", n, "1:100 2:10 66:50") })
		beside.Wait()
	}
	is.True(m.endedCount() <= maxEndedUnderPart)
	is.Equal(m.send(m.b, "/safe/x", "last", 0, "1:100 2:10 66:50").status, http.StatusServiceUnavailable)
	is.Equal(m.send(m.b, "/safe/x", "sound", 0, "1:100 2:10").status, http.StatusOK)
	is.Equal(m.send(m.b, "/safe/x", "sound", 1, "1:100").status, http.StatusOK)
}

// For a while most new connections come to one box, for a request each.
func TestBoxThatGetsMostNewConnectionsServesThem(t *testing.T) {
	is := is.New(t)
	slow := func(c net.Conn, r stubRequest) bool {
		time.Sleep(10 * time.Millisecond)
		return respondOK("well")(c, r)
	}
	b := newTestBox(t, newStub(t, "u1", slow), newStub(t, "u2", slow), newStub(t, "u3", slow))
	var served atomic.Int32
	var callers sync.WaitGroup
	for n := range 40 {
		callers.Go(func() {
			for k := range 10 {
				if b.do(b.request(http.MethodPost, "/safe/x", "body", "X-Id", fmt.Sprint(n, "-", k))).status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	callers.Wait()
	is.Equal(served.Load(), int32(400))
}

// Only an answer that succeeded shows that the upstream ran the request, and so that its parts are sound.
func TestAnswerWithoutSuccessClearsNoPart(t *testing.T) {
	for _, test := range []struct {
		status int
		clears bool
	}{{200, true}, {201, true}, {302, false}, {400, false}, {404, false}, {413, false}} {
		t.Run(fmt.Sprint(test.status), func(t *testing.T) {
			is := is.New(t)
			b := newTestBox(t, newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				writeWire(c, fmt.Sprintf("HTTP/1.1 %d Status\nX-Id: %s\nX-Sign: s\nContent-Length: 4\n\nwell", test.status, r.Header.Get("X-Id")))
				return true
			}))
			is.Equal(b.do(b.request(http.MethodPost, "/safe/x", "body", "X-Parts", "1:100 9:10")).status, test.status)
			b.waitFor(func() bool { return b.relay.stats.openRequests.Load() == 0 })
			b.relay.mu.Lock()
			defer b.relay.mu.Unlock()
			is.Equal(b.relay.crashSuspects.KnownSound(b.relay.now(), balance.PartSubjects("s", []balance.Part{{ID: 1}, {ID: 9}})...), test.clears)
		})
	}
}

// Where all answers end with their connections, an upstream that accepts another one shows that
// they were whole, and so that their parts are sound.
func TestAnswersThatEndWithTheirConnectionsClearParts(t *testing.T) {
	is := is.New(t)
	b := newTestBox(t, newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		writeWire(c, "HTTP/1.1 200 OK\nX-Id: "+r.Header.Get("X-Id")+"\nX-Sign: s\n\nwell")
		return false
	}))
	is.Equal(b.do(b.request(http.MethodPost, "/safe/x", "body", "X-Parts", "1:100 9:10")).body, "well")
	b.waitFor(func() bool {
		b.relay.mu.Lock()
		defer b.relay.mu.Unlock()
		return b.relay.crashSuspects.KnownSound(b.relay.now(), balance.PartSubjects("s", []balance.Part{{ID: 1}, {ID: 9}})...)
	})
}

// A caller who names the parts of others and breaks his requests off himself makes nobody suspect
// them, though the upstream ends after that.
func TestCallerThatLeavesCountsAgainstNoPart(t *testing.T) {
	is := is.New(t)
	arrived, left := make(chan struct{}, 1), make(chan struct{}, 1)
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		writeChunk(c, event(1))
		arrived <- struct{}{}
		_, _ = c.Read(make([]byte, 1)) // until the box closes the connection
		left <- struct{}{}
		return false
	})
	b := newTestBox(t, u)
	ctx, leave := context.WithCancel(context.Background())
	r := b.request(http.MethodPost, "/flow/x", "body", "X-Parts", "1:100 2:10 9:10").WithContext(ctx)
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	<-arrived
	leave()
	_ = resp.Body.Close()
	<-left
	_ = u.listener.Close()
	b.relay.recordEnd(balance.Incarnation{ID: "u"})
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	is.True(!b.relay.crashSuspects.Any())
}
