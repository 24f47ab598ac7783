package relay

// This file defines how the box connects to upstreams for other boxes. The invariants: it connects
// only to upstreams that it lists, itself, and never through a third box; what it forwards takes a
// bounded number of connections and a bounded part of its memory, which is free again before a
// tunnel no longer counts as open; and it forwards nothing that it held while its process was
// stopped, which its sender may have given up.

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/wire"
)

const (
	// tunnelBufferSize is the size of each kernel buffer of a tunnel, in bytes.
	tunnelBufferSize = 16 << 10
	// tunnelBytes is charged for a tunnel: the contents of the kernel buffers toward the box that
	// asked, by the kernel's own accounting, and the buffers of both directions.
	tunnelBytes = 2*2*tunnelBufferSize + 2*maxFrameData
	// tunnelDialWait bounds a connection attempt for another box, which is told the result before it
	// gives up.
	tunnelDialWait = 200 * time.Millisecond
	// maxElsewhere is how many boxes are named to one of another domain.
	maxElsewhere = 4
	// tunnelTick is how often the server notes that the process runs, and maxTunnelStall the
	// longest gap between two notes before it counts as stopped.
	tunnelTick     = 100 * time.Millisecond
	maxTunnelStall = 500 * time.Millisecond
)

// Counters of tunnels for other boxes.
const (
	tunnelsServed  = "tunnels_served"
	tunnelsRefused = "tunnels_refused"
)

// tunnelServer connects to upstreams for other boxes.
type tunnelServer struct {
	relay    *Relay
	lastTick atomic.Int64 // time.Duration since the start
	stopping atomic.Bool

	mu      sync.Mutex
	serving int // connections of other boxes, with those that are not tunnels yet
	open    map[*servedTunnel]bool
	done    sync.WaitGroup
}

// servedTunnel is a tunnel for another box.
type servedTunnel struct {
	server   *tunnelServer
	box      net.Conn
	upstream net.Conn
	request  *wire.TunnelRequest
	lease    *account.Lease
	writing  sync.Mutex   // guards writes to box
	toBox    atomic.Int64 // bytes
	fromBox  atomic.Int64 // bytes
}

func newTunnelServer(r *Relay) *tunnelServer {
	s := &tunnelServer{relay: r, open: make(map[*servedTunnel]bool)}
	s.lastTick.Store(int64(r.now()))
	return s
}

// serve accepts other boxes until the listener is closed.
func (s *tunnelServer) serve(ctx context.Context, l net.Listener) {
	s.done.Go(func() { s.watchStalls(ctx) })
	l = &acceptor{Listener: l, relay: s.relay, serves: "connections of other boxes to upstreams"}
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		if !s.admit() {
			s.refuse(c, new(wire.TunnelRequest), wire.TunnelResponse_FULL)
			continue
		}
		s.done.Go(func() {
			defer s.leave()
			s.handle(ctx, c)
		})
	}
	s.done.Wait()
}

// admit counts a connection and reports whether it is within the bound.
func (s *tunnelServer) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serving >= s.relay.cfg.MaxTunnels {
		return false
	}
	s.serving++
	return true
}

func (s *tunnelServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving--
}

