package relay

// This file defines counters of the messages sent to other boxes. The invariant: only the
// messages' own bytes are counted, without the headers of datagrams or calls; the memory used
// is one row for each kind and reach.

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/wire"
)

// trafficKey identifies a row.
type trafficKey struct {
	kind  group.Kind
	reach group.Reach
}

// sentCounters are the metrics of a row.
type sentCounters struct{ messages, bytes metrics.Counter }

// traffic counts sent messages by kind and reach.
type traffic struct {
	stats stats
	mu    *sync.Mutex // guards sent, which the members' loop and pull handlers add to
	sent  map[trafficKey]sentCounters
}

func newTraffic(s stats) traffic {
	return traffic{stats: s, mu: new(sync.Mutex), sent: make(map[trafficKey]sentCounters)}
}

// add counts a message.
func (t *traffic) add(kind group.Kind, reach group.Reach, bytes int) {
	c := t.row(trafficKey{kind, reach})
	c.messages.Inc(1)
	c.bytes.Inc(int64(bytes))
}

// row returns the counters of a kind and reach.
func (t *traffic) row(key trafficKey) sentCounters {
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

// rows lists all rows in a fixed order.
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
