package relay

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// boxPath is the network path of one box to an upstream. Other boxes use other paths.
type boxPath struct {
	t        testing.TB
	upstream string // address
	listener net.Listener
	silent   atomic.Bool
	resets   atomic.Bool // connections are reset when they are used
	accepted sync.WaitGroup

	mu      sync.Mutex
	open    []net.Conn
	fillers []net.Conn // connections that fill the queue of the listener
}

func newBoxPath(t testing.TB, u *stub) *boxPath {
	t.Helper()
	p := &boxPath{t: t, upstream: u.listener.Addr().String(), listener: listenWithoutQueue(t)}
	p.accepted.Go(p.accept)
	t.Cleanup(func() {
		p.restore()
		_ = p.listener.Close()
		p.reset()
		p.accepted.Wait()
	})
	return p
}

func (p *boxPath) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		for p.silent.Load() {
			time.Sleep(time.Millisecond)
		}
		p.accepted.Go(func() { p.serve(c) })
	}
}

// serve copies between a box and the upstream while the path is not silent.
func (p *boxPath) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	u, err := net.Dial("tcp", p.upstream)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.open = append(p.open, c, u)
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(u, c) })
	both.Go(func() { p.copy(c, u) })
	both.Wait()
}

func (p *boxPath) copy(to, from net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	b := make([]byte, 4<<10)
	for {
		n, err := from.Read(b)
		for p.silent.Load() {
			time.Sleep(time.Millisecond)
		}
		if p.resets.Load() {
			p.reset()
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut silences the path: new connections time out, and open ones deliver nothing.
func (p *boxPath) cut() {
	p.silent.Store(true)
	timeouts := 0
	for range 16 {
		c, err := net.DialTimeout("tcp", p.listener.Addr().String(), balance.DialWait)
		if err == nil {
			p.fillers = append(p.fillers, c)
			timeouts = 0
		} else if timeouts++; timeouts == 3 {
			return
		}
	}
	p.t.Fatal("the path still accepts connections")
}

// restore ends cut.
func (p *boxPath) restore() {
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	p.silent.Store(false)
}

// reset resets the open connections.
func (p *boxPath) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.open = nil
}

// refuse makes new connections fail with a refusal until accept is called again; open ones live on.
func (p *boxPath) refuse() {
	p.t.Helper()
	if err := p.listener.Close(); err != nil {
		p.t.Fatal(err)
	}
}

// paths are the paths of a box to its upstreams, by upstream ID.
type paths map[string]*boxPath

func newPaths(t testing.TB, stubs ...*stub) paths {
	t.Helper()
	list := make(paths)
	for _, s := range stubs {
		list[s.id] = newBoxPath(t, s)
	}
	return list
}

// cut silences all paths of the box.
func (l paths) cut() {
	var all sync.WaitGroup
	for _, p := range l {
		all.Go(p.cut)
	}
	all.Wait()
}

func (l paths) restore() {
	for _, p := range l {
		p.restore()
	}
}

// decode is decodeItem with the addresses at which the box reaches the upstreams.
func (l paths) decode(it mirror.Item) (Update, error) {
	u, err := decodeItem(it)
	if u.Upstream != nil && l[u.Upstream.ID] != nil {
		u.Upstream.Address = l[u.Upstream.ID].listener.Addr().String()
	}
	return u, err
}

// startPathPair starts two boxes of a group. The first one reaches the stubs over paths of its own,
// and has mechanisms switched off.
func startPathPair(t *testing.T, l paths, off balance.Off, stubs ...*stub) (first, second *testBox) {
	t.Helper()
	return startPathPairWithConfig(t, l, func(c *Config) { c.Disabled = off }, stubs...)
}

// startPathPairWithConfig is startPathPair with the configuration of the first box modified by change.
func startPathPairWithConfig(t *testing.T, l paths, change func(*Config), stubs ...*stub) (first, second *testBox) {
	t.Helper()
	var self *wire.GroupBox
	first = newTestBoxWithConfig(t, func(c *Config) {
		joinGroup(t, c, "first")
		c.Decode = l.decode
		change(c)
		self = c.Self
	}, stubs...)
	second = first.startPeer(self)
	first.waitFor(func() bool {
		return first.relay.boxes() == 2 && second.relay.boxes() == 2 && second.upstreamCount() == len(stubs) && first.relay.tunnels.havePeers()
	})
	return first, second
}

// A box that reaches no upstream could not tell from its own log whether they are down.
func TestLogTellsCutPathFromUpstreamThatIsDown(t *testing.T) {
	is := is.New(t)
	u, v, w := newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v")), newStub(t, "w", respondOK("w"))
	l := newPaths(t, u, v, w)
	first, second := startPathPair(t, l, balance.Off{balance.Tunnels: true}, u, v, w)
	l.cut()
	is.True(first.once().status != http.StatusOK)
	second.awaitLog(`"msg":"upstream: out of reach of others"`)
	second.waitFor(func() bool {
		is.Equal(second.once().status, http.StatusOK)
		return second.log.contains(`"msg":"upstream: verified"`)
	})
	first.waitFor(func() bool {
		first.relay.mu.Lock()
		defer first.relay.mu.Unlock()
		return first.relay.fleet.Paths(first.relay.now(), "s").ReachedByOthers > 0
	})
	is.True(first.once().status != http.StatusOK)
	first.awaitLog(`"out_of_reach":3`)
	first.awaitLog(`"told_by":"second"`)
	var metrics lockedBuffer
	first.relay.WriteMetrics(&metrics)
	is.True(metrics.contains("upstreams_unreachable 3\n"))
	is.True(!metrics.contains("upstreams_reached_by_others_only 0\n"))
}

// While boxes were partitioned from all upstreams, their callers got 1 of 54 and 0 of 49 first
// attempts answered, those of other boxes 155 of 156 and 160 of 161.
func TestBoxCutOffFromAllUpstreamsAnswersThroughOtherBox(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  func(paths)
	}{
		{"silent", paths.cut},
		{"reset and refused", paths.refuse},
		{"reset when used, and refused", paths.refuseAndResetWhenUsed},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			u, v, w := newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v")), newStub(t, "w", respondOK("w"))
			l := newPaths(t, u, v, w)
			first, second := startPathPair(t, l, nil, u, v, w)
			for range 3 {
				is.Equal(first.once().status, http.StatusOK)
			}
			test.cut(l)
			first.once() // may run once only, and may be lost on a connection that the box had open
			for range 10 {
				is.Equal(first.once().status, http.StatusOK)
				is.Equal(second.once().status, http.StatusOK)
			}
		})
	}
}

