package experiment

// This file defines the simulated transport between boxes, and between boxes and the
// platform: datagrams, table pulls and table reads. Each takes a set time, and datagrams
// may be lost.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/internal/control"
)

// pullTime is the time of a table pull in addition to two message delays.
const pullTime = 10 * time.Millisecond

// pull passes the table of another box to a box's node; a frozen box provides none.
func (l *loop) pull(b, from *box) {
	l.after(2*l.delay+pullTime, func() {
		l.call(b, func(n *cell.Node) {
			if !from.frozen {
				n.SetTable(from.node.Table())
			}
			n.PullDone()
		})
	})
}

// watchTime is how long the platform holds a table read open while there is no change.
const watchTime = 5 * time.Second

// read performs a long-poll read of the table from the platform.
func (l *loop) read(b *box) {
	if l.policy == Bound || l.spec.Name != "cell" {
		return // the table does not change in an experiment
	}
	start := l.now
	var poll func()
	poll = func() {
		if t := l.platform; t != nil && t.Revision > b.node.Table().Revision || l.now-start > watchTime {
			l.call(b, func(n *cell.Node) {
				if t != nil && !b.frozen {
					n.SetTable(t)
				}
				n.ReadDone(true)
			})
			return
		}
		l.after(readLatency, poll)
	}
	l.after(readLatency, poll)
}

// readLatency is the time that the platform takes to answer.
const readLatency = 5 * time.Millisecond

// DatagramBytes is the size of a datagram without its messages: IP and UDP headers, sender, incarnation, sequence, stamp and MAC.
const DatagramBytes = 28 + 40 + 16

// sendAll sends the messages in a box's outbox, as one datagram for each receiver.
func (l *loop) sendAll(b *box) {
	if len(b.outbox) == 0 {
		return
	}
	names := make([]string, 0, len(b.outbox))
	for name := range b.outbox {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		messages := b.outbox[name]
		delete(b.outbox, name)
		b.datagrams++
		b.messages += len(messages)
		b.bytes += DatagramBytes
		for _, m := range messages {
			b.bytes += control.Size(m)
		}
		dst := l.byName[name]
		if l.loss > 0 && l.random.Float64() < l.loss {
			continue
		}
		if b.codec != nil {
			messages = l.throughCodec(b, dst, messages)
		}
		l.after(l.delay, func() {
			l.call(dst, func(n *cell.Node) {
				for _, m := range messages {
					n.Receive(l.now, b.name, 1, m)
				}
			})
		})
	}
}

// throughCodec encodes messages into datagrams and decodes them again, so that the time
// that this takes counts for the sender and the receiver.
func (l *loop) throughCodec(b, dst *box, messages []cell.Message) []cell.Message {
	start := time.Now()
	datagrams, err := b.codec.Encode(nil, messages)
	b.cpuTime += time.Since(start)
	if err != nil {
		return nil
	}
	start = time.Now()
	var out []cell.Message
	for _, g := range datagrams {
		r, _ := dst.codec.Decode(g)
		out = append(out, r.Messages...)
	}
	dst.cpuTime += time.Since(start)
	return out
}
