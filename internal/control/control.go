// Package control carries the messages between boxes over UDP: gnet receives
// them, and a socket of the system's sends them.
//
// A datagram may be lost, come twice or late; the messages are made for that. The
// invariant: what is handed on came from a box that knows the shared key, in an
// incarnation not older than any seen.
package control

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"go.uber.org/zap"

	"github.com/doormast/doormast/cell"
)

// Handler takes in what was received, on the receiving goroutine.
type Handler func(Received)

// Config configures a Link.
type Config struct {
	Address string // IP:port to listen on, UDP
	Codec   *Codec
	Handler Handler
	// Dropped counts a dropped datagram.
	Dropped func(Drop)
	// Sent counts the bytes of sent datagrams, headers of IP and UDP included.
	Sent func(bytes int)
}

// headerBytes is what IP and UDP add to a datagram.
const headerBytes = 28

// Link is a box's connection to the others.
type Link struct {
	gnet.BuiltinEventEngine
	cfg    Config
	engine gnet.Engine
	booted chan struct{}
	done   chan error
	out    *net.UDPConn

	mu        sync.Mutex
	addresses map[string]*net.UDPAddr
	buffer    [][]byte
}

// Listen opens a link; Close ends it.
func Listen(ctx context.Context, cfg Config) (*Link, error) {
	out, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return nil, err
	}
	l := &Link{cfg: cfg, booted: make(chan struct{}), done: make(chan error, 1), out: out, addresses: make(map[string]*net.UDPAddr)}
	go func() {
		l.done <- gnet.Run(l, "udp://"+cfg.Address, gnet.WithLogger(quiet()), gnet.WithReadBufferCap(64<<10),
			gnet.WithSocketRecvBuffer(1<<20))
	}()
	select {
	case <-l.booted:
		return l, nil
	case err := <-l.done:
		_ = out.Close()
		return nil, err
	case <-ctx.Done():
		_ = out.Close()
		return nil, ctx.Err()
	}
}

// quiet keeps gnet's own log lines away: the process has one log.
func quiet() logging.Logger { return zap.NewNop().Sugar() }

// OnBoot is called by gnet when the socket is open.
func (l *Link) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	close(l.booted)
	return gnet.None
}

// OnTraffic is called by gnet for each datagram.
func (l *Link) OnTraffic(c gnet.Conn) gnet.Action {
	b, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	r, drop := l.cfg.Codec.Decode(b)
	if drop != DropNone {
		l.cfg.Dropped(drop)
		return gnet.None
	}
	if r.Unknown > 0 {
		l.cfg.Dropped(DropUnknown)
	}
	l.cfg.Handler(r)
	return gnet.None
}

// SetAddress says where a box listens. An address that cannot be parsed is
// forgotten.
func (l *Link) SetAddress(box, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		delete(l.addresses, box)
		return
	}
	l.addresses[box] = a
}

// Send sends messages to a box, as a hint: what cannot be sent is lost, as it
// might be on the way.
func (l *Link) Send(box string, messages []cell.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to := l.addresses[box]
	if to == nil {
		return
	}
	var err error
	if l.buffer, err = l.cfg.Codec.Encode(l.buffer[:0], messages); err != nil {
		return
	}
	for _, b := range l.buffer {
		if n, err := l.out.WriteToUDP(b, to); err == nil {
			l.cfg.Sent(n + headerBytes)
		}
	}
}

// Close stops receiving and sending and waits for the receiver to end.
func (l *Link) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := l.engine.Stop(ctx)
	err = errors.Join(err, <-l.done)
	return errors.Join(err, l.out.Close())
}