// A verification that was refused let the request go on an open connection, which the path reset.
func TestRequestAfterRefusedVerificationUsesNewConnection(t *testing.T) {
	is := is.New(t)
	u, v := newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v"))
	l := newPaths(t, u)
	b := newTestBoxWithConfig(t, func(c *Config) { c.Decode = l.decode }, u, v)
	is.Equal(b.once().body, "u") // the connection stays open
	l.refuseAndResetWhenUsed()
	b.reportLost("u")
	is.Equal(b.once().body, "v")
}

// When its paths are back, a box connects directly again.
func TestBoxWhosePathsAreBackConnectsDirectly(t *testing.T) {
	is := is.New(t)
	u, v, w := newStub(t, "u", respondOK("u")), newStub(t, "v", respondOK("v")), newStub(t, "w", respondOK("w"))
	l := newPaths(t, u, v, w)
	first, _ := startPathPair(t, l, nil, u, v, w)
	l.cut()
	first.once()
	is.Equal(first.once().status, http.StatusOK)
	l.restore()
	first.waitFor(func() bool {
		return !first.isUnreachable("u") && !first.isUnreachable("v") && !first.isUnreachable("w")
	})
	opened := first.relay.stats.counterValue(tunnelsOpened)
	is.True(opened > 0)
	for range 5 {
		is.Equal(first.once().status, http.StatusOK)
	}
	is.Equal(first.relay.stats.counterValue(tunnelsOpened), opened)
	first.waitFor(func() bool { return first.relay.conns.tunnelled() == 0 })
}

// tunnelled returns the number of idle connections through other boxes.
func (p *connPool) tunnelled() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for key, list := range p.idle {
		if key.tunnelled {
			count += len(list)
		}
	}
	return count
}

// refuseAndResetWhenUsed refuses new connections of the box, and resets open ones when it uses them.
func (l paths) refuseAndResetWhenUsed() {
	for _, p := range l {
		p.refuse()
		p.resets.Store(true)
	}
}

// refuse resets all connections of the box, and refuses new ones.
func (l paths) refuse() {
	for _, p := range l {
		p.refuse()
		p.reset()
	}
}
