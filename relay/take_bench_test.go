package relay

import (
	"fmt"
	"testing"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// BenchmarkTakeList tells what it costs a box to take in the list of all upstreams, decoding aside, and then the
// document that names their service.
func BenchmarkTakeList(b *testing.B) {
	for _, n := range []int{600, 6000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				x := newTestBoxWithConfig(b, func(*Config) {})
				doc, _ := route.New(testDocument(1))
				b.StartTimer()
				for i := range n {
					u := balance.Upstream{ID: fmt.Sprintf("u%d", i), StartedAt: 5, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Domain: fmt.Sprintf("d%d", i%5), Slots: 64, Revision: 1}
					x.relay.takeNews(Update{Upstream: &u}, 0, nil)
				}
				x.relay.takeNews(Update{Document: doc}, 0, nil)
			}
		})
	}
}
