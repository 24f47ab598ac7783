package soak

// This file defines a TCP proxy on a loopback address that injects network faults: it delays or resets connections,
// blocks one or both directions, refuses new connections, stands for a host that does not respond at all, or permanently
// mutes existing connections while new ones work.
//
// Invariant: bytes are forwarded in order or not at all, and a connection is closed in order only if its other side was.

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// proxyMode is the fault that a proxy applies to its connections.
type proxyMode int32

const (
	modeOpen        proxyMode = iota
	modeDelayed               // each read is forwarded after proxyDelay
	modeSilent                // both directions are blocked
	modeOneWay                // responses are blocked
	modeRefusing              // new connections are closed immediately
	modeUnreachable           // new connections time out, and both directions are blocked
)

var modeNames = [...]string{"open", "delayed", "silent", "one way", "refusing", "unreachable"}

// proxy forwards connections to one target address.
type proxy struct {
	listener    net.Listener
	target      string
	mode        atomic.Int32
	accepted    atomic.Int64  // connections so far; they are numbered from 1
	pathDelay   *atomic.Int64 // additional delay of each read in the direction of the target, a time.Duration
	muted       atomic.Int64  // connections up to this number forward nothing, not even their close
	disruptions atomic.Int64  // number of mode changes, mutes and resets

	mu      sync.Mutex
	conns   map[net.Conn]bool
	fillers []net.Conn // connections that fill the listener's queue in modeUnreachable
}

// blocks reports whether a direction is blocked.
func (m proxyMode) blocks(responses bool) bool {
	return m == modeSilent || m == modeUnreachable || m == modeOneWay && responses
}

// proxyDelay is the delay of each read in modeDelayed.
const proxyDelay = 30 * time.Millisecond

// proxyPollInterval is how often a blocked direction checks whether it may forward again.
const proxyPollInterval = 10 * time.Millisecond

// newProxy starts a proxy; pathDelay delays what it forwards to its target.
func (w *harness) newProxy(last int, target string, pathDelay *atomic.Int64) (*proxy, error) {
	l, err := w.listen(last)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, pathDelay: pathDelay, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		for proxyMode(p.mode.Load()) == modeUnreachable {
			time.Sleep(proxyPollInterval)
		}
		if proxyMode(p.mode.Load()) == modeRefusing {
			_ = c.Close()
			continue
		}
		go p.forward(c)
	}
}

// forward copies bytes in both directions until one side closes; a muted connection waits for both sides.
func (p *proxy) forward(a net.Conn) {
	b, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(a)
		return
	}
	p.mu.Lock()
	p.conns[a], p.conns[b] = true, true
	p.mu.Unlock()
	done := make(chan bool, 2) // whether a direction ended in order
	connNumber := p.accepted.Add(1)
	go p.copyBytes(a, b, connNumber, false, done)
	go p.copyBytes(b, a, connNumber, true, done)
	isInOrder := <-done
	if p.isMuted(connNumber) {
		isInOrder = <-done
		done <- isInOrder
	}
	if !isInOrder {
		reset(a)
		reset(b)
	}
	_, _ = a.Close(), b.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, a)
	delete(p.conns, b)
	p.mu.Unlock()
}

func (p *proxy) isMuted(connNumber int64) bool { return connNumber <= p.muted.Load() }

// mute permanently stops forwarding on the connections that exist now.
func (p *proxy) mute() {
	p.disruptions.Add(1)
	p.muted.Store(p.accepted.Load())
}

// set changes the mode of the proxy.
func (p *proxy) set(m proxyMode) {
	p.disruptions.Add(1)
	p.mode.Store(int32(m))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	if m == modeUnreachable {
		p.fillQueue()
	} else {
		p.setQueueLength(syscall.SOMAXCONN)
	}
}

// maxFillers bounds the connections that fill a listener's queue: one that is accepted, one that is
// queued, and those of boxes that come between.
const maxFillers = 8

// fillQueue makes the kernel drop new connections by filling the shortest possible queue.
func (p *proxy) fillQueue() {
	p.setQueueLength(0)
	for range maxFillers {
		c, err := net.DialTimeout("tcp", p.address(), fillTimeout)
		if err != nil {
			return
		}
		p.fillers = append(p.fillers, c)
	}
}

// fillTimeout is how long a connection attempt may take before the queue counts as full.
const fillTimeout = 50 * time.Millisecond

// setQueueLength sets the number of connections that the kernel keeps for accept.
func (p *proxy) setQueueLength(length int) {
	l, ok := p.listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) }) // fails only for a closed listener
}

// state returns the number of disruptions so far, and whether the proxy is in modeOpen.
func (p *proxy) state() (disruptions int64, ok bool) {
	return p.disruptions.Load(), proxyMode(p.mode.Load()) == modeOpen
}

func (p *proxy) copyBytes(from, to net.Conn, connNumber int64, responses bool, done chan<- bool) {
	isInOrder := false
	defer func() { done <- isInOrder }()
	buf := make([]byte, 16<<10) // holds most requests, so that they are delayed once
	for {
		n, err := from.Read(buf)
		for proxyMode(p.mode.Load()).blocks(responses) {
			time.Sleep(proxyPollInterval)
		}
		if proxyMode(p.mode.Load()) == modeDelayed {
			time.Sleep(proxyDelay)
		}
		if !responses {
			time.Sleep(time.Duration(p.pathDelay.Load()))
		}
		if n > 0 && !p.isMuted(connNumber) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			isInOrder = errors.Is(err, io.EOF)
			return
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.disruptions.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	p.set(modeOpen)
	_ = p.listener.Close()
	p.resetAll()
}
