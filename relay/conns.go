package relay

// This file defines the connections to upstreams. The invariants: a connection
// carries one request at a time; it is kept only after a whole answer with nothing
// behind it; and a kept one is looked at before it is used again.

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// defaultConnections is used where a service states no bound.
	defaultConnections = 64
	// idleKeep is how long a connection is kept where the upstream gives no time.
	idleKeep = 3 * time.Second
	// idleMargin is kept of the time that an upstream gives, so that its close and
	// the next request do not cross.
	idleMargin = 500 * time.Millisecond
	// readBuffer is the size of a connection's buffer, in bytes.
	readBuffer = 4 << 10
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	life     balance.Incarnation // of its upstream, that was listed when it was opened
	opened   time.Time
	keepTill time.Time // it may be used again up to then
}

// conns keeps connections by upstream.
type conns struct {
	limit  func(service string) int                  // connections to an upstream of the service, from this box
	cameUp func(upstream string, took time.Duration) // told of each connection that came up; may be nil

	mu     sync.Mutex
	idle   map[string][]*conn // by upstream, the newest last
	open   map[string]int     // connections by upstream, idle ones included
	over   map[string]int64   // by upstream: lives that began up to then are over
	closed bool               // none is kept any more
}

func newConns(limit func(string) int) *conns {
	return &conns{limit: limit, idle: make(map[string][]*conn), open: make(map[string]int), over: make(map[string]int64)}
}

// errConnections says that this box's share of an upstream's connections is used up.
var errConnections = &Error{Op: "connect", Kind: KindExhausted}

// get returns a connection that is known to be open, so that a failure after this
// has to do with the request.
func (p *conns) get(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
	id := u.ID
	for c := p.takeIdle(id); c != nil; c = p.takeIdle(id) {
		if c.life == u.Incarnation() && time.Now().Before(c.keepTill) && c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
	return p.connect(ctx, u, service)
}

// putBack puts a connection aside on which nothing was sent.
func (p *conns) putBack(c *conn) {
	if c.keepTill.IsZero() {
		p.keep(c, idleKeep)
		return
	}
	p.keep(c, time.Until(c.keepTill)+idleMargin)
}

// fresh opens a connection, and closes one that rests in its place.
func (p *conns) fresh(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
	if c := p.takeIdle(u.ID); c != nil {
		p.drop(c)
	}
	return p.connect(ctx, u, service)
}

// connect opens a connection.
func (p *conns) connect(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
	if !p.reserve(u.ID, p.limit(service)) {
		return nil, errConnections
	}
	began := time.Now()
	c, err := dial(ctx, u.Address)
	if err != nil {
		p.release(u.ID)
		return nil, err
	}
	if p.cameUp != nil {
		p.cameUp(u.ID, time.Since(began))
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), life: u.Incarnation(), opened: time.Now()}, nil
}

// quiet reports whether the upstream has neither closed the connection nor sent
// anything nobody asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	known := true
	err = raw.Control(func(fd uintptr) { _, known = peekClosed(int(fd)) })
	return err == nil && !known
}

// takeIdle takes the newest idle connection of an upstream; nil where there is none.
func (p *conns) takeIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

// reserve counts a new connection. If this box's share is used up, its own idle
// ones were taken before, so there is nothing to close for it.
func (p *conns) reserve(id string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id] >= limit {
		return false
	}
	p.open[id]++
	return true
}

// release undoes reserve.
func (p *conns) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id]--; p.open[id] <= 0 {
		delete(p.open, id)
	}
}

// drop closes a connection for good.
func (p *conns) drop(c *conn) {
	_ = c.Close()
	p.release(c.life.ID)
}

// keep puts a connection aside whose answer was read to its end; keepFor is the
// time the upstream gave, or 0.
func (p *conns) keep(c *conn, keepFor time.Duration) {
	if keepFor == 0 {
		keepFor = idleKeep
	}
	c.keepTill = time.Now().Add(keepFor - idleMargin)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	if !p.closed && c.reader.Buffered() == 0 && !p.isOver(c.life) {
		p.idle[c.life.ID] = append(p.idle[c.life.ID], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.drop(c)
}

// isOver reports whether a life is known to be over.
func (p *conns) isOver(l balance.Incarnation) bool {
	born, ended := p.over[l.ID]
	return ended && l.StartedAt <= born
}

// end closes the idle connections of a life that is over; those that are in use are closed
// when their answers have ended.
func (p *conns) end(l balance.Incarnation) {
	if l.StartedAt > 0 {
		p.mu.Lock()
		p.over[l.ID] = max(l.StartedAt, p.over[l.ID])
		p.mu.Unlock()
	}
	p.forget(l.ID)
}

// forget closes the idle connections of an upstream.
func (p *conns) forget(id string) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range list {
		p.drop(c)
	}
}

// close closes all idle connections and keeps none from now on.
func (p *conns) close() {
	p.mu.Lock()
	p.closed = true
	ids := make([]string, 0, len(p.idle))
	for id := range p.idle {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.forget(id)
	}
}
