package control

// This file defines the datagrams between boxes. The invariants: a datagram that
// does not carry the right MAC is dropped before it is parsed; one of an older
// incarnation, or seen before, is dropped as well.

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
	// maxDatagram keeps a datagram within what UDP over loopback and jumbo
	// frames carries; full lists are split to fit.
	maxDatagram = 8 << 10
	// replayWindow is how far a datagram may come after a later one.
	replayWindow = 64
)

// Drop says why a datagram was dropped.
type Drop string

// Reasons of a drop.
const (
	DropNone     Drop = ""
	DropSize     Drop = "size"
	DropMAC      Drop = "mac"
	DropGarbage  Drop = "garbage"
	DropOldBoot  Drop = "old_boot"
	DropReplay   Drop = "replay"
	DropOwn      Drop = "own"
	DropUnknown  Drop = "unknown_kind"
	DropRingFull Drop = "ring_full"
)

// Received is what a datagram held.
type Received struct {
	Sender   string
	Boot     uint64
	Messages []cell.Message
	Unknown  int // messages of a kind that this version does not know
	Stamp    timeline.Stamp
}

// Codec makes and reads the datagrams of one incarnation of a box. It is safe
// for one writer and one reader at a time.
type Codec struct {
	sender   string
	boot     uint64
	key      []byte
	stamp    func() timeline.Stamp
	writing  sync.Mutex
	sequence uint64
	reading  sync.Mutex
	seen     map[string]*window
}

// window remembers which sequence numbers of a sender were seen.
type window struct {
	boot    uint64
	highest uint64
	bits    uint64
}

// NewCodec returns a codec; key is the secret that the boxes share, and stamp
// gives the time that each datagram carries.
func NewCodec(sender string, boot uint64, key []byte, stamp func() timeline.Stamp) *Codec {
	return &Codec{sender: sender, boot: boot, key: key, stamp: stamp, seen: make(map[string]*window)}
}

// Encode makes the datagrams for a batch of messages, appended to out.
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
		n := framed(proto.Size(w))
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

// Decode reads a datagram, or says why it is dropped.
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
		return Received{}, DropGarbage
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

// accept notes a sequence number as seen.
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

// Size is how many bytes a message takes within a datagram.
func Size(m cell.Message) int { return framed(proto.Size(toWire(m))) }

// framed adds the tag and the length of an element of n bytes.
func framed(n int) int { return 1 + protowire.SizeBytes(n) }
