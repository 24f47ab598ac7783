// Package control sends and receives the messages between boxes over UDP.
//
// A datagram may be lost, duplicated or delayed; the protocol of the messages
// tolerates that. The invariant: a message is passed to the handler only if its
// sender knows the shared key and is of the newest incarnation seen, or a newer one.
package control

import (
	"context"
	"net/netip"
	"sync"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/internal/datagram"
)

// Handler is called with the content of each accepted datagram, on the receiving
// goroutine.
type Handler func(Received)

// Config configures a Link.
type Config struct {
	Address string // IP:port to listen on, UDP
	Codec   *Codec
	Handler Handler
	// Dropped is called with the reason for each dropped datagram, and once for a
	// datagram with messages that were skipped.
	Dropped func(Drop)
	// Sent is called with the size of each sent datagram in bytes, IP and UDP
	// headers included.
	Sent func(bytes int)
}

const (
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
	// receiveBuffer is the size of the kernel's receive buffer in bytes, which holds
	// datagrams that arrive while the receiver is busy.
	receiveBuffer = 1 << 20
)

// Link is the UDP endpoint of a box for messages to and from the other boxes.
type Link struct {
	cfg    Config
	socket *datagram.Socket

	mu        sync.Mutex
	addresses map[string]netip.AddrPort // by box
	buffer    [][]byte                  // encoded datagrams, reused by Send
}

// Listen opens a link. ctx limits only how long it takes to open. The caller must
// call Close.
func Listen(ctx context.Context, cfg Config) (*Link, error) {
	l := &Link{cfg: cfg, addresses: make(map[string]netip.AddrPort)}
	var err error
	l.socket, err = datagram.Listen(ctx, datagram.Config{Address: cfg.Address, Handler: l.received, ReceiveBuffer: receiveBuffer})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// received decodes a datagram and passes its content to the handler.
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

// SetAddress sets the address, an IP:port, on which a box listens. An invalid
// address removes the entry of the box.
func (l *Link) SetAddress(box, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		delete(l.addresses, box)
		return
	}
	l.addresses[box] = parsed
}

// Send sends messages to a box without a guarantee of delivery. Messages that cannot
// be sent, also for lack of an address, are dropped, as the network might do.
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

// Close stops receiving and sending and waits until the receiver has ended.
func (l *Link) Close() error { return l.socket.Close() }
