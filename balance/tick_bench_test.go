package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures the periodic work of a box, ten times a second, independent of its
// requests. A few of many upstreams have work.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{600, 6000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			f := newTestFleet(n)
			others := make(map[LoadKey]Load)
			for i := range 400 {
				others[LoadKey{Key(fmt.Sprintf("u%d", i)), i % 3}] = Load{Unread: 640, Requests: 1}
			}
			for i := range 4 {
				f.Open(0, fmt.Sprintf("u%d", i), prompt(uint64(i+1)))
			}
			now := time.Duration(0)
			for b.Loop() {
				now += 100 * time.Millisecond
				f.Loads()
				f.SetRemoteLoads(others)
				f.NoteClasses(f.Classes())
				f.SizeLanes(now, nil)
				f.Lanes()
			}
		})
	}
}