// handle serves one connection of another box.
func (s *tunnelServer) handle(ctx context.Context, c net.Conn) {
	req := new(wire.TunnelRequest)
	_ = c.SetDeadline(time.Now().Add(balance.DialWait))
	if err := readMessage(c, req); err != nil {
		_ = c.Close()
		return
	}
	lease := s.relay.account.Lease()
	defer lease.Close()
	up, result := s.connect(ctx, c, req, lease)
	if result != wire.TunnelResponse_OPENED {
		s.refuse(c, req, result)
		return
	}
	setSmallBuffers(c)
	if err := writeMessage(c, s.response(req, result)); err != nil {
		_, _ = c.Close(), up.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	s.forward(ctx, &servedTunnel{server: s, box: c, upstream: up, request: req, lease: lease})
}

// connect connects to the upstream that a box asks for. It gives up when the box does.
func (s *tunnelServer) connect(ctx context.Context, c net.Conn, req *wire.TunnelRequest, lease *account.Lease) (net.Conn, wire.TunnelResponse_Result) {
	r := s.relay
	r.mu.Lock()
	u, isListed := r.listedUpstream(req.Upstream)
	reached := isListed && !r.fleet.IsUnreachable(u.Incarnation())
	r.mu.Unlock()
	_, isDomain := r.cfg.Regions[req.Domain]
	switch {
	case s.stopping.Load():
		return nil, wire.TunnelResponse_STOPPING
	case !isListed || u.StartedAt != req.Born || len(r.cfg.Regions) > 0 && !isDomain:
		return nil, wire.TunnelResponse_UNKNOWN
	case !reached:
		return nil, wire.TunnelResponse_UNREACHED
	case !lease.Grow(tunnelBytes, minRequestShare):
		return nil, wire.TunnelResponse_FULL
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelDialWait)
	defer cancel()
	watch := watchDisconnect(c, cancel)
	began := r.now()
	up, err := dial(ctx, u.Address)
	watch.stop()
	if err == nil {
		err = limitSend(up, retryTimeout) // the request that is sent may be a retry
	}
	switch {
	case err == nil:
		setSmallBuffers(up)
		return up, wire.TunnelResponse_OPENED
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, wire.TunnelResponse_REFUSED
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.noteUnreached(u, began)
	}
	return nil, wire.TunnelResponse_UNREACHED
}

// lacksPaths reports whether this box lacks paths to the service of an upstream.
func (r *Relay) lacksPaths(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.fleet.Get(id)
	return u != nil && r.fleet.LacksPaths(u.Service)
}

// noteUnreached records that an upstream does not accept this box's connection either.
func (s *tunnelServer) noteUnreached(u balance.Upstream, began time.Duration) {
	r := s.relay
	r.mu.Lock()
	r.fleet.NoteDial(r.now(), began, u.Incarnation(), balance.Unreachable)
	lost := r.fleet.TakeNewlyUnreachable()
	r.mu.Unlock()
	r.noteUnreachable(lost, "")
	r.wakeProbeLoop()
}

// response returns the answer to a request. A box of another domain is named boxes of this one,
// since it knows only their leader.
func (s *tunnelServer) response(req *wire.TunnelRequest, result wire.TunnelResponse_Result) *wire.TunnelResponse {
	resp := &wire.TunnelResponse{Result: result}
	if result == wire.TunnelResponse_UNREACHED {
		resp.InDoubt = s.relay.lacksPaths(req.Upstream)
	}
	if req.Domain != "" && req.Domain != s.relay.cfg.Domain {
		resp.Elsewhere = s.relay.tunnels.sample(req.Box)
	}
	return resp
}

// refuse answers a box that gets no tunnel.
func (s *tunnelServer) refuse(c net.Conn, req *wire.TunnelRequest, result wire.TunnelResponse_Result) {
	_ = c.SetDeadline(time.Now().Add(balance.DialWait))
	_ = writeMessage(c, s.response(req, result))
	_ = c.Close()
	s.relay.stats.count(tunnelsRefused)
	s.relay.cfg.Log.Event("tunnel", "refused", Fields{"box": req.Box, "domain": req.Domain, "upstream": req.Upstream, "born": req.Born, "reason": result.String()})
}

// forward copies in both directions until one side ends.
func (s *tunnelServer) forward(ctx context.Context, t *servedTunnel) {
	began := time.Now()
	s.add(t)
	stop := context.AfterFunc(ctx, t.close)
	var toUpstream sync.WaitGroup
	toUpstream.Go(t.copyToUpstream)
	end := t.copyToBox()
	t.close()
	toUpstream.Wait()
	stop()
	t.lease.Close()
	s.remove(t)
	s.relay.stats.count(tunnelsServed)
	s.relay.cfg.Log.Event("tunnel", "served", Fields{"box": t.request.Box, "domain": t.request.Domain, "upstream": t.request.Upstream, "born": t.request.Born,
		"ms": time.Since(began).Milliseconds(), "bytes_from_box": t.fromBox.Load(), "bytes_to_box": t.toBox.Load(), "end": end.Error()})
}

// add counts a tunnel as open. One that was being opened when the stop was announced is told now.
func (s *tunnelServer) add(t *servedTunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[t] = true
	if s.stopping.Load() {
		go t.announceStop()
	}
}

func (s *tunnelServer) remove(t *servedTunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
}

// copyToUpstream copies what the other box sends. When that ends, so does the tunnel.
func (t *servedTunnel) copyToUpstream() {
	defer t.close()
	b := make([]byte, maxFrameData)
	for {
		n, err := t.box.Read(b)
		if t.server.hasStalled() {
			return
		}
		if n > 0 {
			t.fromBox.Add(int64(n))
			if _, err := t.upstream.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// errEndInStall reports that an upstream closed its connection while this process was stopped: it may
// have given up a response that nobody read, so that its end is not stated.
var errEndInStall = &Error{Op: "read for other box", Kind: KindTruncated, Err: io.ErrUnexpectedEOF}

// copyToBox copies what the upstream sends, in frames, and returns why that ended.
func (t *servedTunnel) copyToBox() error {
	b := make([]byte, frameHeader+maxFrameData)
	for {
		n, err := t.upstream.Read(b[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint16(b, uint16(n))
			if werr := t.write(b[:frameHeader+n]); werr != nil {
				return werr
			}
			t.toBox.Add(int64(n))
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && t.server.hasStalled():
			return errEndInStall
		case errors.Is(err, io.EOF) && receiveStateOf(t.upstream).hasEnd:
			_ = t.writeFrame(frameEnd)
			return err
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			_ = t.writeFrame(frameReset)
			return err
		}
	}
}

// write writes to the box that asked.
func (t *servedTunnel) write(b []byte) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	_, err := t.box.Write(b)
	return err
}

func (t *servedTunnel) writeFrame(kind uint16) error {
	return t.write(binary.BigEndian.AppendUint16(nil, kind))
}

func (t *servedTunnel) close() { _, _ = t.box.Close(), closeUnacknowledged(t.upstream) }

// watchStalls closes all tunnels when the process was stopped for a while, until ctx ends.
func (s *tunnelServer) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, tunnelTick)
		if s.hasStalled() {
			s.closeAll()
		}
		s.lastTick.Store(int64(s.relay.now()))
	}
}

// hasStalled reports whether the process was stopped since the last note that it runs.
func (s *tunnelServer) hasStalled() bool {
	return s.relay.now()-time.Duration(s.lastTick.Load()) > maxTunnelStall
}

func (s *tunnelServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		t.close()
	}
}

// announceStop refuses new tunnels, and tells the boxes at the others not to reuse them.
func (s *tunnelServer) announceStop() {
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		go t.announceStop()
	}
}

func (t *servedTunnel) announceStop() { _ = t.writeFrame(frameStopping) }

// drain waits, until ctx ends, for the boxes at the tunnels to close them. Each closes those that it does not
// use: only it knows which.
func (s *tunnelServer) drain(ctx context.Context) {
	for ctx.Err() == nil && s.openCount() > 0 {
		sleep(ctx, tunnelTick)
	}
}

func (s *tunnelServer) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// setSmallBuffers bounds what the kernel holds for a tunnel.
func setSmallBuffers(c net.Conn) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		setBuffers(raw, tunnelBufferSize, tunnelBufferSize)
	}
}
