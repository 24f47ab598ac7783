// Package datagram receives and sends datagrams: gnet receives them, and a plain
// socket sends, since gnet answers on its own sockets only and its client dials a
// connection for each peer.
package datagram

// This file defines the socket. The invariant: a datagram comes whole or not at all,
// and sending one never waits for whom it goes to.

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"go.uber.org/zap"
)

// Config configures a Socket.
type Config struct {
	Address string // IP:port to listen on, UDP
	// Handler takes a datagram, on the receiving goroutine. The bytes are only
	// valid until it returns.
	Handler func([]byte)
	// ReceiveBuffer is the kernel's buffer in bytes; 0 leaves it as it is.
	ReceiveBuffer int
}

// Socket receives and sends datagrams.
type Socket struct {
	gnet.BuiltinEventEngine
	cfg    Config
	engine gnet.Engine
	booted chan struct{}
	done   chan error
	out    *net.UDPConn
}

const (
	// readBuffer is the most bytes a datagram may have.
	readBuffer = 64 << 10
	// stopWait is the longest that gnet may take to stop.
	stopWait = 5 * time.Second
)

var _ gnet.EventHandler = (*Socket)(nil)

// Listen opens a socket; Close ends it.
func Listen(ctx context.Context, cfg Config) (*Socket, error) {
	out, err := net.ListenUDP("udp4", &net.UDPAddr{})
	if err != nil {
		return nil, err
	}
	s := &Socket{cfg: cfg, booted: make(chan struct{}), done: make(chan error, 1), out: out}
	options := []gnet.Option{gnet.WithLogger(quiet()), gnet.WithReadBufferCap(readBuffer)}
	if cfg.ReceiveBuffer > 0 {
		options = append(options, gnet.WithSocketRecvBuffer(cfg.ReceiveBuffer))
	}
	go func() { s.done <- gnet.Run(s, "udp://"+cfg.Address, options...) }()
	select {
	case <-s.booted:
		return s, nil
	case err := <-s.done:
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
func (s *Socket) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnTraffic is called by gnet for each datagram.
func (s *Socket) OnTraffic(c gnet.Conn) gnet.Action {
	if b, err := c.Next(-1); err == nil {
		s.cfg.Handler(b)
	}
	return gnet.None
}

// Send sends a datagram, as a hint: what cannot be sent is lost, as it might be on
// the way. It reports whether it was sent.
func (s *Socket) Send(to netip.AddrPort, b []byte) bool {
	_, err := s.out.WriteToUDPAddrPort(b, to)
	return err == nil
}

// Close stops receiving and sending and waits for the receiver to end. It does not wait for
// gnet's Stop, which only looks each 500 ms whether the receiver has ended: a box whose
// planned stop used up its grace was killed meanwhile.
func (s *Socket) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopWait)
	stopped := make(chan error, 1)
	go func() { stopped <- s.engine.Stop(ctx) }()
	var err error
	select {
	case err = <-s.done:
		cancel()
		if err := <-stopped; err != nil && !errors.Is(err, context.Canceled) {
			return errors.Join(err, s.out.Close())
		}
	case err = <-stopped:
		cancel()
		err = errors.Join(err, <-s.done)
	}
	return errors.Join(err, s.out.Close())
}
