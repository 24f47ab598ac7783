package decide

import (
	"testing"

	"github.com/matryer/is"
)

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
