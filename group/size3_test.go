package group

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkSweepKilled(b *testing.B) {
	for _, l := range []layout{{6, 3}, {3, 1}} {
		for _, takes := range []time.Duration{0, 60, 300, 600, 1000} {
			b.Run(fmt.Sprintf("domains=%d/takes=%d", l.domains, takes), func(b *testing.B) {
				for range b.N {
					w := across(b, 1, l, 300)
					w.listUpstreams(3000)
					w.takesIn = takes * time.Millisecond
					start := w.now + 500*time.Millisecond
					w.killAll()
					w.run(20 * time.Second)
					known := w.knownAfter(start)
					b.ReportMetric(float64(known[len(known)/2].Milliseconds()), "half-ms")
					b.ReportMetric(float64(known[len(known)-1].Milliseconds()), "all-ms")
					b.ReportMetric(float64(w.store.calls), "pages")
				}
			})
		}
	}
}
