package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/route"
)

// listIncarnation publishes an incarnation of an upstream.
func (b *testBox) listIncarnation(s *stub, start int64, leaving bool) {
	b.publisher.set(s.id, balance.Upstream{ID: s.id, StartedAt: start, Service: "s", Address: s.listener.Addr().String(), Domain: "d", Slots: 8, Leaving: leaving}, false)
}

// listedStart is the start time of the listed incarnation of an upstream; -1 if it is not
// listed.
func (b *testBox) listedStart(id string) int64 {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	if u := b.relay.fleet.Get(id); u != nil {
		return u.StartedAt
	}
	return -1
}

// awaitIncarnation waits until an upstream is listed in an incarnation.
func (b *testBox) awaitIncarnation(id string, start int64) {
	b.t.Helper()
	b.waitFor(func() bool { return b.listedStart(id) == start })
}

// restart starts a new incarnation of a stub at the same address. Connections to the previous
// one stay open and silent, as after a power loss.
func (s *stub) restart(t *testing.T, script func(net.Conn, stubRequest) bool) *stub {
	t.Helper()
	address := s.listener.Addr().String()
	if err := s.listener.Close(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	next := &stub{id: s.id, listener: l, script: script, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go next.serve(c)
		}
	}()
	return next
}

// An upstream restarts under the same ID and address during streams, and its old connections
// stay open and silent. Resumable streams continue at once on the new incarnation, though there
// is no other upstream; a request that may run only once keeps its connection, in case its
// response still arrives.
func TestRestartDuringStreams(t *testing.T) {
	is := is.New(t)
	answer := make(chan struct{})
	first := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			<-answer
			return respondOK("late")(c, r)
		}
		startStream(c, r)
		writeChunk(c, event(1))
		<-answer
		return false
	})
	b := newTestBox(t, first)
	b.listIncarnation(first, 100, false)
	b.awaitIncarnation("u", 100)
	const streams = 5
	flows, once, fixed := make(chan callerResponse, streams), make(chan callerResponse, 1), make(chan callerResponse, 1)
	for i := range streams {
		go func() { flows <- b.do(b.request("POST", fmt.Sprintf("/flow/%d", i), "")) }()
	}
	go func() { once <- b.do(b.request("POST", "/once/x", "")) }()
	go func() { fixed <- b.do(b.request("POST", "/fixed/x", "")) }()
	b.waitFor(func() bool { return len(first.requests()) == streams+2 })

	next := first.restart(t, func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		for id := 1; id <= 2; id++ {
			if fmt.Sprint(id) != r.Header.Get("X-Last") {
				writeChunk(c, event(id))
			}
		}
		writeChunk(c, "")
		return true
	})
	b.listIncarnation(next, time.Now().UnixMilli()+1, false)
	for range streams {
		a := <-flows
		is.NoErr(a.err)
		is.Equal(a.body, event(1)+event(2))
	}
	b.awaitLog("upstream: started again")
	b.awaitLog("use of closed network connection") // the cause that is logged
	is.Equal(len(next.requests()), streams)
	close(answer)
	is.Equal((<-once).body, "late")
	is.True((<-fixed).err != nil) // it broke off in its own incarnation, and may not run again
	is.Equal(len(next.requests()), streams)
}

// An upstream that was leaving gets requests again only after an entry of a newer incarnation.
func TestDrainedUpstreamComesBack(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("u"))
	b := newTestBox(t, u)
	gets := func() bool { return b.do(b.request("GET", "/safe/x", "")).status == 200 }
	b.listIncarnation(u, 100, true)
	b.awaitIncarnation("u", 100)
	is.True(!gets())
	b.listIncarnation(u, 100, false) // a late entry: an incarnation that is leaving stays so
	b.publisher.set("mark", balance.Upstream{ID: "mark", Service: "x", StartedAt: 1}, false)
	b.awaitIncarnation("mark", 1)
	is.True(!gets())
	b.listIncarnation(u, 200, false)
	b.awaitIncarnation("u", 200)
	is.True(gets())
	b.listIncarnation(u, 100, true) // of the earlier incarnation, whatever its revision
	b.publisher.set("mark", balance.Upstream{ID: "mark", Service: "x", StartedAt: 2}, false)
	b.awaitIncarnation("mark", 2)
	is.Equal(b.listedStart("u"), int64(200))
	is.True(gets())
}

