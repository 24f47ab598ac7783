package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// darkUpstream is an upstream whose host can fall silent: new connections time out, and open ones
// deliver nothing.
type darkUpstream struct {
	*stub
	t           testing.TB
	answersOpen atomic.Bool // open connections go on while it is dark
	dark        atomic.Bool
	fillers     []net.Conn // connections that fill its queue
}

// darkListener is a listener that accepts nothing while its upstream is dark.
type darkListener struct {
	net.Listener
	upstream *darkUpstream
}

// Accept implements net.Listener.
func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err == nil && l.upstream.dark.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	return c, err
}

func newDarkUpstream(t testing.TB, id string) *darkUpstream {
	t.Helper()
	u := &darkUpstream{t: t}
	u.stub = newStubOn(t, &darkListener{listenWithoutQueue(t), u}, id, func(c net.Conn, r stubRequest) bool {
		for u.dark.Load() && !u.answersOpen.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		return respondOK(id)(c, r)
	})
	t.Cleanup(u.reappear)
	return u
}

// listenWithoutQueue returns a listener whose kernel queue holds as few connections as possible.
func listenWithoutQueue(t testing.TB) net.Listener {
	t.Helper()
	l := listen(t)
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatal(err, listenErr)
	}
	return l
}

// disappear lets the host fall silent. On a busy machine a single connection attempt may time out
// before the queue is full.
func (u *darkUpstream) disappear() {
	u.dark.Store(true)
	timeouts := 0
	for range 16 {
		c, err := net.DialTimeout("tcp", u.listener.Addr().String(), balance.DialWait)
		if err == nil {
			u.fillers = append(u.fillers, c)
			timeouts = 0
		} else if timeouts++; timeouts == 3 {
			return
		}
	}
	u.t.Fatal("the upstream still accepts connections")
}

// reappear lets the host answer again.
func (u *darkUpstream) reappear() {
	for _, c := range u.fillers {
		_ = c.Close()
	}
	u.fillers = nil
	u.dark.Store(false)
}

// startPair starts two boxes of a group in front of the stubs.
func startPair(t *testing.T, stubs ...*stub) (first, second *testBox) {
	var self *wire.GroupBox
	first = newTestBoxWithConfig(t, func(c *Config) {
		joinGroup(t, c, "first")
		self = c.Self
	}, stubs...)
	second = first.startPeer(self)
	first.waitFor(func() bool {
		return first.relay.boxes() == 2 && second.relay.boxes() == 2 && second.upstreamCount() == len(stubs)
	})
	return first, second
}

// once sends a request that may run once.
func (b *testBox) once() callerResponse {
	return b.do(b.request(http.MethodPost, "/once/x", "x"))
}

// All upstreams of a domain fell silent. Each of its boxes sent a request to each upstream on an
// open connection before it knew, although other boxes had found out before: 65 of 173 requests
// that may run once were lost after some box knew.
func TestUpstreamSilentForOneBoxGetsNoRequestOfOthers(t *testing.T) {
	is := is.New(t)
	u, v, w := newDarkUpstream(t, "u"), newStub(t, "v", respondOK("v")), newStub(t, "w", respondOK("w"))
	first, second := startPair(t, u.stub, v, w)
	is.Equal(second.once().body, "u") // the connection stays open
	u.disappear()
	is.True(first.once().status == http.StatusOK) // it has no open connection and finds out
	second.awaitLog(`"msg":"upstream: out of reach of others"`)
	for range 5 {
		is.Equal(second.once().status, http.StatusOK)
	}
	is.Equal(len(u.requests()), 1)
	second.awaitLog(`"msg":"upstream: out of reach"`) // by its own connection attempt
	second.awaitLog(`"reached":false`)

	u.reappear()
	second.waitFor(func() bool { return !second.isUnreachable("u") && !first.isUnreachable("u") })
}

// A box probes a few unreachable upstreams at a time. One that another box reaches is probed at
// once.
func TestUpstreamReachedByAnotherBoxIsProbedAtOnce(t *testing.T) {
	is := is.New(t)
	first, second := startPair(t, newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v")))
	for _, b := range []*testBox{first, second} { // not by a request, so that the box does not start to probe
		b.relay.mu.Lock()
		b.relay.fleet.NoteUnreachable(b.relay.now(), balance.Incarnation{ID: "u"})
		b.relay.mu.Unlock()
	}
	is.True(second.isUnreachable("u"))
	first.relay.mu.Lock()
	first.relay.fleet.NoteReachable(first.relay.now(), balance.Incarnation{ID: "u"})
	first.relay.mu.Unlock()
	second.waitFor(func() bool { return !second.isUnreachable("u") })
	second.awaitLog(`"msg":"upstream: reached by others"`)
	second.awaitLog(`"msg":"upstream: reached again"`)
}

func (b *testBox) isUnreachable(id string) bool {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	return b.relay.fleet.IsUnreachable(balance.Incarnation{ID: id})
}

// reportLost lets a box receive a report that connections to an upstream time out.
func (b *testBox) reportLost(id string) {
	b.relay.mu.Lock()
	defer b.relay.mu.Unlock()
	report := balance.ReachReport{Life: balance.Incarnation{ID: id}.Key(), Age: time.Millisecond, Box: "other"}
	time.Sleep(2 * time.Millisecond) // the last answer is older than the report
	if len(b.relay.fleet.MergeReachReports(b.relay.now(), []balance.ReachReport{report})) != 1 {
		b.t.Fatal("the report has no effect")
	}
}

// A report that is wrong takes no upstream away.
func TestWrongReportTakesNoUpstreamAway(t *testing.T) {
	is := is.New(t)
	u, v := newDarkUpstream(t, "u"), newStub(t, "v", respondOK("v"))
	b := newTestBox(t, u.stub, v)
	is.Equal(b.once().body, "u")
	for range 3 {
		b.reportLost("u")
		is.Equal(b.once().body, "u")
		is.True(!b.isUnreachable("u"))
	}
	b.awaitLog(`"reached":true`)
}

// An upstream that accepts no new connections, but answers on open ones, still serves requests for
// which no other upstream is left.
func TestUpstreamSlowToAcceptIsUsedIfNoOtherIsLeft(t *testing.T) {
	is := is.New(t)
	u, v := newDarkUpstream(t, "u"), newStub(t, "v", respondNotRun(http.StatusServiceUnavailable))
	u.answersOpen.Store(true)
	b := newTestBox(t, u.stub, v)
	is.Equal(b.once().body, "u")
	u.disappear()
	b.reportLost("u")
	got := b.once()
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "u")
	is.Equal(len(v.requests()), 1) // it was asked first
}

// A host that refuses connections is not silent, whatever others report: a request finds out at
// no cost.
func TestReportAboutHostThatRefusesIsDropped(t *testing.T) {
	is := is.New(t)
	u, v := newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v"))
	b := newTestBox(t, u, v)
	is.NoErr(u.listener.Close())
	b.reportLost("u")
	is.Equal(b.once().body, "v")
	b.awaitLog(`"msg":"upstream: verified"`)
}
