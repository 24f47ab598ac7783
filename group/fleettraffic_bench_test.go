package group

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkFleetTraffic measures the messages between boxes that handle one request per second
// each, with ten times as many upstreams: bytes and messages per second by kind, and bytes per
// second of the busiest and the median box.
func BenchmarkFleetTraffic(b *testing.B) {
	for _, boxes := range []int{150, 585, 1170} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			for range b.N {
				benchFleetTraffic(b, boxes)
			}
		})
	}
}

func benchFleetTraffic(b *testing.B, boxes int) {
	l := layout{5, 1}
	t := newWorkload(startRegions(b, 1, l, boxes), l)
	t.perSecond, t.upstreams, t.localShare, t.newPartShare = 1, 10*boxes, 0.2, 1
	t.advance(2 * time.Second)
	clear(t.bytesByBox)
	clear(t.bytesByKind)
	clear(t.messagesByKind)
	const span = 3.0
	t.advance(span * time.Second)
	var sent []int
	for _, name := range t.names {
		sent = append(sent, t.bytesByBox[name])
	}
	slices.Sort(sent)
	b.ReportMetric(float64(sent[len(sent)-1])/span, "busiest-B/s")
	b.ReportMetric(float64(sent[len(sent)/2])/span, "middle-B/s")
	b.ReportMetric(t.unreadError(true), "own-tokens-off")
	b.ReportMetric(t.unreadError(false), "other-tokens-off")
	var keys []sentKey
	for key := range t.bytesByKind {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y sentKey) int { return cmp.Compare(t.bytesByKind[y], t.bytesByKind[x]) })
	for _, key := range keys {
		b.Logf("%-14s %-13s %10.0f B/s %8.0f messages/s", key.kind, key.reach, float64(t.bytesByKind[key])/span, float64(t.messagesByKind[key])/span)
	}
}
