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

// listBorn lists an upstream in a life.
func (b *testBox) listBorn(s *stub, born int64, leaving bool) {
	b.publisher.set(s.id, balance.Upstream{ID: s.id, StartedAt: born, Service: "s", Address: s.listener.Addr().String(), Domain: "d", Slots: 8, Leaving: leaving}, false)
}

// bornOf is the life that the relay has an upstream listed in; -1 where it is not listed.
func (b *testBox) bornOf(id string) int64 {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	if u := b.relay.fleet.Get(id); u != nil {
		return u.StartedAt
	}
	return -1
}

// await waits until an upstream is listed in a life.
func (b *testBox) await(id string, born int64) {
	b.t.Helper()
	b.waitFor(func() bool { return b.bornOf(id) == born })
}

// again is another life of a stub, at the same address. Connections to the one before stay open
// and silent, as those of a machine that lost its power.
func (s *stub) again(t *testing.T, script func(net.Conn, stubRequest) bool) *stub {
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

// An upstream starts again under its id and address amid streams, and its connections say nothing
// of that: streams that may be resumed go on at once at its new life, though no other upstream is
// there; a request that may run once keeps its connection, in case its answer still comes.
func TestAnUpstreamStartsAgainAmidStreams(t *testing.T) {
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
	b.listBorn(first, 100, false)
	b.await("u", 100)
	const streams = 5
	flows, once, fixed := make(chan callerResponse, streams), make(chan callerResponse, 1), make(chan callerResponse, 1)
	for i := range streams {
		go func() { flows <- b.do(b.request("POST", fmt.Sprintf("/flow/%d", i), "")) }()
	}
	go func() { once <- b.do(b.request("POST", "/once/x", "")) }()
	go func() { fixed <- b.do(b.request("POST", "/fixed/x", "")) }()
	b.waitFor(func() bool { return len(first.requests()) == streams+2 })

	next := first.again(t, func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		for id := 1; id <= 2; id++ {
			if fmt.Sprint(id) != r.Header.Get("X-Last") {
				writeChunk(c, event(id))
			}
		}
		writeChunk(c, "")
		return true
	})
	b.listBorn(next, time.Now().UnixMilli()+1, false)
	for range streams {
		a := <-flows
		is.NoErr(a.err)
		is.Equal(a.body, event(1)+event(2))
	}
	is.True(b.log.contains("upstream: started again"))
	is.True(b.log.contains("use of closed network connection")) // as operators are told
	is.Equal(len(next.requests()), streams)
	close(answer)
	is.Equal((<-once).body, "late")
	is.True((<-fixed).err != nil) // it broke off in its own life, and may not run again
	is.Equal(len(next.requests()), streams)
}

// What an upstream's entry says, in turn, and whether it gets requests then.
func TestAnUpstreamThatDrainedComesBack(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("u"))
	b := newTestBox(t, u)
	gets := func() bool { return b.do(b.request("GET", "/safe/x", "")).status == 200 }
	b.listBorn(u, 100, true)
	b.await("u", 100)
	is.True(!gets())
	b.listBorn(u, 100, false) // an entry that came late: one that is leaving stays so
	b.publisher.set("mark", balance.Upstream{ID: "mark", Service: "x", StartedAt: 1}, false)
	b.await("mark", 1)
	is.True(!gets())
	b.listBorn(u, 200, false)
	b.await("u", 200)
	is.True(gets())
	b.listBorn(u, 100, true) // of the earlier life, whatever its revision
	b.publisher.set("mark", balance.Upstream{ID: "mark", Service: "x", StartedAt: 2}, false)
	b.await("mark", 2)
	is.Equal(b.bornOf("u"), int64(200))
	is.True(gets())
}

// A connection that rests is not used for another life, though it is open.
func TestNoConnectionOfAnEarlierLifeIsUsed(t *testing.T) {
	is := is.New(t)
	first := newStub(t, "u", respondOK("first"))
	b := newTestBox(t, first)
	b.listBorn(first, 100, false)
	b.await("u", 100)
	is.Equal(b.do(b.request("GET", "/safe/a", "")).body, "first")
	next := first.again(t, respondOK("next"))
	b.listBorn(next, 200, false)
	b.await("u", 200)
	is.Equal(b.do(b.request("POST", "/once/b", "")).body, "next")
	<-first.closed // the box has closed it
}

// A connection that is given back after its life was over is not kept.
func TestAConnectionIsNotKeptBeyondItsLife(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("ok"))
	p := newConns(func(string) int { return 9 })
	life := balance.Upstream{ID: "u", StartedAt: 100, Address: u.listener.Addr().String()}
	c, err := p.get(context.Background(), life, "s")
	is.NoErr(err)
	p.end(life.Incarnation())
	p.keep(c, time.Minute)
	is.Equal(len(p.idle["u"]), 0)
	is.Equal(p.open["u"], 0)
	life.StartedAt = 200
	c, err = p.get(context.Background(), life, "s")
	is.NoErr(err)
	p.keep(c, time.Minute)
	is.Equal(len(p.idle["u"]), 1)
	life.StartedAt = 300 // one that was kept is not handed out for another life either
	other, err := p.get(context.Background(), life, "s")
	is.NoErr(err)
	is.True(other != c)
	is.Equal(p.open["u"], 1)
	p.drop(other)
}

