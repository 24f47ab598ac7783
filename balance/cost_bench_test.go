package balance

import (
	"fmt"
	"testing"
)

// BenchmarkPlace measures a placement, with fleets from a few upstreams up to the target size.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{9, 90, 1000, 10000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			f := newTestFleet(n)
			for i := range b.N {
				if _, ok := f.Place(0, prompt(uint64(1+i%500)), nil); !ok {
					b.Fatal("no place")
				}
			}
		})
	}
}

// BenchmarkExchangeLoads measures reporting and receiving loads, which happens ten times a
// second.
func BenchmarkExchangeLoads(b *testing.B) {
	for _, n := range []int{9, 90, 1000, 10000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			f := newTestFleet(n)
			others := make(map[LoadKey]Load)
			for i := range min(n, 90) {
				others[LoadKey{Key(fmt.Sprintf("u%d", i)), i % 3}] = Load{Unread: 640, Requests: 1}
				f.Open(0, fmt.Sprintf("u%d", i), prompt(1))
			}
			for range b.N {
				f.Loads()
				f.SetRemoteLoads(others)
			}
		})
	}
}