// An idle connection is not used for another incarnation, though it is still open.
func TestIdleConnectionOfEarlierIncarnationIsNotUsed(t *testing.T) {
	is := is.New(t)
	first := newStub(t, "u", respondOK("first"))
	b := newTestBox(t, first)
	b.listIncarnation(first, 100, false)
	b.awaitIncarnation("u", 100)
	is.Equal(b.do(b.request("GET", "/safe/a", "")).body, "first")
	next := first.restart(t, respondOK("next"))
	b.listIncarnation(next, 200, false)
	b.awaitIncarnation("u", 200)
	is.Equal(b.do(b.request("POST", "/once/b", "")).body, "next")
	<-first.closed // the box has closed it
}

// A connection that is returned after its incarnation has ended is closed.
func TestConnectionOfEndedIncarnationIsNotKept(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("ok"))
	p := newConnPool(func(string) int { return 9 })
	upstream := balance.Upstream{ID: "u", StartedAt: 100, Address: u.listener.Addr().String()}
	c, err := p.get(context.Background(), upstream, "s")
	is.NoErr(err)
	p.endIncarnation(upstream.Incarnation())
	p.putIdle(c, time.Minute)
	is.Equal(len(p.idle[idleKey{id: "u"}]), 0)
	is.Equal(p.open["u"], 0)
	upstream.StartedAt = 200
	c, err = p.get(context.Background(), upstream, "s")
	is.NoErr(err)
	p.putIdle(c, time.Minute)
	is.Equal(len(p.idle[idleKey{id: "u"}]), 1)
	upstream.StartedAt = 300 // nor is an idle connection reused for another incarnation
	other, err := p.get(context.Background(), upstream, "s")
	is.NoErr(err)
	is.True(other != c)
	is.Equal(p.open["u"], 1)
	p.discard(other)
}

// An invalid entry under an upstream's key removes that upstream and no other; the log names
// the key once.
func TestInvalidEntryRemovesItsUpstream(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", respondOK("1")), newStub(t, "u2", respondOK("2"))
	b := newTestBox(t, u1, u2)
	for range 3 {
		b.publisher.set("u1", "what is this", false)
	}
	b.waitFor(func() bool { return b.upstreamCount() == 1 })
	for i := range 10 {
		is.Equal(b.do(b.request("GET", fmt.Sprintf("/safe/%d", i), "")).body, "2")
	}
	b.listUpstream(u1, false) // the upstream publishes its entry again
	b.waitFor(func() bool { return b.upstreamCount() == 2 })
	b.listUpstream(u2, true)
	b.waitFor(func() bool { return b.do(b.request("GET", "/safe/x", "")).body == "1" })
	b.awaitLog("entry unusable")
	b.awaitLog("published: not taken")
	is.Equal(b.log.count("published: not taken"), 1)
}

// count is the number of occurrences of a text.
func (l *lockedBuffer) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

// badFieldError is an error that names the invalid field.
type badFieldError struct{ error }

func (badFieldError) BadField() string { return "slots" }

func TestRejectedItemIsLoggedOncePerContent(t *testing.T) {
	is := is.New(t)
	var text lockedBuffer
	log := NewLog("box", &text)
	m := &members{relay: &Relay{cfg: Config{Log: log}, stats: newStats()}, rejected: make(map[string]uint64)}
	err := badFieldError{errors.New("no")}
	for _, it := range []mirror.Item{{Key: "a", Value: []byte("1")}, {Key: "a", Value: []byte("1"), Revision: 2}, {Key: "b", Value: []byte("1")}, {Key: "a", Value: []byte("2")}} {
		m.logRejected(it, err)
	}
	is.NoErr(log.Close())
	is.Equal(text.count("published: not taken"), 3)
	is.Equal(text.count(`"field":"slots"`), 3)
	for i := range maxRejected + 5 {
		m.rejected[fmt.Sprint(i)] = 1
	}
	m.logRejected(mirror.Item{Key: "c"}, err)
	is.True(len(m.rejected) <= maxRejected)
}

// An entry was removed while entries may come back, and that of a newer incarnation arrived:
// the upstream stays listed.
func TestNewIncarnationIsNotDroppedWithMissingOne(t *testing.T) {
	is := is.New(t)
	r := &Relay{startedAt: time.Now(), fleet: newEmptyFleet(), cfg: Config{Log: NewLog("box", io.Discard)}, conns: newConnPool(nil), stats: newStats()}
	missing := make(map[string]struct{})
	u := upstreamOf("u")
	u.StartedAt = 100
	r.applyUpdate(Update{Upstream: u}, 0, missing)
	r.applyUpdate(Update{Removed: "u"}, r.now()+time.Hour, missing)
	later := *u
	later.StartedAt = 200
	r.applyUpdate(Update{Upstream: &later}, 0, missing)
	is.Equal(len(missing), 0)
	is.Equal(r.fleet.Get("u").StartedAt, int64(200))
	r.applyUpdate(Update{Upstream: u}, 0, missing)
	is.Equal(r.fleet.Get("u").StartedAt, int64(200))
	r.applyUpdate(Update{Invalid: "u"}, r.now()+time.Hour, missing)
	is.Equal(r.fleet.Get("u"), nil)
	is.NoErr(r.cfg.Log.Close())
}

