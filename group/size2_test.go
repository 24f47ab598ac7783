package group

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/doormast/doormast/mirror"
)

func (w *world) listEntries(count int) {
	items := w.published.Items()
	for i := range count {
		value := fmt.Sprintf(`{"service":"vestnik","addr":"10.%d.%d.7:8000","zone":"hall-one","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"seq":%d,"born":%d,"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}]}`, i/250, i%250, rand.IntN(300), 1764000000000+rand.IntN(3000))
		items = append(items, mirror.Item{Key: fmt.Sprintf("servers/i-%08x", rand.Uint32()), Value: []byte(value), Revision: 1})
	}
	w.published.Load(items, 1)
	const page = 200
	w.store = pagedStore{perSecond: 16000, pages: len(items)/page + 1, wait: 900 * time.Millisecond}
	w.link = 20e6 / 8
	w.takesIn = 850 * time.Millisecond
}

func BenchmarkFleetKilled(b *testing.B) {
	for _, boxes := range []int{150, 585} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			for range b.N {
				w := across(b, 1, layout{5, 1}, boxes)
				w.listEntries(6000)
				start := w.now + 500*time.Millisecond
				w.killAll()
				w.run(8 * time.Second)
				known := w.knownAfter(start)
				b.ReportMetric(float64(known[len(known)/2].Milliseconds()), "half-ms")
				b.ReportMetric(float64(known[len(known)*99/100].Milliseconds()), "99-ms")
				b.ReportMetric(float64(known[len(known)-1].Milliseconds()), "all-ms")
				b.ReportMetric(float64(w.store.calls), "pages")
			}
		})
	}
}

func BenchmarkManyChange(b *testing.B) {
	for _, boxes := range []int{150, 585} {
		for _, changes := range []int{20, 142, 780} {
			b.Run(fmt.Sprintf("boxes=%d/changes=%d", boxes, changes), func(b *testing.B) {
				for range b.N {
					w := across(b, 1, layout{5, 1}, boxes)
					w.listEntries(6000)
					w.killAll()
					w.run(8 * time.Second)
					w.takesIn = 60 * time.Millisecond
					w.bytes, w.store.calls, w.calls, w.pulled = 0, 0, 0, 0
					clear(w.kinds)
					clear(w.messages)
					items := w.published.Items()
					r := w.published.Revision()
					var list []mirror.Item
					for i, it := range items[1 : changes+1] {
						list = append(list, mirror.Item{Key: it.Key, Value: []byte(string(it.Value) + " "), Revision: r + uint64(i) + 1})
					}
					w.published.Apply(r, r+uint64(changes), list)
					start := w.now
					pulls := 0
					for len(w.behind()) > 0 && w.now-start < 10*time.Second {
						w.run(20 * time.Millisecond)
						pulls = max(pulls, len(w.pulls))
					}
					b.ReportMetric(float64((w.now - start).Milliseconds()), "all-ms")
					b.ReportMetric(float64(w.pulled), "pulls")
					b.ReportMetric(float64(w.bytes), "bytes")
					b.ReportMetric(float64(w.store.calls+w.calls), "calls")
				}
			})
		}
	}
}
