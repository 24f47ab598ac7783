package experiment

// This file defines how messages, pulls and reads travel in a run: each takes its
// time, and datagrams may be lost.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/internal/control"
)

// pullTime is what a pull of the table takes beside two messages.
const pullTime = 10 * time.Millisecond

// pull fetches a newer table from another box.
func (l *loop) pull(b, from *box) {
	l.after(2*l.delay+pullTime, func() {
		l.tell(b, func(n *cell.Node) {
			if !from.frozen {
				n.SetTable(from.node.Table())
			}
			n.PullDone()
		})
	})
}

// watchTime is how long a watch of the platform lasts without a change.
const watchTime = 5 * time.Second

// read is a watch of the platform.
func (l *loop) read(b *box) {
	if l.policy == Bound || l.spec.Name != "cell" {
		return // the table does not change in an experiment
	}
	start := l.now
	var look func()
	look = func() {
		if t := l.platform; t != nil && t.Revision > b.node.Table().Revision || l.now-start > watchTime {
			l.tell(b, func(n *cell.Node) {
				if t != nil && !b.frozen {
					n.SetTable(t)
				}
				n.ReadDone(true)
			})
			return
		}
		l.after(readLatency, look)
	}
	l.after(readLatency, look)
}

// readLatency is what the platform takes to answer.
const readLatency = 5 * time.Millisecond

// DatagramBytes is what a datagram costs beside its messages: headers of IP and
// UDP, sender, incarnation, sequence, stamp and MAC.
const DatagramBytes = 28 + 40 + 16

// sendAll sends what was gathered, one datagram for each box.
func (l *loop) sendAll(b *box) {
	if len(b.to) == 0 {
		return
	}
	names := make([]string, 0, len(b.to))
	for name := range b.to {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		messages := b.to[name]
		delete(b.to, name)
		b.grams++
		b.count += len(messages)
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
			l.tell(dst, func(n *cell.Node) {
				for _, m := range messages {
					n.Receive(l.now, b.name, 1, m)
				}
			})
		})
	}
}

// throughCodec makes real datagrams of the messages and reads them again, so that
// the cost of that is counted on both sides.
func (l *loop) throughCodec(b, dst *box, messages []cell.Message) []cell.Message {
	start := time.Now()
	grams, err := b.codec.Encode(nil, messages)
	b.spent += time.Since(start)
	if err != nil {
		return nil
	}
	start = time.Now()
	var out []cell.Message
	for _, g := range grams {
		r, _ := dst.codec.Decode(g)
		out = append(out, r.Messages...)
	}
	dst.spent += time.Since(start)
	return out
}
