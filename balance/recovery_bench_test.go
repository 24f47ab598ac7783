package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDomainRecovery measures the cost for a box when a third of a service's upstreams
// become reachable again, with a limit on cold upstreams.
func BenchmarkDomainRecovery(b *testing.B) {
	for _, n := range []int{600, 6000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			f := newTestFleet(n)
			f.SetCold("s", ColdLimit{Duration: 3 * time.Second, MaxPerSecond: 12})
			now := time.Duration(0)
			for b.Loop() {
				now += 10 * time.Second
				for i := range n / 3 {
					f.markUnreachable(f.byID[fmt.Sprint("u", i)], false)
				}
				for i := range n / 3 {
					f.markRecovered(now, f.byID[fmt.Sprint("u", i)])
				}
				f.NotePublished(now+5*time.Second, now)
				f.Unreachable()
			}
		})
	}
}
