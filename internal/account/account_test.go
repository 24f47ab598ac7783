package account

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTotalStaysWithinBound runs random operations and checks that the account's
// total equals the sum of its leases, stays within the limit, and is 0 once all
// leases are closed.
func TestTotalStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Int64Range(0, 1000).Draw(t, "bound")
		a := New(bound)
		leases := make([]*Lease, 5)
		held := make([]int64, len(leases))
		closed := make([]bool, len(leases))
		for i := range leases {
			leases[i] = a.Lease()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(leases)-1).Draw(t, "lease")
			n := rapid.Int64Range(0, 700).Draw(t, "bytes")
			share := rapid.SampledFrom([]float64{0.5, 0.9, 1, 1.5}).Draw(t, "share")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				leases[i].Shrink(n)
				held[i] = min(held[i], n)
			case 1:
				leases[i].Close()
				held[i], closed[i] = 0, true
			default:
				fits := leases[i].Fits(n, share)
				if grown := leases[i].Grow(n, share); grown != fits || grown && closed[i] {
					t.Fatalf("grown %v, fits %v, closed %v", grown, fits, closed[i])
				} else if grown {
					held[i] += n
				}
			}
			sum := int64(0)
			for i, l := range leases {
				if l.Held() != held[i] {
					t.Fatalf("lease %d holds %d, want %d", i, l.Held(), held[i])
				}
				sum += held[i]
			}
			if a.Used() != sum || a.Used() < 0 || bound > 0 && (a.Used() > bound || a.Peak() > bound) {
				t.Fatalf("used %d, sum of leases %d, peak %d, bound %d", a.Used(), sum, a.Peak(), bound)
			}
		}
		for _, l := range leases {
			l.Close()
		}
		if a.Used() != 0 {
			t.Fatalf("%d still held after all leases were closed", a.Used())
		}
	})
}

func TestLowerSharesAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	a := New(100)
	l := a.Lease()
	is.True(l.Grow(50, 0.5))
	is.True(!l.Grow(1, 0.5))
	is.True(l.Grow(40, 0.9))
	is.True(l.Grow(10, 1))
	is.True(!l.Grow(1, 1.5)) // a share above 1 does not exceed the limit
}

func TestAwaitGrowsAfterRelease(t *testing.T) {
	is := is.New(t)
	a := New(100)
	first := a.Lease()
	is.True(first.Grow(100, 1))
	var wg sync.WaitGroup
	leases := make([]*Lease, 10)
	for i := range leases {
		leases[i] = a.Lease()
		wg.Go(func() {
			if leases[i].Await(context.Background(), 20, 1) {
				leases[i].Close()
			}
		})
	}
	first.Close()
	wg.Wait()
	is.Equal(a.Used(), int64(0))
	is.Equal(a.Peak(), int64(100))

	is.True(a.Lease().Grow(100, 1))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(!a.Lease().Await(ctx, 1, 1)) // the context has ended
	closed := a.Lease()
	closed.Close()
	is.True(!closed.Await(context.Background(), 1, 1))
}
