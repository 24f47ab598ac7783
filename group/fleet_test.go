package group

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// publishEntries publishes entries of upstreams. The publisher serves them in pages of 200,
// 16,000 per second. Boxes have links of 20 Mbit/s, and answer no pulls for 100 ms after they
// have received all data.
func (w *simulation) publishEntries(count int) {
	items := append(w.published.Items(), upstreamEntries(count, 1)...)
	for i := range items {
		items[i].Revision = 1
	}
	w.published.Load(items, 1)
	const page = 200
	w.pages = pagedPublisher{perSecond: 16000, pages: len(items)/page + 1, timeout: 900 * time.Millisecond}
	w.linkRate, w.snapshotDelay = 20e6/8, 100*time.Millisecond
}

// changeEntries changes some entries at the same moment.
func (w *simulation) changeEntries(entries int) {
	r := w.published.Revision()
	list := w.published.Items()[1 : entries+1]
	for i := range list {
		list[i].Value, list[i].Revision = fmt.Appendf(nil, "%s %d", list[i].Value, rand.IntN(1000)), r+uint64(i)+1
	}
	w.published.Apply(r, r+uint64(entries), list)
}

// In a fleet of 585 boxes and 6,000 upstreams all boxes hold the published data 5 s after a
// restart of all boxes, with at most a third of the calls to the publisher that separate reads
// would take. A simultaneous change of one upstream in forty also reaches all boxes.
func TestFleetRecoversDataQuickly(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 1, layout{5, 1}, 585)
	w.publishEntries(6000)
	start := w.now + 500*time.Millisecond
	w.restartAll()
	w.run(5 * time.Second)
	known := w.dataDelays(start)
	t.Logf("half of the boxes after %v, all after %v, %d pages", known[len(known)/2], known[len(known)-1], w.pages.calls)
	is.Equal(w.staleBoxes(), nil)
	is.True(w.pages.calls < 585*w.pages.pages/3)
	w.publisherCalls, w.snapshotsPulled = 0, 0
	w.changeEntries(150)
	w.run(400 * time.Millisecond)
	is.Equal(w.staleBoxes(), nil)
	is.Equal(w.snapshotsPulled, 0)
	is.True(w.publisherCalls < 10) // of the box that reads for all
}

// BenchmarkFleetRestart measures, after a restart of all boxes at once, when half, 99 % and all
// of them hold the published data, in ms, and how many pages they requested from the publisher.
func BenchmarkFleetRestart(b *testing.B) {
	for _, boxes := range []int{150, 585, 1170} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			for range b.N {
				w := startRegions(b, 1, layout{5, 1}, boxes)
				w.publishEntries(boxes * 10)
				start := w.now + 500*time.Millisecond
				w.restartAll()
				w.run(8 * time.Second)
				known := w.dataDelays(start)
				b.ReportMetric(float64(known[len(known)/2].Milliseconds()), "half-ms")
				b.ReportMetric(float64(known[len(known)*99/100].Milliseconds()), "99-ms")
				b.ReportMetric(float64(known[len(known)-1].Milliseconds()), "all-ms")
				b.ReportMetric(float64(w.pages.calls), "pages")
			}
		})
	}
}

// BenchmarkBulkChange measures how long it takes until all boxes know of entries that change at
// the same moment, and the cost: pulls of all data, calls to the publisher, and bytes between
// boxes without pulls.
func BenchmarkBulkChange(b *testing.B) {
	for _, boxes := range []int{150, 585} {
		for _, changes := range []int{20, 142, 780} {
			b.Run(fmt.Sprintf("boxes=%d/changes=%d", boxes, changes), func(b *testing.B) {
				for range b.N {
					benchBulkChange(b, boxes, changes)
				}
			})
		}
	}
}

func benchBulkChange(b *testing.B, boxes, changes int) {
	w := startRegions(b, 1, layout{5, 1}, boxes)
	w.publishEntries(6000)
	w.restartAll()
	w.run(8 * time.Second)
	w.totalBytes, w.pages.calls, w.publisherCalls, w.snapshotsPulled = 0, 0, 0, 0
	w.changeEntries(changes)
	start := w.now
	for len(w.staleBoxes()) > 0 && w.now-start < 10*time.Second {
		w.run(20 * time.Millisecond)
	}
	b.ReportMetric(float64((w.now - start).Milliseconds()), "all-ms")
	b.ReportMetric(float64(w.snapshotsPulled), "pulls")
	b.ReportMetric(float64(w.totalBytes), "bytes")
	b.ReportMetric(float64(w.pages.calls+w.publisherCalls), "calls")
}

// At the first start of a fleet, pulls by hundreds of boxes take longer than a second. When boxes
// then read everything themselves, 585 boxes requested 7,497 pages, although no callers were
// waiting yet.
func TestFirstStartReadsRarely(t *testing.T) {
	is := is.New(t)
	const boxes, domains = 585, 5
	w := newSimulation(t, 1)
	w.publishEntries(6000)
	for d := range 3 {
		w.seeds = append(w.seeds, boxName(d, boxes/domains-1))
	}
	for i := range boxes {
		w.start(boxName(i%domains, i/domains), domainName(i%domains), uint32(1000-i), true)
		if i%10 == 0 {
			w.run(step)
		}
	}
	w.run(4 * time.Second)
	t.Logf("%d pages", w.pages.calls)
	is.Equal(w.staleBoxes(), nil)
	is.True(w.pages.calls < boxes*w.pages.pages/5) // a fifth of the pages that separate reads would take
}