// An entry that names no upstream to use: the one that was sound at its key is used no more, all
// others are; the log names it once, with its key.
func TestAnEntryOfAnotherWriter(t *testing.T) {
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
	b.listUpstream(u1, false) // its writer writes it again
	b.waitFor(func() bool { return b.upstreamCount() == 2 })
	b.listUpstream(u2, true)
	b.waitFor(func() bool { return b.do(b.request("GET", "/safe/x", "")).body == "1" })
	is.True(b.log.contains("entry unusable"))
	b.waitFor(func() bool { return b.log.contains("published: not taken") })
	is.Equal(b.log.count("published: not taken"), 1)
}

// count is how often a text was written.
func (l *lockedBuffer) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

// wrongField is an error that names the field that is wrong.
type wrongField struct{ error }

func (wrongField) BadField() string { return "slots" }

func TestWhatIsNotTakenIsNamedOnceForEachContent(t *testing.T) {
	is := is.New(t)
	var text lockedBuffer
	log := NewLog("box", &text)
	m := &members{relay: &Relay{cfg: Config{Log: log}, stats: newStats()}, refused: make(map[string]uint64)}
	err := wrongField{errors.New("no")}
	for _, it := range []mirror.Item{{Key: "a", Value: []byte("1")}, {Key: "a", Value: []byte("1"), Revision: 2}, {Key: "b", Value: []byte("1")}, {Key: "a", Value: []byte("2")}} {
		m.logRefused(it, err)
	}
	is.NoErr(log.Close())
	is.Equal(text.count("published: not taken"), 3)
	is.Equal(text.count(`"field":"slots"`), 3)
	for i := range maxRefused + 5 {
		m.refused[fmt.Sprint(i)] = 1
	}
	m.logRefused(mirror.Item{Key: "c"}, err)
	is.True(len(m.refused) <= maxRefused)
}

// The entry of a life went while entries may come back, and a new life's came: that stays.
func TestANewLifeIsNotDroppedWithTheOneThatIsMissing(t *testing.T) {
	is := is.New(t)
	r := &Relay{startedAt: time.Now(), fleet: newEmptyFleet(), cfg: Config{Log: NewLog("box", io.Discard)}, conns: newConns(nil), stats: newStats()}
	missing := make(map[string]time.Duration)
	u := upstreamOf("u")
	u.StartedAt = 100
	r.takeNews(Update{Upstream: u}, 0, missing)
	r.takeNews(Update{Removed: "u"}, r.now()+time.Hour, missing)
	later := *u
	later.StartedAt = 200
	r.takeNews(Update{Upstream: &later}, 0, missing)
	is.Equal(len(missing), 0)
	is.Equal(r.fleet.Get("u").StartedAt, int64(200))
	r.takeNews(Update{Upstream: u}, 0, missing)
	is.Equal(r.fleet.Get("u").StartedAt, int64(200))
	r.takeNews(Update{Invalid: "u"}, r.now()+time.Hour, missing)
	is.Equal(r.fleet.Get("u"), nil)
	is.NoErr(r.cfg.Log.Close())
}

// A copy that lies where another life has begun is not used, and freed at its source.
func TestACopyAtAnEarlierLifeIsNotUsed(t *testing.T) {
	is := is.New(t)
	var m *movingTestBox
	m = newMovingTestBox(t, func(c net.Conn, stop func()) {
		m.listBorn(m.fast, 200, false)
		m.await("fast", 200)
		stop()
		respondCall(c, 200, "h7")
	})
	is.Equal((<-m.stream("/flow/x")).body, allEvents()) // resumed there, and read anew
	at := m.fast.requests()
	is.Equal(len(at), 1)
	is.Equal(at[0].Header.Get("X-Memory"), "")
	is.True(at[0].Header.Get("X-Last") != "")
	m.waitFor(func() bool {
		calls := m.slow.requests()
		return calls[len(calls)-1].URL.Path == "/copy/h7"
	})
}

