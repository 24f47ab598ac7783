package decide

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
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

// TestClaims checks the verdict on a claim on both sides of each assumption about clocks, lists of
// boxes and incarnations.
func TestClaims(t *testing.T) {
	const wall = 1_800_000_000 * time.Second
	dated := func(at time.Duration) Key {
		k, err := ParseKey(fmt.Sprintf("dmd1:d:%d:n", at.Milliseconds()))
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	alone := []string{"b"}
	for _, c := range []struct {
		name string
		do   func(c *Claims) ClaimVerdict
		want ClaimVerdict
	}{
		{"dated key issued long after the list was agreed on", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+9*time.Second), "b", 1, true)
		}, ClaimGranted},
		{"dated key issued within the margin after the agreement", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+time.Second), "b", 1, true)
		}, ClaimUnvouched},
		{"dated key issued just after the margin", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+MaxSkew+c.margin+time.Millisecond), "b", 1, true)
		}, ClaimGranted},
		{"dated key issued exactly at the margin", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+MaxSkew+c.margin), "b", 1, true)
		}, ClaimUnvouched},
		{"dated key issued more than MaxSkew in the future", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+10*time.Second+MaxSkew+time.Millisecond), "b", 1, true)
		}, ClaimUnvouched},
		{"dated key older than KeyLife", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+time.Hour, dated(wall+time.Minute), "b", 1, true)
		}, ClaimUnvouched},
		{"dated key while a listed box is unreachable", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+9*time.Second), "b", 1, false)
		}, ClaimUnvouched},
		{"dated key of another failure domain", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			k := dated(wall + 9*time.Second)
			k.Domain = "other"
			return c.Claim(0, wall+10*time.Second, k, "b", 1, true)
		}, ClaimElsewhere},
		{"dated key after the recorded lists were discarded", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			c.Forget()
			c.Observe(wall+9*time.Second, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+9*time.Second), "b", 1, true)
		}, ClaimUnvouched},
		{"same key claimed by a second request", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			k := dated(wall + 9*time.Second)
			c.Claim(0, wall+10*time.Second, k, "b", 1, true)
			return c.Claim(0, wall+10*time.Second, k, "b", 2, true)
		}, ClaimDuplicate},
		{"claim repeated by the same request", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			k := dated(wall + 9*time.Second)
			c.Claim(0, wall+10*time.Second, k, "b", 1, true)
			return c.Claim(0, wall+10*time.Second, k, "b", 1, true)
		}, ClaimGranted},
		{"key released by the first request", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			k := dated(wall + 9*time.Second)
			c.Claim(0, wall+10*time.Second, k, "b", 1, true)
			c.Release(k, "b", 1)
			return c.Claim(0, wall+10*time.Second, k, "b", 2, true)
		}, ClaimGranted},
		{"minted key while other boxes are unreachable", func(c *Claims) ClaimVerdict {
			k, _ := ParseKey(c.Mint(time.Second))
			return c.Claim(2*time.Second, wall, k, "b", 1, false)
		}, ClaimGranted},
		{"minted key of an earlier incarnation", func(*Claims) ClaimVerdict {
			old := NewClaims("d", "b", 1, time.Second)
			k, _ := ParseKey(old.Mint(time.Second))
			return NewClaims("d", "b", 2, time.Second).Claim(2*time.Second, wall, k, "b", 1, true)
		}, ClaimElsewhere},
		{"minted key older than KeyLife", func(c *Claims) ClaimVerdict {
			k, _ := ParseKey(c.Mint(time.Second))
			return c.Claim(2*time.Second+KeyLife, wall, k, "b", 1, true)
		}, ClaimUnvouched},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.do(NewClaims("d", "b", 1, 2*time.Second)), c.want)
		})
	}
}

