package relay

// This file defines how datagrams are received from other boxes and sent to them. The
// invariant: the socket's goroutine never blocks; messages that the members' loop cannot keep
// up with are dropped and counted.

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/internal/datagram"
	"github.com/doormast/doormast/wire"
)

// listen opens the socket for incoming datagrams; a box without an address has none.
func (m *members) listen() error {
	address := m.relay.cfg.Self.Address
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), balance.DialWait)
	defer cancel()
	var err error
	m.socket, err = datagram.Listen(ctx, datagram.Config{Address: address, Handler: m.handleDatagram})
	return err
}

// handleDatagram queues a datagram's message, on the socket's goroutine.
func (m *members) handleDatagram(b []byte) {
	msg := new(wire.GroupMessage)
	if err := proto.Unmarshal(b, msg); err != nil {
		m.relay.stats.count("datagrams_garbled")
		return
	}
	if group.CarriesOrigins(msg) {
		m.relay.origins.push(msg)
		return
	}
	if !m.events.TryPush(memberEvent{message: msg}) {
		m.relay.stats.count("datagrams_dropped")
	}
}

// encodedMessage is a message with its encoding.
type encodedMessage struct {
	message *wire.GroupMessage
	bytes   []byte
}

// send sends a message without acknowledgment: later messages repeat what is lost.
func (m *members) send(o group.Outgoing) {
	to, err := netip.ParseAddrPort(o.To)
	if err != nil || m.socket == nil {
		return // a seed that is not an address, or a box without peers
	}
	if o.Message != m.lastEncoded.message { // one message may go to many boxes
		b, err := proto.Marshal(o.Message)
		if err != nil {
			m.relay.cfg.Log.Event("group", "encoding a message failed", Fields{"to": o.To, "error": err.Error()})
			return
		}
		m.lastEncoded = encodedMessage{o.Message, b}
	}
	m.traffic.add(group.KindOf(o.Message), o.Reach, len(m.lastEncoded.bytes))
	m.socket.Send(to, m.lastEncoded.bytes)
}
