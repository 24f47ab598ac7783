package soak

// This file defines how upstreams end: their connections are closed in order, as the system does for a killed
// process, and something else may listen at their address at once.
//
// Invariant: a killed upstream writes nothing from before the first of its connections is closed.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/doormast/doormast/platform"
)

// processConns is the listener of an upstream and its connections.
type processConns struct {
	*net.TCPListener
	mu       sync.Mutex
	conns    map[*processConn]bool
	writes   sync.RWMutex // held for reading by each write
	isKilled bool         // guarded by writes
}

// processConn is a connection of an upstream.
type processConn struct {
	*net.TCPConn
	all *processConns
}

func newProcessConns(l net.Listener) *processConns {
	return &processConns{TCPListener: l.(*net.TCPListener), conns: make(map[*processConn]bool)}
}

// Accept implements net.Listener.
func (p *processConns) Accept() (net.Conn, error) {
	c, err := p.AcceptTCP()
	if err != nil {
		return nil, err
	}
	conn := &processConn{c, p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return conn, nil
}

// Write implements net.Conn.
func (c *processConn) Write(b []byte) (int, error) {
	c.all.writes.RLock()
	defer c.all.writes.RUnlock()
	if c.all.isKilled {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn. The connections of a killed upstream are closed by closeAll.
func (c *processConn) Close() error {
	c.all.writes.RLock()
	defer c.all.writes.RUnlock()
	if c.all.isKilled {
		return net.ErrClosed
	}
	c.all.mu.Lock()
	delete(c.all.conns, c)
	c.all.mu.Unlock()
	return c.TCPConn.Close()
}

// kill ends all writes.
func (p *processConns) kill() {
	for _, c := range p.list() {
		_ = c.SetWriteDeadline(time.Now())
	}
	p.writes.Lock()
	p.isKilled = true
	p.writes.Unlock()
}

func (p *processConns) list() (list []*processConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		list = append(list, c)
	}
	return list
}

// closeAll closes the connections in order, with gaps that together take a time.
func (p *processConns) closeAll(within time.Duration) {
	list := p.list()
	for _, c := range list {
		_ = c.TCPConn.Close()
		if within > 0 {
			time.Sleep(within / time.Duration(len(list)))
		}
	}
}

// ending is how an upstream ends.
type ending struct {
	listenerFirst bool          // the listener is closed before the connections
	within        time.Duration // from the first connection's close to the last
	livesOn       time.Duration // for which it answers on new connections after that; 0: it is killed before
}

// endFaults are the faults by which upstreams end.
var endFaults = []fault{
	{"kill an upstream", endUpstream(kills)},
	{"kill an upstream whose connections end one after the other", endUpstream(slowKills)},
	{"stop an upstream that finishes nothing", endUpstream(stops)},
	{"stop an upstream that finishes nothing and listens on", endUpstream(lateStops)},
	{"kill an upstream after an answer", endAfterAnswer},
}

const (
	maxClosingMs     = 6
	maxLivesOnMs     = 40
	maxAfterAnswerUs = 2000 // from a whole answer to the end of its upstream
)

// kills are the endings of killed upstreams whose connections are closed at once.
func kills(w *harness) ending { return ending{listenerFirst: w.random.IntN(2) == 0} }

// slowKills are those of killed upstreams whose connections are closed one after the other.
func slowKills(w *harness) ending {
	e := kills(w)
	e.within = time.Duration(1+w.random.IntN(maxClosingMs)) * time.Millisecond
	return e
}

// stops are the endings of upstreams that stop to listen, then close their connections themselves and finish no
// answer. They answer on those that are open still.
func stops(w *harness) ending {
	e := slowKills(w)
	e.listenerFirst = true
	e.livesOn = time.Duration(1+w.random.IntN(maxLivesOnMs)) * time.Millisecond
	return e
}

// lateStops are those of upstreams that stop to listen after that.
func lateStops(w *harness) ending {
	e := stops(w)
	e.listenerFirst = false
	return e
}

// end ends an upstream; atFree, if set, is called once its address is free.
func (u *upstream) end(e ending, atFree func()) {
	u.stopped.Store(true)
	u.endedAt.CompareAndSwap(0, time.Now().UnixNano())
	if e.livesOn == 0 {
		u.conns.kill()
	}
	if e.listenerFirst {
		u.conns.free(atFree)
	}
	u.conns.closeAll(e.within)
	if e.livesOn > 0 {
		time.Sleep(e.livesOn)
		u.conns.kill()
	}
	u.conns.closeAll(0) // those accepted meanwhile
	if !e.listenerFirst {
		u.conns.free(atFree)
	}
	_ = u.server.Close()
}

// free closes the listener.
func (p *processConns) free(atFree func()) {
	_ = p.Close()
	if atFree != nil {
		atFree()
	}
}

// endUpstream returns a fault that ends an upstream. Its next life listens at its address at once or when the fault
// is undone, and is then published; at times that is another upstream.
func endUpstream(choose func(w *harness) ending) func(w *harness) func() {
	return func(w *harness) func() {
		u := pick(w, w.upstreams)
		if u.stopped.Load() {
			return nil
		}
		e, id := choose(w), u.id
		if w.random.IntN(3) == 0 {
			w.upstreamCount++
			id = fmt.Sprintf("u-%d", w.upstreamCount)
		}
		var next *upstream
		start := func() { next = w.startNextLife(u, id) }
		w.logFault("  %s: %+v, next %s", u.id, e, id)
		if w.random.IntN(2) == 0 {
			u.end(e, start)
		} else {
			u.end(e, nil)
		}
		return func() {
			if next == nil {
				start()
			}
			w.publishNextLife(u, next)
		}
	}
}

// endAfterAnswer is a fault that ends an upstream just after its next answer without a length.
func endAfterAnswer(w *harness) func() {
	u := pick(w, w.upstreams)
	if u.stopped.Load() {
		return nil
	}
	u.endsAfterAnswer.Store(true)
	return func() {
		if u.endsAfterAnswer.Swap(false) {
			return // it made none
		}
		u.end(ending{}, nil) // unless it has ended
		w.publishNextLife(u, w.startNextLife(u, u.id))
	}
}

// finished records that the upstream has written an answer without a length whole.
func (u *upstream) finished(id string) {
	u.harness.unframed.finished(u, id)
	if u.endsAfterAnswer.Swap(false) {
		time.AfterFunc(time.Duration(rand.IntN(maxAfterAnswerUs))*time.Microsecond, func() { u.end(ending{}, nil) })
	}
}

// startNextLife starts an upstream at the address of one that has ended, which it replaces. It returns nil if that
// has been replaced already.
func (w *harness) startNextLife(previous *upstream, id string) *upstream {
	i := slices.Index(w.upstreams, previous)
	if i < 0 {
		return nil
	}
	l, err := net.Listen("tcp", previous.proxy.target)
	if err != nil {
		w.checker.reportViolation("start the next life of %s: %v", previous.id, err)
		return nil
	}
	u := &upstream{id: id, service: service, software: pick(w, softwareVersions), domain: previous.domain, startedAt: max(time.Now().UnixMilli(), previous.startedAt+1), harness: w, proxy: previous.proxy,
		advertisedLimit: w.newAdvertisedLimit(), runs: make(map[string]int), isNextLife: true}
	u.serve(l)
	w.registerUpstream(u)
	w.upstreams[i] = u
	return u
}

// publishNextLife publishes an upstream, if there is one, in place of the one before.
func (w *harness) publishNextLife(previous, next *upstream) {
	if next == nil {
		return
	}
	if next.id != previous.id {
		w.store.Put(platform.DeletedItem(previous.id))
	}
	w.publishUpstream(next, false)
}