func TestParseKey(t *testing.T) {
	for _, text := range []string{"", "dmd1:d:x:n", "dmd1:d:1", "dmk1:d:b:zz:1:n", "dmd1:d:-1:n"} {
		if _, err := ParseKey(text); err == nil {
			t.Errorf("ParseKey(%q) succeeded, want an error", text)
		}
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add("dmd1:d:1800000000000:n")
	f.Add("dmk1:d:b:ff:1:n")
	f.Add("plain")
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := ParseKey(text); err == nil && k.Text != text {
			t.Errorf("ParseKey(%q) returned a key with text %q", text, k.Text)
		}
	})
}

func TestMayRetry(t *testing.T) {
	full := Failure{Repeatable: true, Resumable: true, TimeLeft: true, Attempts: 1}
	for _, c := range []struct {
		name string
		edit func(*Failure)
		want Reason
	}{
		{"has not run", func(*Failure) {}, NoReason},
		{"has not run, not repeatable", func(f *Failure) { f.Repeatable = false }, NoReason},
		{"may have run, not repeatable", func(f *Failure) { f.Repeatable, f.MayHaveRun = false, true }, UpstreamFailed},
		{"may have run, repeatable", func(f *Failure) { f.MayHaveRun = true }, NoReason},
		{"partially delivered, resumable", func(f *Failure) { f.MayHaveRun, f.Delivered = true, 5 }, NoReason},
		{"partially delivered, not resumable", func(f *Failure) { f.MayHaveRun, f.Delivered, f.Resumable = true, 5, false }, UpstreamFailed},
		{"deadline passed", func(f *Failure) { f.TimeLeft = false }, Late},
		{"too many attempts", func(f *Failure) { f.Attempts = maxAttempts }, RetriesSpent},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := full
			c.edit(&f)
			budget := new(RetryBudget)
			budget.RecordAttempt(1)
			is.New(t).Equal(MayRetry(f, budget), c.want)
		})
	}
	var b RetryBudget
	n := 0
	b.RecordAttempt(1)
	for b.Spend() {
		n++
	}
	for range 99 {
		b.RecordAttempt(1)
	}
	for b.Spend() {
		n++
	}
	if n > retryBurst+100*retryRatio+1 {
		t.Errorf("%d retries for 100 attempts exceed the budget", n)
	}
}

// TestRetryBurstIsSharedByBoxes guards against a burst of retries per box: each start of each box
// granted a class the whole burst, so that the retries grew with the number of boxes and restarts.
func TestRetryBurstIsSharedByBoxes(t *testing.T) {
	const boxes, attempts, restarts = 5, 1000, 20
	var all [boxes]RetryBudget
	retries := 0
	spendAll := func() {
		for i := range all {
			for all[i].Spend() {
				retries++
			}
		}
	}
	for i := range attempts {
		all[i%boxes].RecordAttempt(boxes)
		if i%(attempts/restarts) == 0 {
			spendAll()
			all[i%boxes] = RetryBudget{}
		}
	}
	spendAll()
	if bound := retryBurst + attempts*retryRatio + restarts*float64(retryBurst)/boxes; float64(retries) > bound {
		t.Errorf("%d retries for %d attempts, want at most %.0f", retries, attempts, bound)
	}
}

func TestLengths(t *testing.T) {
	is := is.New(t)
	var l Lengths
	is.Equal(l.Mean(), lengthPrior)
	for range 500 {
		l.Add(100)
	}
	is.True(math.Abs(l.Mean()-100) < 10)
	is.True(l.Remaining(50) > 30 && l.Remaining(50) < 90)
	is.True(l.Remaining(400) > 0) // longer than any recorded answer
	for range 2000 {
		l.Add(1000)
	}
	is.True(l.Mean() > 900) // old samples decay
}

// TestOwner checks that removing a box moves only the keys that it owned.
func TestOwner(t *testing.T) {
	is := is.New(t)
	boxes := []string{"a", "b", "c", "d"}
	for i := range 200 {
		key := fmt.Sprint(i)
		before, after := Owner(key, boxes), Owner(key, boxes[:3])
		if before != "d" {
			is.Equal(before, after)
		}
		is.Equal(Rank(key, before, boxes), 0)
	}
}
