package soak

// This file defines the loopback proxy between two parts, which delays, resets, cuts
// one way or silences what passes, or mutes connections for good while new ones work.
// The invariant: bytes pass in order or not at all.

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mood is what a gate does to what passes.
type mood int32

const (
	open     mood = iota
	delayed       // each read is passed on later
	silent        // nothing passes either way
	oneWay        // requests pass, answers do not
	refusing      // new connections are closed at once
)

var moodNames = [...]string{"open", "delayed", "silent", "one way", "refusing"}

// gate is a proxy in front of one address.
type gate struct {
	listener net.Listener
	target   string
	mood     atomic.Int32
	joined   atomic.Int64 // connections so far
	muted    atomic.Int64 // those up to this one carry nothing more, not even their end
	hits     atomic.Int64 // times that something was done to what passes

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// gateDelay is how much later bytes pass a gate that delays.
const gateDelay = 30 * time.Millisecond

// gateLook is how often bytes that are held back look whether they may pass.
const gateLook = 10 * time.Millisecond

func (w *world) newGate(last int, target string) (*gate, error) {
	l, err := w.listen(last)
	if err != nil {
		return nil, err
	}
	g := &gate{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go g.accept()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		if mood(g.mood.Load()) == refusing {
			_ = c.Close()
			continue
		}
		go g.join(c)
	}
}

// join passes bytes between the two sides until one ends.
func (g *gate) join(a net.Conn) {
	b, err := net.Dial("tcp", g.target)
	if err != nil {
		reset(a)
		return
	}
	g.mu.Lock()
	g.conns[a], g.conns[b] = true, true
	g.mu.Unlock()
	done := make(chan struct{}, 2)
	number := g.joined.Add(1)
	go g.pass(a, b, number, false, done)
	go g.pass(b, a, number, true, done)
	<-done
	if g.isMuted(number) {
		<-done
		done <- struct{}{}
	}
	_, _ = a.Close(), b.Close()
	<-done
	g.mu.Lock()
	delete(g.conns, a)
	delete(g.conns, b)
	g.mu.Unlock()
}

func (g *gate) isMuted(number int64) bool { return number <= g.muted.Load() }

// mute lets the connections that are open carry nothing more.
func (g *gate) mute() {
	g.hits.Add(1)
	g.muted.Store(g.joined.Load())
}

// set changes what the gate does to what passes.
func (g *gate) set(m mood) {
	g.hits.Add(1)
	g.mood.Store(int32(m))
}

// passes reports whether what is sent now passes as it is, and how often something was done before.
func (g *gate) passes() (hits int64, ok bool) { return g.hits.Load(), mood(g.mood.Load()) == open }

func (g *gate) pass(from, to net.Conn, number int64, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		for held := mood(g.mood.Load()); held == silent || held == oneWay && answers; held = mood(g.mood.Load()) {
			time.Sleep(gateLook)
		}
		if mood(g.mood.Load()) == delayed {
			time.Sleep(gateDelay)
		}
		if n > 0 && !g.isMuted(number) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// resetAll resets all connections that are open.
func (g *gate) resetAll() {
	g.hits.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		reset(c)
	}
}

func (g *gate) close() {
	g.set(open)
	_ = g.listener.Close()
	g.resetAll()
}
