package caller

// This file defines the connections of callers, and the shutdown of their server. The invariants: the shutdown closes
// no connection from which part of a request was read before that is answered; and closing a connection does not
// discard what was written to it because its caller has sent more.

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/doormast/doormast/internal/framing"
)

const (
	// lingerTimeout and maxLingerBytes limit what is still read from a connection after its last answer.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// listener accepts connections of callers.
type listener struct {
	net.Listener
	connections *connections
}

var _ net.Listener = listener{}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.add(c), nil
}

// connections holds the open connections.
type connections struct {
	open   sync.WaitGroup
	mu     sync.Mutex
	unused map[*conn]bool // those from which nothing was read yet
}

func (s *connections) add(c net.Conn) *conn {
	s.open.Add(1)
	out := &conn{Conn: c, connections: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unused[out] = true
	return out
}

// takeUnused reports whether nothing was read from a connection before.
func (s *connections) takeUnused(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isUnused := s.unused[c]
	delete(s.unused, c)
	return isUnused
}

// closeUnused closes the connections from which nothing was read. fasthttp considers them idle only 5 s after they
// were opened.
func (s *connections) closeUnused() {
	s.mu.Lock()
	unused := s.unused
	s.unused = make(map[*conn]bool)
	s.mu.Unlock()
	for c := range unused {
		_ = c.Conn.Close()
	}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	connections *connections
	isUsed      bool // something was read; owned by the goroutine that reads
	trailers    framing.TrailerCheck
	answered    atomic.Bool // nothing was read since the last write
	closing     sync.Once
}

var (
	_ net.Conn     = (*conn)(nil)
	_ syscall.Conn = (*conn)(nil)
)

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Read implements net.Conn. What was read from a connection that the shutdown closes is discarded.
func (c *conn) Read(p []byte) (int, error) {
	c.answered.Store(false)
	n, err := c.Conn.Read(p)
	if n > 0 && !c.isUsed {
		if !c.connections.takeUnused(c) {
			return 0, net.ErrClosed
		}
		c.isUsed = true
	}
	_, _ = c.trailers.Write(p[:n])
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closing.Do(func() {
		defer c.connections.open.Done()
		c.connections.takeUnused(c)
		if c.answered.Load() {
			c.linger()
		}
		err = c.Conn.Close()
	})
	return err
}

// linger reads what the caller has sent after its answered request: closing a connection with unread bytes resets it,
// and the caller may lose the end of the answer.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
}

// shutdown is the end of a server, which goes on until it is complete or given up.
type shutdown struct {
	begin  sync.Once
	giveUp context.CancelFunc
	ended  chan struct{}
}

// Leave makes each answer from now on end its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown stops accepting connections, closes those without a request and waits until all requests are answered, or
// until ctx ends. The server then goes on answering what it has read; a further call waits for it again.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.shutdown.begin.Do(func() {
		all, giveUp := context.WithCancel(context.Background())
		s.shutdown.giveUp = giveUp
		go s.endConnections(all)
	})
	select {
	case <-s.shutdown.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endConnections waits until all connections have ended, or until ctx does.
func (s *Server) endConnections(ctx context.Context) {
	_ = s.listener.Close()
	<-s.served // nothing is accepted any more
	s.connections.closeUnused()
	if s.server.ShutdownWithContext(ctx) != nil && ctx.Err() != nil {
		return
	}
	s.connections.open.Wait()
	close(s.shutdown.ended)
}

// Close shuts the server down and waits up to wait until the requests in progress are answered.
func (s *Server) Close(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err := s.Shutdown(ctx)
	s.shutdown.giveUp()
	return err
}
