// Package datagram receives and sends UDP datagrams. It receives with gnet and sends
// on a separate socket, since a gnet server can only reply to a received datagram and
// a gnet client needs a connection for each peer.
package datagram

// This file defines Socket. The invariants: a datagram is delivered as a whole or not
// at all, and sending never waits for the receiver.

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"go.uber.org/zap"
)

// Config configures a Socket.
type Config struct {
	Address string // IP:port to listen on, UDP
	// Handler is called with each datagram, on the receiving goroutine. The bytes
	// are only valid until it returns.
	Handler func([]byte)
	// ReceiveBuffer is the size of the kernel's receive buffer in bytes; 0 keeps the
	// system's default.
	ReceiveBuffer int
}

// Socket receives and sends UDP datagrams.
type Socket struct {
	gnet.BuiltinEventEngine
	cfg    Config
	engine gnet.Engine
	booted chan struct{} // closed when gnet has opened its socket
	done   chan error    // receives the result of gnet.Run
	out    *net.UDPConn  // sends

	closing  sync.Once
	closeErr error // of the first Close
}

const (
	// readBuffer is the largest size of a datagram, in bytes.
	readBuffer = 64 << 10
	// stopTimeout limits how long Close waits for gnet to stop.
	stopTimeout = 5 * time.Second
)

var _ gnet.EventHandler = (*Socket)(nil)

// Listen opens a socket. ctx limits only how long it takes to open. The caller must
// call Close.
func Listen(ctx context.Context, cfg Config) (*Socket, error) {
	out, err := net.ListenUDP("udp4", &net.UDPAddr{})
	if err != nil {
		return nil, err
	}
	s := &Socket{cfg: cfg, booted: make(chan struct{}), done: make(chan error, 1), out: out}
	options := []gnet.Option{gnet.WithLogger(discardLogger()), gnet.WithReadBufferCap(readBuffer)}
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

// discardLogger returns a logger that drops gnet's log lines, which would mix with the
// log of the process.
func discardLogger() logging.Logger { return zap.NewNop().Sugar() }

// OnBoot implements gnet.EventHandler; gnet calls it when the socket is open.
func (s *Socket) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler; gnet calls it for each datagram.
func (s *Socket) OnTraffic(c gnet.Conn) gnet.Action {
	if b, err := c.Next(-1); err == nil {
		s.cfg.Handler(b)
	}
	return gnet.None
}

// Send sends a datagram without a guarantee of delivery and reports whether the kernel
// accepted it. One that cannot be sent is dropped, as the network might do.
func (s *Socket) Send(to netip.AddrPort, b []byte) bool {
	_, err := s.out.WriteToUDPAddrPort(b, to)
	return err == nil
}

// Close stops receiving and sending and waits until the receiver has ended. It does not wait
// for gnet's Stop, which polls only each 500 ms whether the receiver has ended; a box whose
// planned stop had used up its grace period was killed during that wait. Further calls return the
// result of the first.
func (s *Socket) Close() error {
	s.closing.Do(func() { s.closeErr = s.close() })
	return s.closeErr
}

func (s *Socket) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
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
