package relay

// This file defines the pool of connections to upstreams. The invariants: a connection carries
// one request at a time, and one without an ID in all; it is returned to the pool only after a
// complete response with no further bytes buffered; and an idle connection is checked before it is
// reused. Connections through other boxes count like direct ones.

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	// defaultConnections is the limit per upstream for a service that configures none.
	defaultConnections = 64
	// defaultIdleTimeout is how long a connection stays idle where the upstream states no
	// keep-alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the keep-alive timeout that an upstream states, so
	// that no request is sent on a connection that the upstream is closing.
	idleTimeoutMargin = 500 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	incarnation balance.Incarnation // of the upstream, as listed when the connection was opened
	address     string              // of the upstream
	opened      time.Time
	sentAt      atomic.Int64  // when the request that has no response yet was sent, Unix ns; 0: there is none
	unacked     unackedCheck  // of that request; guarded by the relay's mu
	sendTimeout time.Duration // how long what is sent may stay unacknowledged
	idleUntil   time.Time     // it may be reused until then
	proven      bool          // it leads to the incarnation
	finishing   bool          // the incarnation was leaving, and another one is listed; guarded by the relay's mu
	anonymous   bool          // it has carried a request without an ID
}

// connPool holds the idle connections to upstreams and counts all open ones.
type connPool struct {
	maxConns   func(service string) int                  // returns this box's limit for each upstream of the service
	onConnect  func(upstream string, took time.Duration) // called for each direct connection that was opened; may be nil
	dial       dialFunc
	usesTunnel func(balance.Upstream) bool // returns whether connections to the upstream lead through another box

	mu         sync.Mutex
	idle       map[idleKey][]*conn // the most recently used last
	open       map[string]int      // open connections by upstream ID, idle ones included
	endedStart map[string]int64    // by upstream ID: incarnations started at or before this time (Unix ms) have ended
	closed     bool                // no connection is kept any more
}

// dialFunc opens a connection to an upstream.
type dialFunc = func(context.Context, balance.Upstream) (net.Conn, error)

// idleKey identifies idle connections that may replace each other.
type idleKey struct {
	id        string // of the upstream
	tunnelled bool   // they lead through another box
}

func newConnPool(limit func(string) int) *connPool {
	return &connPool{
		maxConns: limit, idle: make(map[idleKey][]*conn), open: make(map[string]int), endedStart: make(map[string]int64),
		dial:       func(ctx context.Context, u balance.Upstream) (net.Conn, error) { return dial(ctx, u.Address) },
		usesTunnel: func(balance.Upstream) bool { return false },
	}
}

// tunnel returns the connection to the box that the connection leads through; nil if it is direct.
func (c *conn) tunnel() *tunnelConn {
	t, _ := c.Conn.(*tunnelConn)
	return t
}

// key returns the key under which the connection is kept while it is idle.
func (c *conn) key() idleKey { return idleKey{c.incarnation.ID, c.tunnel() != nil} }

// errConnLimit reports that this box has reached its limit of connections to the upstream.
var errConnLimit = &Error{Op: "connect", Kind: KindExhausted}

// get returns a connection that is known to be open, so that a later failure is due to the
// request or the upstream. It reuses an idle connection if one is usable.
func (p *connPool) get(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
	tunnelled := p.usesTunnel(u)
	if !tunnelled {
		p.closeIdleTunnelled(u.ID) // the upstream is reached directly again
	}
	if c := p.reuse(u, tunnelled); c != nil {
		return c, nil
	}
	return p.connect(ctx, u, service)
}

// openFunc returns a connection to an upstream of a service.
type openFunc = func(ctx context.Context, u balance.Upstream, service string) (*conn, error)

// forAnonymous returns a connection for a request without an ID, such as a call of the box itself. One
// that has carried such a request before is closed: a second response to that could not be told apart.
func (p *connPool) forAnonymous(ctx context.Context, u balance.Upstream, service string, open openFunc) (*conn, error) {
	for {
		c, err := open(ctx, u, service)
		if err != nil {
			return nil, err
		}
		if !c.anonymous {
			c.anonymous = true
			return c, nil
		}
		p.discard(c)
	}
}

