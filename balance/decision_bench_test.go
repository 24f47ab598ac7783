package balance

import (
	"fmt"
	"testing"
)

// BenchmarkDecision measures placing and counting a prompt when the memory of the upstreams is
// known.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{600, 6000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			f := newTestFleet(n)
			f.SetMemory("s", 478161)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				r := prompt(uint64(1 + i))
				c, ok := f.Place(0, r, nil)
				if !ok {
					b.Fatal("no place")
				}
				f.Open(0, c.Upstream.ID, r).Close(0, Neutral)
			}
		})
	}
}