// A copy is not used if another incarnation has started where it was made, and is freed at its
// source.
func TestCopyOfEarlierIncarnationIsNotUsed(t *testing.T) {
	is := is.New(t)
	var m *movingTestBox
	m = newMovingTestBox(t, func(c net.Conn, stop func()) {
		m.listIncarnation(m.fast, 200, false)
		m.awaitIncarnation("fast", 200)
		stop()
		respondCall(c, 200, "h7")
	})
	is.Equal((<-m.stream("/flow/x")).body, allEvents()) // resumed there, without the copy
	at := m.fast.requests()
	is.Equal(len(at), 1)
	is.Equal(at[0].Header.Get("X-Memory"), "")
	is.True(at[0].Header.Get("X-Last") != "")
	m.waitFor(func() bool {
		calls := m.slow.requests()
		return calls[len(calls)-1].URL.Path == "/copy/h7"
	})
}

// An upstream whose entry was ignored in favor of another one with the same address identifies
// itself in its refusal, and is listed again.
func TestMisdirectedRefusalRestoresUpstream(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "true", func(c net.Conn, r stubRequest) bool {
		if r.Header.Get("X-Instance") != "true" {
			writeWire(c, fmt.Sprintf("HTTP/1.1 421 No\nX-Id: %s\nX-Started: true\nX-Not-Run: 1\nContent-Length: 0\n\n", r.Header.Get("X-Id")))
			return true
		}
		return respondOK("ok")(c, r)
	})
	b := newTestBox(t, u)
	b.listIncarnation(u, 100, false)
	b.awaitIncarnation("true", 100)
	b.publisher.set("false", balance.Upstream{ID: "false", StartedAt: 900, Service: "s", Address: u.listener.Addr().String(), Domain: "d", Slots: 8}, false)
	b.awaitIncarnation("false", 900)
	is.Equal(b.listedStart("true"), int64(-1))
	is.Equal(b.do(b.request("GET", "/safe/x", "")).body, "ok") // one refusal, then the second run is answered
	is.Equal(b.listedStart("true"), int64(100))
	b.awaitLog("upstream: is another")
}

// An entry of a service that the document does not name takes over no address until the
// document names it.
func TestEntryOfUnnamedService(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("ok"))
	b := newTestBox(t, u)
	b.listIncarnation(u, 100, false)
	b.awaitIncarnation("u", 100)
	b.publisher.set("x", balance.Upstream{ID: "x", StartedAt: 900, Service: "x", Address: u.listener.Addr().String(), Domain: "d", Slots: 8}, false)
	b.awaitIncarnation("x", 900)
	is.Equal(b.listedStart("u"), int64(100))
	is.Equal(b.do(b.request("POST", "/once/x", "")).body, "ok")
	b.publisher.set("u", balance.Upstream{ID: "u", StartedAt: 900, Service: "x", Address: u.listener.Addr().String(), Domain: "d", Slots: 8}, false)
	b.awaitIncarnation("u", 900) // under the key of a sound upstream, its only effect is that this one is not used
	is.Equal(b.do(b.request("POST", "/once/x", "")).status, 503)
	b.listIncarnation(u, 100, false)
	b.awaitIncarnation("u", 100)
	is.Equal(b.do(b.request("POST", "/once/x", "")).body, "ok")
	is.Equal(b.log.count("started again"), 1) // when its start time was first published
	b.relay.conns.mu.Lock()
	is.Equal(len(b.relay.conns.endedStart), 0)
	b.relay.conns.mu.Unlock()

	document := testDocument(2)
	document.Services = append(document.Services, route.Service{Name: "x"})
	b.publisher.set("document", document, false)
	b.awaitIncarnation("u", -1) // the later incarnation has the address now
	is.Equal(b.listedStart("x"), int64(900))
}

// twoEvents answers with a stream of two events, and sends the second once proceed allows it.
func twoEvents(proceed <-chan struct{}) func(net.Conn, stubRequest) bool {
	return func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		writeChunk(c, event(1))
		<-proceed
		writeChunk(c, event(2))
		writeChunk(c, "")
		return true
	}
}