// getTunnelled is get for a connection through another box, which dial opens, whatever is known of
// direct ones.
func (p *connPool) getTunnelled(ctx context.Context, u balance.Upstream, service string, dial dialFunc) (*conn, error) {
	if c := p.reuse(u, true); c != nil {
		return c, nil
	}
	return p.connectBy(ctx, u, service, dial)
}

// reuse returns an idle connection that is usable; nil if there is none.
func (p *connPool) reuse(u balance.Upstream, tunnelled bool) *conn {
	key := idleKey{u.ID, tunnelled}
	for c := p.popIdle(key); c != nil; c = p.popIdle(key) {
		if c.incarnation == u.Incarnation() && time.Now().Before(c.idleUntil) && c.isUsable() {
			return c
		}
		p.discard(c)
	}
	return nil
}

// reuseOlder returns a usable idle connection that was opened before a time and has carried no request without an ID;
// nil if there is none.
func (p *connPool) reuseOlder(u balance.Upstream, before time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range []idleKey{{u.ID, false}, {u.ID, true}} {
		i := slices.IndexFunc(p.idle[key], func(c *conn) bool {
			return c.incarnation == u.Incarnation() && !c.anonymous && c.opened.Before(before) && time.Now().Before(c.idleUntil) && c.isUsable()
		})
		if i >= 0 {
			c := p.idle[key][i]
			p.idle[key] = slices.Delete(p.idle[key], i, i+1)
			return c
		}
	}
	return nil
}

// putUnused returns a connection to the pool on which nothing was sent.
func (p *connPool) putUnused(c *conn) {
	if c.idleUntil.IsZero() {
		p.putIdle(c, defaultIdleTimeout)
		return
	}
	p.putIdle(c, time.Until(c.idleUntil)+idleTimeoutMargin)
}

// openNew closes an idle connection, if any, and opens a new one in its place.
func (p *connPool) openNew(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
	if c := p.popIdle(idleKey{u.ID, p.usesTunnel(u)}); c != nil {
		p.discard(c)
	}
	return p.connect(ctx, u, service)
}

// connectInPlace opens a connection, if need be in place of an idle one.
func (p *connPool) connectInPlace(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
	c, err := p.connect(ctx, u, service)
	if errors.Is(err, errConnLimit) {
		return p.openNew(ctx, u, service)
	}
	return c, err
}

// connect opens a connection. It returns errConnLimit if this box already has as many
// connections to the upstream as it may open.
func (p *connPool) connect(ctx context.Context, u balance.Upstream, service string) (*conn, error) {
	return p.connectBy(ctx, u, service, p.dial)
}

// connectBy is connect with the function that opens the connection.
func (p *connPool) connectBy(ctx context.Context, u balance.Upstream, service string, dial dialFunc) (*conn, error) {
	if !p.reserve(u.ID, p.maxConns(service)) {
		return nil, errConnLimit
	}
	start := time.Now()
	opened, err := dial(ctx, u)
	if err != nil {
		p.release(u.ID)
		return nil, err
	}
	c := &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferSize), incarnation: u.Incarnation(), address: u.Address, opened: time.Now(), sendTimeout: userTimeout}
	if p.onConnect != nil && c.tunnel() == nil {
		p.onConnect(u.ID, time.Since(start))
	}
	return c, nil
}

// isUsable reports whether the upstream has neither closed the connection nor sent bytes
// without a request.
func (c *conn) isUsable() bool {
	if t := c.tunnel(); c.reader.Buffered() > 0 || t != nil && !t.isIdle() {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	readable := true
	err = raw.Control(func(fd uintptr) { _, readable = peekClosed(int(fd)) })
	return err == nil && !readable
}

// hasProven reports whether an idle connection is open that is proven to lead to an incarnation: by its
// report, or since the connection is older than provenAfter.
func (p *connPool) hasProven(inc balance.Incarnation, provenAfter time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isProven := func(c *conn) bool {
		return c.incarnation == inc && (c.proven || time.Since(c.opened) > provenAfter) && c.isUsable()
	}
	return slices.ContainsFunc(p.idle[idleKey{inc.ID, false}], isProven) || slices.ContainsFunc(p.idle[idleKey{inc.ID, true}], isProven)
}

// popIdle removes and returns the most recently used idle connection; nil if there is none.
func (p *connPool) popIdle(key idleKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[key] = conns[:len(conns)-1]
	return c
}

// reserve counts a new connection and reports whether it is within this box's limit. The caller
// has taken the idle connections before, so there is none to close instead.
func (p *connPool) reserve(id string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id] >= limit {
		return false
	}
	p.open[id]++
	return true
}

