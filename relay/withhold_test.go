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

// A request arrived repeatedly, each time with a new ID and at any box, and crashed each
// upstream that started to run it. Boxes identified requests by ID alone, so each arrival was a
// new request to them: it was run, and after the disconnect retried once, which crashed two
// upstreams per arrival. Neither a box nor the group counted the crashes under a request. In a
// recorded run 46 upstreams crashed under one request and 34 under another:
//
//	41.871 s  upstream runs it
//	41.989 s  its run ends, the upstream has crashed
//	41.990 s  the same box sends it to another upstream
//	42.158 s  its run ends, the upstream has crashed
//
// The boxes logged "run: failed ... unexpected EOF", then "connection refused" up to 44 times
// for one upstream, each line with another ID and without the content.

const fatalBody = "what ends an upstream"

// crashingUpstreams are upstreams that crash when they start to run a fatal request. Each is
// replaced by another one with a new ID and address.
type crashingUpstreams struct {
	t testing.TB
	b *testBox

	// crash reports whether an upstream crashes under a request, after it has written what it
	// writes of the answer.
	crash func(c net.Conn, r stubRequest) bool

	mu      sync.Mutex
	ended   int
	started int
	open    map[*stub][]net.Conn
	waits   bool // the next upstream does not start to run it
	began   chan struct{}
}

func newCrashingUpstreams(t testing.TB) *crashingUpstreams {
	crash := func(_ net.Conn, r stubRequest) bool { return r.body == fatalBody }
	return &crashingUpstreams{t: t, crash: crash, open: make(map[*stub][]net.Conn), began: make(chan struct{}, 1)}
}

// start starts an upstream.
func (m *crashingUpstreams) start() *stub {
	m.mu.Lock()
	m.started++
	id := fmt.Sprintf("upstream-%d", m.started)
	m.mu.Unlock()
	var s *stub
	ready := make(chan struct{})
	s = newStub(m.t, id, func(c net.Conn, r stubRequest) bool {
		<-ready
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
		if m.crash(c, r) {
			m.end(s)
			return false
		}
		return respondOK("well")(c, r)
	})
	close(ready)
	return s
}

// end crashes an upstream with all its connections, and starts another one.
func (m *crashingUpstreams) end(s *stub) {
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

// newest is the ID of the upstream that was started last.
func (m *crashingUpstreams) newest() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("upstream-%d", m.started)
}

func (m *crashingUpstreams) endedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// startBox starts a box in front of n upstreams.
func (m *crashingUpstreams) startBox(n int, change func(*Config)) {
	var list []*stub
	for range n {
		list = append(list, m.start())
	}
	m.b = newTestBoxWithConfig(m.t, change, list...)
}

// maxEnded is how many upstreams a request may crash, however often it arrives.
const maxEnded = 3

