package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// One request came again and again, under a new id each time and at any box, and ended each upstream
// that began to run it. Boxes told requests apart by their ids alone, so that each arrival was a
// new one: it was run, and when that was cut off run once more elsewhere, which ended two upstreams an
// arrival. Nothing counted what had ended under a request, neither on a box nor over all of them. In
// the record of the day 46 upstreams ended under one request and 34 under another:
//
//	41.871 s  upstream runs it
//	41.989 s  its run ends, the upstream has ended
//	41.990 s  it reaches another upstream, from the same box
//	42.158 s  its run ends, the upstream has ended
//
// and the boxes logged "run: failed ... unexpected EOF", then "connection refused" up to 44 times for one
// upstream, each line with an id of its own and no word of what was sent.

const fatalBody = "what ends an upstream"

// mortals are upstreams that end when they begin to run a fatal request. Each is followed by another
// one, under an id and at an address of its own.
type mortals struct {
	t testing.TB
	b *testBox

	mu    sync.Mutex
	ended int
	made  int
	open  map[*stub][]net.Conn
	waits bool // the next one does not begin to run it
	began chan struct{}
}

func newMortals(t testing.TB) *mortals {
	return &mortals{t: t, open: make(map[*stub][]net.Conn), began: make(chan struct{}, 1)}
}

// start makes an upstream.
func (m *mortals) start() *stub {
	m.mu.Lock()
	m.made++
	id := fmt.Sprintf("mortal-%d", m.made)
	m.mu.Unlock()
	var s *stub
	made := make(chan struct{})
	s = newStub(m.t, id, func(c net.Conn, r stubRequest) bool {
		<-made
		m.mu.Lock()
		m.open[s] = append(m.open[s], c)
		waits := m.waits && r.body == fatalBody
		m.waits = m.waits && !waits
		m.mu.Unlock()
		if waits {
			m.began <- struct{}{}
			_, _ = c.Read(make([]byte, 1)) // until the box closes the connection
			return false
		}
		if r.body == fatalBody {
			m.end(s)
			return false
		}
		return respondOK("well")(c, r)
	})
	close(made)
	return s
}

// end ends an upstream with all its connections, and starts another one.
func (m *mortals) end(s *stub) {
	_ = s.listener.Close()
	m.mu.Lock()
	m.ended++
	open := m.open[s]
	delete(m.open, s)
	m.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	m.b.publisher.set(s.id, nil, true)
	m.b.listUpstream(m.start(), false)
}

// newest is the id of the upstream that was started last.
func (m *mortals) newest() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("mortal-%d", m.made)
}

func (m *mortals) hasEnded() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// among starts a box before n of them.
func (m *mortals) among(n int, change func(*Config)) {
	var list []*stub
	for range n {
		list = append(list, m.start())
	}
	m.b = newTestBoxWithConfig(m.t, change, list...)
}

// mostEnded is how many upstreams a request may end, whatever it comes as often.
const mostEnded = 3

