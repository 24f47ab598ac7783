package relay

import (
	"fmt"
	"testing"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// BenchmarkApplyList measures how long a box takes to apply the list of all upstreams, without
// decoding, and then the document that names their service.
func BenchmarkApplyList(b *testing.B) {
	for _, n := range []int{600, 6000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				x := newTestBoxWithConfig(b, func(*Config) {})
				doc, _ := route.New(testDocument(1))
				b.StartTimer()
				for i := range n {
					u := balance.Upstream{ID: fmt.Sprintf("u%d", i), StartedAt: 5, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Domain: fmt.Sprintf("d%d", i%5), Slots: 64, Revision: 1}
					x.relay.applyUpdate(Update{Upstream: &u}, 0, nil)
				}
				x.relay.applyUpdate(Update{Document: doc}, 0, nil)
			}
		})
	}
}
