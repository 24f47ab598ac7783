package control

// This file defines the encoding of datagrams between boxes. The invariants: a
// datagram without a valid MAC is dropped before it is parsed; a datagram of an older
// incarnation of its sender, or one that was received before, is dropped as well.

import (
	"crypto/hmac"
	"crypto/sha256"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/timeline"
	"github.com/doormast/doormast/wire"
)

const (
	macSize = 16
	// maxDatagram is the largest datagram sent, in bytes, so that it fits a UDP
	// packet over loopback or in a jumbo frame. Encode splits longer batches.
	maxDatagram = 8 << 10
	// replayWindow is the number of latest sequence numbers of a sender that are
	// tracked; datagrams that arrive later than that are dropped.
	replayWindow = 64
)

// Drop is the reason for which a datagram or message was dropped.
type Drop string

// Values of Drop.
const (
	DropNone      Drop = ""
	DropSize      Drop = "size"
	DropMAC       Drop = "mac"
	DropMalformed Drop = "garbage"
	DropOldBoot   Drop = "old_boot"
	DropReplay    Drop = "replay"
	DropOwn       Drop = "own"
	DropUnknown   Drop = "unknown_kind"
	DropRingFull  Drop = "ring_full"
)

// Received is the content of a datagram.
type Received struct {
	Sender   string // name of the box
	Boot     uint64 // incarnation of the sender
	Messages []cell.Message
	Unknown  int            // messages of an unknown kind or with a field out of range
	Stamp    timeline.Stamp // time of sending
}

// Codec encodes and decodes the datagrams of one incarnation of a box. It is safe
// for concurrent use.
type Codec struct {
	sender   string
	boot     uint64
	key      []byte
	stamp    func() timeline.Stamp
	writing  sync.Mutex // guards sequence
	sequence uint64     // of the last datagram sent
	reading  sync.Mutex // guards seen
	seen     map[string]*window
}

// window records the sequence numbers received from a sender.
type window struct {
	boot    uint64
	highest uint64
	bits    uint64 // bit i is set if highest-i was received
}

// NewCodec returns a codec for the incarnation boot of the box called sender. key
// is the secret that the boxes share, and stamp returns the time for a datagram.
func NewCodec(sender string, boot uint64, key []byte, stamp func() timeline.Stamp) *Codec {
	return &Codec{sender: sender, boot: boot, key: key, stamp: stamp, seen: make(map[string]*window)}
}

// Encode encodes a batch of messages into one or more datagrams and appends them to
// out.
func (c *Codec) Encode(out [][]byte, messages []cell.Message) ([][]byte, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	d := &wire.Datagram{Sender: c.sender, Boot: c.boot}
	size := 0
	for _, m := range messages {
		w := toWire(m)
		if w == nil {
			continue
		}
		n := elementSize(proto.Size(w))
		if size+n > maxDatagram-256 && len(d.Messages) > 0 {
			var err error
			if out, err = c.seal(out, d); err != nil {
				return out, err
			}
			d.Messages, size = nil, 0
		}
		d.Messages = append(d.Messages, w)
		size += n
	}
	if len(d.Messages) == 0 {
		return out, nil
	}
	return c.seal(out, d)
}

// seal assigns the next sequence number and the time to d, and appends its encoding
// with the MAC to out.
func (c *Codec) seal(out [][]byte, d *wire.Datagram) ([][]byte, error) {
	c.sequence++
	d.Sequence = c.sequence
	now := c.stamp()
	d.Wall, d.Logical = now.Wall, uint32(now.Logical)
	b, err := proto.Marshal(d)
	if err != nil {
		return out, err
	}
	return append(out, append(b, c.mac(b)...)), nil
}

func (c *Codec) mac(b []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(b)
	return h.Sum(nil)[:macSize]
}

// Decode verifies and decodes a datagram, or returns the reason to drop it.
func (c *Codec) Decode(b []byte) (Received, Drop) {
	if len(b) <= macSize || len(b) > 64<<10 {
		return Received{}, DropSize
	}
	body := b[:len(b)-macSize]
	if !hmac.Equal(c.mac(body), b[len(body):]) {
		return Received{}, DropMAC
	}
	var d wire.Datagram
	if err := proto.Unmarshal(body, &d); err != nil || d.Sender == "" {
		return Received{}, DropMalformed
	}
	if d.Sender == c.sender {
		return Received{}, DropOwn
	}
	if drop := c.accept(d.Sender, d.Boot, d.Sequence); drop != DropNone {
		return Received{}, drop
	}
	r := Received{Sender: d.Sender, Boot: d.Boot, Stamp: timeline.Stamp{Wall: d.Wall, Logical: int(d.Logical)}}
	for _, w := range d.Messages {
		if m := fromWire(w); m != nil {
			r.Messages = append(r.Messages, m)
		} else {
			r.Unknown++
		}
	}
	return r, DropNone
}

// accept records a sequence number as received, or returns the reason to drop its
// datagram.
func (c *Codec) accept(sender string, boot, sequence uint64) Drop {
	c.reading.Lock()
	defer c.reading.Unlock()
	w := c.seen[sender]
	if w == nil || boot > w.boot {
		c.seen[sender] = &window{boot: boot, highest: sequence, bits: 1}
		return DropNone
	}
	switch {
	case boot < w.boot:
		return DropOldBoot
	case sequence > w.highest:
		shift := sequence - w.highest
		w.bits = w.bits<<min(shift, 64) | 1
		w.highest = sequence
		return DropNone
	case w.highest-sequence >= replayWindow || w.bits>>(w.highest-sequence)&1 == 1:
		return DropReplay
	}
	w.bits |= 1 << (w.highest - sequence)
	return DropNone
}

// Size returns the number of bytes that a message takes in a datagram.
func Size(m cell.Message) int { return elementSize(proto.Size(toWire(m))) }

// elementSize returns the size of a repeated protobuf field's element of n bytes,
// with its tag and length.
func elementSize(n int) int { return 1 + protowire.SizeBytes(n) }
