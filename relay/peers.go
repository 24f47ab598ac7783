package relay

// This file defines how datagrams come from other boxes and go to them. The invariant:
// the socket's goroutine never waits: what the duty cannot keep up with is dropped,
// and counted.

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/internal/datagram"
	"github.com/doormast/doormast/wire"
)

// listen opens the socket that datagrams come in on; a box without an address has
// none.
func (m *members) listen() error {
	address := m.relay.cfg.Self.Address
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), balance.DialWait)
	defer cancel()
	var err error
	m.socket, err = datagram.Listen(ctx, datagram.Config{Address: address, Handler: m.received})
	return err
}

// received takes a datagram, on the socket's goroutine.
func (m *members) received(b []byte) {
	msg := new(wire.GroupMessage)
	if err := proto.Unmarshal(b, msg); err != nil {
		m.relay.stats.count("datagrams_garbled")
		return
	}
	if !m.events.TryPush(memberEvent{message: msg}) {
		m.relay.stats.count("datagrams_dropped")
	}
}

// packedMessage is a message as it goes on the wire.
type packedMessage struct {
	message *wire.GroupMessage
	bytes   []byte
}

// send sends a message, as a hint: what is lost is told again by later ones.
func (m *members) send(o group.Outgoing) {
	to, err := netip.ParseAddrPort(o.To)
	if err != nil || m.socket == nil {
		return // a seed that is no address, or a box without peers
	}
	if o.Message != m.packed.message { // one message may go to many
		b, err := proto.Marshal(o.Message)
		if err != nil {
			m.relay.cfg.Log.Event("group", "not sent", Fields{"to": o.To, "error": err.Error()})
			return
		}
		m.packed = packedMessage{o.Message, b}
	}
	m.traffic.add(group.KindOf(o.Message), o.Reach, len(m.packed.bytes))
	m.socket.Send(to, m.packed.bytes)
}