func TestARequestThatEndsUpstreamsIsSentNoMore(t *testing.T) {
	is := is.New(t)
	m := newMortals(t)
	m.among(6, func(*Config) {})
	for n := range 10 {
		m.b.waitFor(func() bool { return m.b.lists(m.newest()) })
		m.b.do(m.b.request(http.MethodPost, "/safe/x", fatalBody, "X-Id", fmt.Sprint("fatal-", n)))
	}
	t.Logf("%d upstreams ended under one request", m.hasEnded())
	is.True(m.hasEnded() <= mostEnded) // see the log above
	got := m.b.do(m.b.request(http.MethodPost, "/safe/x", fatalBody, "X-Id", "fatal"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/safe/x", "sound", "X-Id", "sound")).status, http.StatusOK) // another request
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/safe/y", fatalBody[1:], "X-Id", "other")).status, http.StatusOK)
}

// What waits at an upstream for its first event is ended there when the request comes to be withheld.
func TestAFatalRequestThatWaitsIsEnded(t *testing.T) {
	is := is.New(t)
	m := newMortals(t)
	m.waits = true
	m.among(6, func(*Config) {})
	got := make(chan callerResponse, 1)
	go func() { got <- m.b.do(m.b.request(http.MethodPost, "/flow/x", fatalBody, "X-Id", "waits")) }()
	<-m.began
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/flow/x", fatalBody, "X-Id", "ends")).status, http.StatusBadGateway)
	is.Equal((<-got).status, http.StatusBadGateway) // it may have run
	is.Equal(m.hasEnded(), 2)
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/flow/x", fatalBody, "X-Id", "again")).status, http.StatusServiceUnavailable)
	withheld := m.b.relay.state().Withheld
	is.Equal(len(withheld), 1)
	is.Equal(withheld[0].Ended, uint32(2))
	m.b.waitFor(func() bool { return m.b.log.contains(`"content":"` + withheld[0].Content + `"`) })
}

// A request that was answered whole is not withheld, though upstreams ended beside it before and after.
func TestWhatIsAnsweredIsNotWithheld(t *testing.T) {
	is := is.New(t)
	m := newMortals(t)
	m.among(6, func(*Config) {})
	x := &exchange{relay: m.b.relay, request: &request{method: http.MethodPost, host: "h.example", uri: "/safe/x", body: []byte("sound")},
		customer: m.b.relay.belief.document().Customer("secret")}
	ends := func(id string) {
		m.b.relay.mu.Lock()
		defer m.b.relay.mu.Unlock()
		m.b.relay.crashSuspects.NoteConnectionLost(m.b.relay.now(), x.contentOf(), balance.Incarnation{ID: id})
		m.b.relay.crashSuspects.Ended(m.b.relay.now(), balance.Incarnation{ID: id})
	}
	ends("gone-1")
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/safe/x", "sound")).status, http.StatusOK)
	ends("gone-2")
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/safe/x", "sound")).status, http.StatusOK)
	ends("gone-3")
	ends("gone-4")
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/safe/x", "sound")).status, http.StatusServiceUnavailable)
}

// peerOf starts another box of the group, before the same upstreams.
func (b *testBox) peerOf(self *wire.GroupBox) *testBox {
	b.t.Helper()
	other := newTestBoxWithConfig(b.t, func(c *Config) {
		c.Publisher = b.publisher
		joins(b.t, c, "second", self.Address)
	})
	other.publisher = b.publisher
	other.waitFor(func() bool { return other.relay.Ready() && other.relay.boxes() == 2 && b.relay.boxes() == 2 })
	return other
}

// joins makes a box one of a group.
func joins(t testing.TB, c *Config, name string, seeds ...string) {
	t.Helper()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := udp.LocalAddr().String()
	if err := udp.Close(); err != nil {
		t.Fatal(err)
	}
	c.ControlListener = listen(t)
	c.Self = &wire.GroupBox{Name: name, Domain: "d", Address: address, Pulls: c.ControlListener.Addr().String(), Boot: 1, Strength: uint32(len(name))}
	c.Seeds = seeds
}

// A box that never ran the request refuses it too, once another has seen it end upstreams.
func TestBoxesTellEachOtherWhatEndsUpstreams(t *testing.T) {
	is := is.New(t)
	m := newMortals(t)
	var self *wire.GroupBox
	m.among(6, func(c *Config) {
		joins(t, c, "first")
		self = c.Self
	})
	second := m.b.peerOf(self)
	status := 0
	for n := 0; n < 40 && status != http.StatusServiceUnavailable; n++ {
		status = m.b.do(m.b.request(http.MethodPost, "/safe/x", fatalBody, "X-Id", fmt.Sprint("first-", n))).status
	}
	is.Equal(status, http.StatusServiceUnavailable) // the first box came to refuse it
	before := m.hasEnded()
	for version := uint64(2); version < 5; version++ { // what the first box told before has come along with the last of them
		m.b.publisher.set("document", testDocument(version), false)
		second.waitFor(func() bool { return second.relay.version() == version })
	}
	is.Equal(second.do(second.request(http.MethodPost, "/safe/x", fatalBody, "X-Id", "second")).status, http.StatusServiceUnavailable)
	is.Equal(m.hasEnded(), before) // none ended under it at the second box
}

// In a cut that refuses, connections that rest look sound until they are used. A request whose run was cut
// off is not lost on a second one of these, and no end is held against it.
func TestWhatWasCutOffGoesOnANewConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var stubs []*stub
	var cut, dead bool // the cut has come; a request has met it on a connection that rested
	script := func(n int) func(net.Conn, stubRequest) bool {
		return func(c net.Conn, r stubRequest) bool {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.body == "warm":
			case cut && n != 2:
				dead = true
				return false
			case !cut:
				cut = true
				for _, s := range stubs[:2] {
					_ = s.listener.Close()
				}
				return false
			}
			return respondOK("well")(c, r)
		}
	}
	for n := range 3 {
		stubs = append(stubs, newStub(t, fmt.Sprint("u", n), script(n)))
	}
	b := newTestBox(t, stubs...)
	var warm sync.WaitGroup
	for n := range 12 { // a connection rests to each
		warm.Go(func() { b.do(b.request(http.MethodPost, "/safe/x", "warm", "X-Id", fmt.Sprint("warm", n))) })
	}
	warm.Wait()
	got := b.do(b.request(http.MethodPost, "/safe/x", "x"))
	is.Equal(got.status, http.StatusOK)
	is.True(!b.log.contains("content: withheld"))
	mu.Lock()
	defer mu.Unlock()
	is.True(!dead)
}

// An upstream ends under a run and another one starts at its address before the box can look: the entry of
// that one says that the first has ended.
func TestAnotherAtItsAddressSaysThatAnUpstreamHasEnded(t *testing.T) {
	is := is.New(t)
	for _, leaving := range []bool{false, true} {
		cutOff := func(net.Conn, stubRequest) bool { return false }
		u := newStub(t, "u", cutOff)
		b := newTestBox(t, u)
		if leaving {
			b.listUpstream(u, true)
			b.waitFor(func() bool { return b.log.contains(`"leaving":true`) })
		}
		const content = 7
		b.relay.mu.Lock()
		b.relay.crashSuspects.NoteConnectionLost(b.relay.now(), content, balance.Incarnation{ID: "u"})
		b.relay.mu.Unlock()
		next := &stub{id: "next", listener: u.listener}
		b.listUpstream(next, false)
		b.waitFor(func() bool { return b.log.contains(`"upstream":"next"`) }) // all is taken in that its entry says
		b.relay.mu.Lock()
		is.Equal(b.relay.crashSuspects.Suspected(content), !leaving)
		b.relay.mu.Unlock()
	}
}
