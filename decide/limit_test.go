package decide

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSharesStayWithinLimit makes random loans between boxes, some of them lost or delayed, and
// checks that the sum of the effective shares never exceeds the limit.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		boxes := rapid.IntRange(1, 6).Draw(rt, "boxes")
		limit := float64(rapid.IntRange(1, 20).Draw(rt, "limit"))
		var shares []*Share
		for i := range boxes {
			shares = append(shares, NewShare(0, ConcurrencyLimit, limit, boxes, i))
		}
		now := Time(0)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			from, to := rapid.IntRange(0, boxes-1).Draw(rt, "from"), rapid.IntRange(0, boxes-1).Draw(rt, "to")
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				asked := now
				amount := shares[from].Lend(now, float64(rapid.IntRange(1, 5).Draw(rt, "want")))
				late := now + time.Duration(rapid.IntRange(0, 7000).Draw(rt, "late"))*time.Millisecond
				if amount > 0 && from != to && rapid.Bool().Draw(rt, "arrives") {
					shares[to].Borrow(late, asked, amount, LoanLife)
				}
			case 1:
				shares[from].Acquire(now)
			case 2:
				if shares[from].inUse > 0 {
					shares[from].Release()
				}
			}
			sum := 0.0
			for _, s := range shares {
				sum += s.effective(now)
			}
			if sum > limit+1e-9 {
				rt.Fatalf("effective shares add up to %g, limit is %g", sum, limit)
			}
		}
	})
}

// TestRateStaysWithinLimit checks that in any period the boxes admit at most the rate times the
// period, plus the burst and one request per box.
func TestRateStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		boxes := rapid.IntRange(1, 5).Draw(rt, "boxes")
		limit := float64(rapid.IntRange(1, 50).Draw(rt, "limit"))
		var shares []*Share
		for i := range boxes {
			shares = append(shares, NewShare(0, RateLimit, limit, boxes, i))
		}
		now, admitted := Time(0), 0
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond
			i := rapid.IntRange(0, boxes-1).Draw(rt, "box")
			if shares[i].Acquire(now) {
				admitted++
			}
			if most := limit*now.Seconds() + limit*burstSeconds + float64(boxes); float64(admitted) > most {
				rt.Fatalf("%d requests admitted in %v, want at most %g", admitted, now, most)
			}
		}
	})
}

func TestShareSizesAddUp(t *testing.T) {
	for boxes := 1; boxes <= 9; boxes++ {
		for limit := 0; limit <= 30; limit++ {
			sum := 0.0
			for rank := range boxes {
				sum += ShareSize(ConcurrencyLimit, float64(limit), boxes, rank)
			}
			if sum != float64(limit) {
				t.Errorf("shares of a limit of %d among %d boxes add up to %g", limit, boxes, sum)
			}
		}
	}
}
