package relay

// This file defines the count of what the box has sent to other boxes. The invariant: bytes
// are those of the messages, without the heads of datagrams or calls; a row for each kind and
// reach is all that it keeps.

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/wire"
)

// trafficKey is what is counted together.
type trafficKey struct {
	kind  group.Kind
	reach group.Reach
}

// sentCount is the counters of a row, as metrics show them.
type sentCount struct{ messages, bytes metrics.Counter }

// traffic is rows of what was sent.
type traffic struct {
	stats stats
	mu    *sync.Mutex // guards rows, which the members' duty and calls add to
	sent  map[trafficKey]sentCount
}

func newTraffic(s stats) traffic {
	return traffic{stats: s, mu: new(sync.Mutex), sent: make(map[trafficKey]sentCount)}
}

// add counts a message.
func (t *traffic) add(kind group.Kind, reach group.Reach, bytes int) {
	c := t.row(trafficKey{kind, reach})
	c.messages.Inc(1)
	c.bytes.Inc(int64(bytes))
}

// row is the counters of a kind and reach.
func (t *traffic) row(key trafficKey) sentCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.sent[key]
	if !ok {
		labels := "{kind=\"" + string(key.kind) + "\",reach=\"" + string(key.reach) + "\"}"
		c.messages = metrics.GetOrRegisterCounter("peer_messages"+labels, t.stats.registry)
		c.bytes = metrics.GetOrRegisterCounter("peer_bytes"+labels, t.stats.registry)
		t.sent[key] = c
	}
	return c
}

// rows lists what was sent, in a fixed order.
func (t *traffic) rows() []*wire.TrafficRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*wire.TrafficRow, 0, len(t.sent))
	for key, c := range t.sent {
		list = append(list, &wire.TrafficRow{Kind: string(key.kind), Reach: string(key.reach),
			Messages: uint64(c.messages.Count()), Bytes: uint64(c.bytes.Count())})
	}
	slices.SortFunc(list, func(a, b *wire.TrafficRow) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Reach, b.Reach))
	})
	return list
}
