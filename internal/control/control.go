// Package control carries the messages between boxes over UDP, by package datagram.
//
// A datagram may be lost, come twice or late; the messages are made for that. The
// invariant: what is handed on came from a box that knows the shared key, in an
// incarnation not older than any seen.
package control

import (
	"context"
	"net/netip"
	"sync"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/internal/datagram"
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

const (
	// headerBytes is what IP and UDP add to a datagram.
	headerBytes = 28
	// receiveBuffer holds what arrives while the receiver is busy, in bytes.
	receiveBuffer = 1 << 20
)

// Link is a box's connection to the others.
type Link struct {
	cfg    Config
	socket *datagram.Socket

	mu        sync.Mutex
	addresses map[string]netip.AddrPort
	buffer    [][]byte
}

// Listen opens a link; Close ends it.
func Listen(ctx context.Context, cfg Config) (*Link, error) {
	l := &Link{cfg: cfg, addresses: make(map[string]netip.AddrPort)}
	var err error
	l.socket, err = datagram.Listen(ctx, datagram.Config{Address: cfg.Address, Handler: l.received, ReceiveBuffer: receiveBuffer})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// received takes a datagram.
func (l *Link) received(b []byte) {
	r, drop := l.cfg.Codec.Decode(b)
	if drop != DropNone {
		l.cfg.Dropped(drop)
		return
	}
	if r.Unknown > 0 {
		l.cfg.Dropped(DropUnknown)
	}
	l.cfg.Handler(r)
}

// SetAddress says where a box listens. An address that cannot be parsed is
// forgotten.
func (l *Link) SetAddress(box, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, err := netip.ParseAddrPort(address)
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
	to, ok := l.addresses[box]
	if !ok {
		return
	}
	var err error
	if l.buffer, err = l.cfg.Codec.Encode(l.buffer[:0], messages); err != nil {
		return
	}
	for _, b := range l.buffer {
		if l.socket.Send(to, b) {
			l.cfg.Sent(len(b) + headerBytes)
		}
	}
}

// Close stops receiving and sending and waits for the receiver to end.
func (l *Link) Close() error { return l.socket.Close() }
