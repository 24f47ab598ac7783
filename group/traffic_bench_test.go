package group

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkWholeFleet tells what boxes say to each other where each has one request a second, before ten times as many
// upstreams: bytes and messages a second by kind, of the busiest box and of the one in the middle.
func BenchmarkWholeFleet(b *testing.B) {
	for _, boxes := range []int{150, 585, 1170} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			for range b.N {
				benchWholeFleet(b, boxes)
			}
		})
	}
}

func benchWholeFleet(b *testing.B, boxes int) {
	l := layout{5, 1}
	t := newTraffic(across(b, 1, l, boxes), l)
	t.perSecond, t.upstreams, t.home, t.partsShare = 1, 10*boxes, 0.2, 1
	t.pass(2 * time.Second)
	clear(t.sent)
	clear(t.kinds)
	clear(t.messages)
	const span = 3.0
	t.pass(span * time.Second)
	var sent []int
	for _, name := range t.names {
		sent = append(sent, t.sent[name])
	}
	slices.Sort(sent)
	b.ReportMetric(float64(sent[len(sent)-1])/span, "busiest-B/s")
	b.ReportMetric(float64(sent[len(sent)/2])/span, "middle-B/s")
	b.ReportMetric(t.unreadError(true), "own-tokens-off")
	b.ReportMetric(t.unreadError(false), "other-tokens-off")
	var keys []sentKey
	for key := range t.kinds {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y sentKey) int { return cmp.Compare(t.kinds[y], t.kinds[x]) })
	for _, key := range keys {
		b.Logf("%-14s %-13s %10.0f B/s %8.0f messages/s", key.kind, key.reach, float64(t.kinds[key])/span, float64(t.messages[key])/span)
	}
}