// A box that learns late of a new incarnation has connections to it already: their runs
// continue.
func TestLateUpdateEndsNoRuns(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	u := newStub(t, "u", twoEvents(proceed))
	b := newTestBox(t, u)
	b.listIncarnation(u, 100, false)
	b.awaitIncarnation("u", 100)
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
	b.waitFor(func() bool { return len(u.requests()) == 1 })
	b.listIncarnation(u, 200, false) // it started long before the connection was opened
	b.awaitIncarnation("u", 200)
	b.awaitLog(`"born":200`)
	close(proceed)
	a := <-done
	is.NoErr(a.err)
	is.Equal(a.body, event(1)+event(2))
	is.Equal(len(u.requests()), 1)
}

// An earlier incarnation at another address may still finish its runs, also after it has closed its
// listener; if its host does not respond, they are ended.
func TestRunsAtEarlierAddress(t *testing.T) {
	for _, test := range []struct {
		name     string
		withdraw func(*darkUpstream)
		goesOn   bool
	}{
		{"listens", func(*darkUpstream) {}, true},
		{"has closed its listener", func(u *darkUpstream) { _ = u.listener.Close() }, true},
		{"does not respond", (*darkUpstream).disappear, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			proceed := make(chan struct{})
			first := newDarkUpstream(t, "u")
			first.script = twoEvents(proceed)
			next := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				startStream(c, r)
				writeChunk(c, event(2))
				writeChunk(c, "")
				return true
			})
			b := newTestBox(t, first.stub)
			b.listIncarnation(first.stub, 100, false)
			b.awaitIncarnation("u", 100)
			done := make(chan callerResponse, 1)
			go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
			b.waitFor(func() bool { return len(first.requests()) == 1 })
			test.withdraw(first)
			born := time.Now().UnixMilli() + 1
			b.listIncarnation(next, born, false)
			b.awaitIncarnation("u", born)
			if test.goesOn {
				is.Equal(b.do(b.request("POST", "/fixed/y", "")).status, 200)
				time.Sleep(balance.DialWait / 4) // the check of the earlier address may still be in progress
				close(proceed)
			}
			is.Equal((<-done).body, event(1)+event(2))
			is.Equal(len(first.requests()), 1)
			is.Equal(len(next.requests()), 1) // the other stream, or the rest of this one
			if !test.goesOn {
				close(proceed)
			}
		})
	}
}

// A stream was cut off when its upstream, which finished its runs after it had announced that it was leaving, was
// listed as started again at the same address.
func TestStreamOfLeavingUpstreamIsCutOffByNextIncarnation(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	first := newStub(t, "u", twoEvents(proceed))
	b := newTestBox(t, first)
	b.listIncarnation(first, 100, false)
	b.awaitIncarnation("u", 100)
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
	b.waitFor(func() bool { return len(first.requests()) == 1 })
	b.listIncarnation(first, 100, true)
	b.awaitLog(`"leaving":true`)
	next := first.restart(t, respondOK("next"))
	born := time.Now().UnixMilli() + 1
	b.listIncarnation(next, born, false)
	b.awaitLog(fmt.Sprintf(`"born":%d`, born))
	b.listIncarnation(next, born, true) // an update of the next one changes nothing
	b.waitFor(func() bool { return b.log.count(`"leaving":true`) == 2 })
	close(proceed)
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, event(1)+event(2))
	is.Equal(len(next.requests()), 0)
}

// A stream was cut off in the same way where the entry of the leaving upstream had been removed meanwhile.
func TestStreamOfRemovedLeavingUpstreamIsCutOffByNextIncarnation(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	first := newStub(t, "u", twoEvents(proceed))
	b := newTestBox(t, first)
	b.listIncarnation(first, 100, false)
	b.awaitIncarnation("u", 100)
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
	b.waitFor(func() bool { return len(first.requests()) == 1 })
	b.listIncarnation(first, 100, true)
	b.awaitLog(`"leaving":true`)
	b.publisher.set("u", balance.Upstream{ID: "u"}, true)
	b.awaitIncarnation("u", -1)
	next := first.restart(t, respondOK("next"))
	born := time.Now().UnixMilli() + 1
	b.listIncarnation(next, born, false)
	b.awaitLog(fmt.Sprintf(`"born":%d`, born))
	close(proceed)
	got := <-done
	is.NoErr(got.err)
	is.Equal(got.body, event(1)+event(2))
	is.Equal(len(next.requests()), 0)
}