func TestFatalRequestIsWithheld(t *testing.T) {
	is := is.New(t)
	m := newCrashingUpstreams(t)
	m.startBox(6, func(*Config) {})
	for n := range 10 {
		m.b.waitFor(func() bool { return m.b.lists(m.newest()) })
		m.b.do(m.b.request(http.MethodPost, "/safe/x", fatalBody, "X-Id", fmt.Sprint("fatal-", n)))
	}
	t.Logf("%d upstreams ended under one request", m.endedCount())
	is.True(m.endedCount() <= maxEnded) // see the comment at the top
	got := m.b.do(m.b.request(http.MethodPost, "/safe/x", fatalBody, "X-Id", "fatal"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/safe/x", "sound", "X-Id", "sound")).status, http.StatusOK) // another request
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/safe/y", fatalBody[1:], "X-Id", "other")).status, http.StatusOK)
}

// A run that waits at an upstream for its first event is ended when its request becomes
// withheld.
func TestWaitingFatalRequestIsEnded(t *testing.T) {
	is := is.New(t)
	m := newCrashingUpstreams(t)
	m.waits = true
	m.startBox(6, func(*Config) {})
	got := make(chan callerResponse, 1)
	go func() { got <- m.b.do(m.b.request(http.MethodPost, "/flow/x", fatalBody, "X-Id", "waits")) }()
	<-m.began
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/flow/x", fatalBody, "X-Id", "ends")).status, http.StatusBadGateway)
	is.Equal((<-got).status, http.StatusBadGateway) // it may have run
	is.Equal(m.endedCount(), 2)
	is.Equal(m.b.do(m.b.request(http.MethodPost, "/flow/x", fatalBody, "X-Id", "again")).status, http.StatusServiceUnavailable)
	withheld := m.b.relay.state().Withheld
	is.Equal(len(withheld), 1)
	is.Equal(withheld[0].Ended, uint32(2))
	m.b.awaitLog(`"content":"` + withheld[0].Content + `"`)
}

// A request that was answered completely is not withheld, though upstreams ended during other
// runs of it before and after.
func TestAnsweredRequestIsNotWithheld(t *testing.T) {
	is := is.New(t)
	m := newCrashingUpstreams(t)
	m.startBox(6, func(*Config) {})
	x := &exchange{relay: m.b.relay, request: &request{method: http.MethodPost, host: "h.example", uri: "/safe/x", body: []byte("sound")},
		customer: m.b.relay.published.document().Customer("secret")}
	ends := func(id string) {
		m.b.relay.mu.Lock()
		defer m.b.relay.mu.Unlock()
		m.b.relay.crashSuspects.NoteConnectionLost(m.b.relay.now(), balance.LostRun{Subjects: x.subjects(), Incarnation: balance.Incarnation{ID: id}})
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

// startPeer starts another box of the group in front of the same upstreams.
func (b *testBox) startPeer(self *wire.GroupBox) *testBox {
	b.t.Helper()
	other := newTestBoxWithConfig(b.t, func(c *Config) {
		c.Publisher = b.publisher
		joinGroup(b.t, c, "second", self.Address)
	})
	other.publisher = b.publisher
	other.waitFor(func() bool { return other.relay.Ready() && other.relay.boxes() == 2 && b.relay.boxes() == 2 })
	return other
}

// listenPeerPort listens on a TCP port whose UDP port is free as well.
func listenPeerPort(t testing.TB) net.Listener {
	t.Helper()
	for range 100 {
		l := listen(t)
		udp, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			_ = l.Close()
			continue
		}
		if err := udp.Close(); err != nil {
			t.Fatal(err)
		}
		return l
	}
	t.Fatal("no port is free for TCP and UDP")
	return nil
}

// joinGroup configures a box as a member of a group.
func joinGroup(t testing.TB, c *Config, name string, seeds ...string) {
	t.Helper()
	c.TunnelListener = listenPeerPort(t)
	address := c.TunnelListener.Addr().String()
	c.ControlListener = listen(t)
	c.MaxTunnels = 64
	c.Self = &wire.GroupBox{Name: name, Domain: "d", Address: address, Pulls: c.ControlListener.Addr().String(), Boot: 1, Strength: uint32(len(name))}
	c.Seeds = seeds
}

// A box that never ran the request refuses it as well, once another box has seen it crash
// upstreams.
func TestWithholdingIsSharedBetweenBoxes(t *testing.T) {
	is := is.New(t)
	m := newCrashingUpstreams(t)
	var self *wire.GroupBox
	m.startBox(6, func(c *Config) {
		joinGroup(t, c, "first")
		self = c.Self
	})
	second := m.b.startPeer(self)
	status := 0
	for n := 0; n < 40 && status != http.StatusServiceUnavailable; n++ {
		status = m.b.do(m.b.request(http.MethodPost, "/safe/x", fatalBody, "X-Id", fmt.Sprint("first-", n))).status
	}
	is.Equal(status, http.StatusServiceUnavailable) // the first box has come to refuse it
	before := m.endedCount()
	for version := uint64(2); version < 5; version++ { // the first box's evidence has arrived along with the last of these versions
		m.b.publisher.set("document", testDocument(version), false)
		second.waitFor(func() bool { return second.relay.documentVersion() == version })
	}
	is.Equal(second.do(second.request(http.MethodPost, "/safe/x", fatalBody, "X-Id", "second")).status, http.StatusServiceUnavailable)
	is.Equal(m.endedCount(), before) // no upstream crashed under it at the second box
}

// In a partition that refuses connections, idle connections look sound until they are used. A
// request whose run was disconnected is not sent on another of them, and no crash is counted
// against it.
func TestDisconnectedRequestUsesNewConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var stubs []*stub
	var partitioned, usedIdle bool // the partition has begun; a retry was sent on an idle connection
	script := func(n int) func(net.Conn, stubRequest) bool {
		return func(c net.Conn, r stubRequest) bool {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.body == "warm":
			case partitioned && n != 2:
				usedIdle = true
				return false
			case !partitioned:
				partitioned = true
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
	for n := range 12 { // leaves an idle connection to each upstream
		warm.Go(func() { b.do(b.request(http.MethodPost, "/safe/x", "warm", "X-Id", fmt.Sprint("warm", n))) })
	}
	warm.Wait()
	got := b.do(b.request(http.MethodPost, "/safe/x", "x"))
	is.Equal(got.status, http.StatusOK)
	is.True(!b.closedLogContains("content: withheld"))
	mu.Lock()
	defer mu.Unlock()
	is.True(!usedIdle)
}

// An upstream ends under a run, and another one starts at its address before the box can probe
// it: the entry of the new one shows that the first has ended.
func TestEntryAtSameAddressShowsEnd(t *testing.T) {
	is := is.New(t)
	for _, leaving := range []bool{false, true} {
		cutOff := func(net.Conn, stubRequest) bool { return false }
		u := newStub(t, "u", cutOff)
		b := newTestBox(t, u)
		if leaving {
			b.listUpstream(u, true)
			b.awaitLog(`"leaving":true`)
		}
		content := balance.ContentSubject(7)
		b.relay.mu.Lock()
		b.relay.crashSuspects.NoteConnectionLost(b.relay.now(), balance.LostRun{Subjects: []balance.Subject{content}, Incarnation: balance.Incarnation{ID: "u"}})
		b.relay.mu.Unlock()
		next := &stub{id: "next", listener: u.listener}
		b.listUpstream(next, false)
		b.awaitLog(`"upstream":"next"`) // its entry is applied completely
		b.relay.mu.Lock()
		is.Equal(b.relay.crashSuspects.Suspected(b.relay.now(), content), !leaving)
		b.relay.mu.Unlock()
	}
}