// release undoes reserve.
func (p *connPool) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id]--; p.open[id] <= 0 {
		delete(p.open, id)
	}
}

// discard closes a connection and stops counting it.
func (p *connPool) discard(c *conn) {
	_ = c.Close()
	p.release(c.incarnation.ID)
}

// putIdle returns a connection to the pool after its response was read to the end. keepFor is the
// keep-alive timeout that the upstream stated, or 0 for the default.
func (p *connPool) putIdle(c *conn, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.idleUntil = time.Now().Add(idleTimeout - idleTimeoutMargin)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	if !p.closed && c.reader.Buffered() == 0 && !p.hasEnded(c.incarnation) && !c.leadsThroughStopping() {
		p.idle[c.key()] = append(p.idle[c.key()], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// leadsThroughStopping reports whether the connection leads through a box that is about to stop, as far as
// was read.
func (c *conn) leadsThroughStopping() bool {
	t := c.tunnel()
	return t != nil && t.stopping.Load()
}

// hasEnded reports whether an incarnation of an upstream is known to have ended.
func (p *connPool) hasEnded(inc balance.Incarnation) bool {
	start, ended := p.endedStart[inc.ID]
	return ended && inc.StartedAt <= start
}

// endIncarnation closes the idle connections to an incarnation that has ended; those in use are
// closed when their responses have ended.
func (p *connPool) endIncarnation(inc balance.Incarnation) {
	if inc.StartedAt > 0 {
		p.mu.Lock()
		p.endedStart[inc.ID] = max(inc.StartedAt, p.endedStart[inc.ID])
		p.mu.Unlock()
	}
	p.closeIdle(inc.ID)
}

// closeIdle closes the idle connections to an upstream.
func (p *connPool) closeIdle(id string) {
	p.closeIdleDirect(id)
	p.closeIdleTunnelled(id)
}

// closeIdleDirect closes those of them that do not lead through another box.
func (p *connPool) closeIdleDirect(id string) { p.closeIdleOf(idleKey{id, false}) }

// closeIdleTunnelled closes those of them that do.
func (p *connPool) closeIdleTunnelled(id string) { p.closeIdleOf(idleKey{id, true}) }

// closeIdleThrough closes the idle connections that lead through a box.
func (p *connPool) closeIdleThrough(via string) {
	p.closeTunnelledIf(func(c *conn) bool { return c.tunnel().via == via })
}

// closeUnusableTunnels closes the idle connections through other boxes that can carry no further request. A
// box that is about to stop waits for them.
func (p *connPool) closeUnusableTunnels() {
	p.closeTunnelledIf(func(c *conn) bool { return !c.isUsable() })
}

// closeTunnelledIf closes the idle connections through other boxes that fit.
func (p *connPool) closeTunnelledIf(fits func(*conn) bool) {
	p.mu.Lock()
	var conns []*conn
	for key, list := range p.idle {
		if !key.tunnelled {
			continue
		}
		p.idle[key] = slices.DeleteFunc(list, func(c *conn) bool {
			isClosed := fits(c)
			if isClosed {
				conns = append(conns, c)
			}
			return isClosed
		})
	}
	p.mu.Unlock()
	for _, c := range conns {
		p.discard(c)
	}
}

func (p *connPool) closeIdleOf(key idleKey) {
	p.mu.Lock()
	conns := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range conns {
		p.discard(c)
	}
}

// close closes all idle connections; later ones are closed instead of being kept.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	keys := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, key := range keys {
		p.closeIdleOf(key)
	}
}