// One that answers that it is another has the address, if its entry was passed over for it.
func TestAnUpstreamSaysItselfWhoHasItsAddress(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "true", func(c net.Conn, r stubRequest) bool {
		if r.Header.Get("X-Instance") != "true" {
			writeWire(c, fmt.Sprintf("HTTP/1.1 421 No\nX-Id: %s\nX-Started: true\nX-Not-Run: 1\nContent-Length: 0\n\n", r.Header.Get("X-Id")))
			return true
		}
		return respondOK("ok")(c, r)
	})
	b := newTestBox(t, u)
	b.listBorn(u, 100, false)
	b.await("true", 100)
	b.publisher.set("false", balance.Upstream{ID: "false", StartedAt: 900, Service: "s", Address: u.listener.Addr().String(), Domain: "d", Slots: 8}, false)
	b.await("false", 900)
	is.Equal(b.bornOf("true"), int64(-1))
	is.Equal(b.do(b.request("GET", "/safe/x", "")).body, "ok") // one refusal, and the second run is answered
	is.Equal(b.bornOf("true"), int64(100))
	is.True(b.log.contains("upstream: is another"))
}

// An entry of a service that no document names takes no address, until one does.
func TestAnEntryOfAServiceThatNobodyNames(t *testing.T) {
	is := is.New(t)
	u := newStub(t, "u", respondOK("ok"))
	b := newTestBox(t, u)
	b.listBorn(u, 100, false)
	b.await("u", 100)
	b.publisher.set("x", balance.Upstream{ID: "x", StartedAt: 900, Service: "x", Address: u.listener.Addr().String(), Domain: "d", Slots: 8}, false)
	b.await("x", 900)
	is.Equal(b.bornOf("u"), int64(100))
	is.Equal(b.do(b.request("POST", "/once/x", "")).body, "ok")
	b.publisher.set("u", balance.Upstream{ID: "u", StartedAt: 900, Service: "x", Address: u.listener.Addr().String(), Domain: "d", Slots: 8}, false)
	b.await("u", 900) // and at a sound one's key it does no more harm than that this one is not used
	is.Equal(b.do(b.request("POST", "/once/x", "")).status, 503)
	b.listBorn(u, 100, false)
	b.await("u", 100)
	is.Equal(b.do(b.request("POST", "/once/x", "")).body, "ok")
	is.Equal(b.log.count("started again"), 1) // when it first named its start
	b.relay.conns.mu.Lock()
	is.Equal(len(b.relay.conns.over), 0)
	b.relay.conns.mu.Unlock()

	document := testDocument(2)
	document.Services = append(document.Services, route.Service{Name: "x"})
	b.publisher.set("document", document, false)
	b.await("u", -1) // the later start has the address now
	is.Equal(b.bornOf("x"), int64(900))
}

// twoEvents makes a stream of two events, the second when it may go on.
func twoEvents(goOn <-chan struct{}) func(net.Conn, stubRequest) bool {
	return func(c net.Conn, r stubRequest) bool {
		startStream(c, r)
		writeChunk(c, event(1))
		<-goOn
		writeChunk(c, event(2))
		writeChunk(c, "")
		return true
	}
}

// A box that hears late of a new life has connections to it already: what runs there goes on.
func TestABoxThatHearsLateEndsNothing(t *testing.T) {
	is := is.New(t)
	goOn := make(chan struct{})
	u := newStub(t, "u", twoEvents(goOn))
	b := newTestBox(t, u)
	b.listBorn(u, 100, false)
	b.await("u", 100)
	done := make(chan callerResponse, 1)
	go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
	b.waitFor(func() bool { return len(u.requests()) == 1 })
	b.listBorn(u, 200, false) // it began long before the connection was opened
	b.await("u", 200)
	b.waitFor(func() bool { return b.log.contains(`"born":200`) })
	close(goOn)
	a := <-done
	is.NoErr(a.err)
	is.Equal(a.body, event(1)+event(2))
	is.Equal(len(u.requests()), 1)
}

// An earlier life at another address may still serve; where nobody listens, its runs end.
func TestRunsAtTheAddressBefore(t *testing.T) {
	for _, listens := range []bool{true, false} {
		t.Run(fmt.Sprint("listens ", listens), func(t *testing.T) {
			is := is.New(t)
			goOn := make(chan struct{})
			first := newStub(t, "u", twoEvents(goOn))
			next := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				startStream(c, r)
				writeChunk(c, event(2))
				writeChunk(c, "")
				return true
			})
			b := newTestBox(t, first)
			b.listBorn(first, 100, false)
			b.await("u", 100)
			done := make(chan callerResponse, 1)
			go func() { done <- b.do(b.request("POST", "/flow/x", "")) }()
			b.waitFor(func() bool { return len(first.requests()) == 1 })
			if !listens {
				is.NoErr(first.listener.Close())
			}
			born := time.Now().UnixMilli() + 1
			b.listBorn(next, born, false)
			b.await("u", born)
			if listens {
				is.Equal(b.do(b.request("POST", "/fixed/y", "")).status, 200) // the trial of the address before is over by now, or will be
				close(goOn)
			}
			is.Equal((<-done).body, event(1)+event(2))
			is.Equal(len(first.requests()), 1)
			is.Equal(len(next.requests()), 1)
			if !listens {
				close(goOn)
			}
		})
	}
}
