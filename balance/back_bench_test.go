package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkADomainComesBack tells what it costs a box that a third of a service's upstreams can be reached again, where cold ones are
// bounded.
func BenchmarkADomainComesBack(b *testing.B) {
	for _, n := range []int{600, 6000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			f := newTestFleet(n)
			f.SetCold("s", ColdLimit{Lasts: 3 * time.Second, Most: 12})
			now := time.Duration(0)
			for b.Loop() {
				now += 10 * time.Second
				for i := range n / 3 {
					f.markOut(f.byID[fmt.Sprint("u", i)], false)
				}
				for i := range n / 3 {
					f.returns(now, f.byID[fmt.Sprint("u", i)])
				}
				f.Told(now+5*time.Second, now)
				f.Unreached()
			}
		})
	}
}
