package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/doormast/doormast/balance"
)

// BenchmarkDomain measures the messages within a domain, idle and under load: bytes per second of
// a member and of the leader, without datagram headers.
func BenchmarkDomain(b *testing.B) {
	for _, boxes := range []int{10, 30, 93} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("boxes=%d/busy=%v", boxes, busy), func(b *testing.B) {
				for range b.N {
					w := newSimulation(b, 1)
					w.startFleet(1, boxes)
					w.run(5 * time.Second)
					w.totalBytes, w.publisherCalls = 0, 0
					clear(w.bytesByBox)
					const span = 10
					for s := range span * 5 {
						if busy {
							w.shuffleLoads(s)
						}
						w.run(200 * time.Millisecond)
					}
					leaderBytes := w.bytesByBox[boxName(0, 0)]
					b.ReportMetric(float64(leaderBytes)/span, "lead-B/s")
					b.ReportMetric(float64(w.totalBytes-leaderBytes)/span/float64(boxes-1), "member-B/s")
					b.ReportMetric(float64(w.publisherCalls)/span, "calls/s")
				}
			})
		}
	}
}

// shuffleLoads gives each box loads on four upstreams that change with every step.
func (w *simulation) shuffleLoads(step int) {
	for i, name := range w.names {
		loads := make(Loads)
		for u := range 4 {
			loads[balance.LoadKey{Upstream: uint32((i*7 + u*13 + step) % 345), Urgency: u % 3}] = balance.Load{Unread: 640 * (step%9 + 1), Requests: 1 + step%3}
		}
		w.boxes[name].node.SetLoads(loads)
	}
}
