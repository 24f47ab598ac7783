package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testLimits = coverageLimits{maxGap: 1700 * time.Millisecond, minOutage: 2200 * time.Millisecond, maxSpread: 500 * time.Millisecond}

// at returns a coverage, in ms, without an outage before it.
func at(since, until int) coverage {
	return coverageFrom(ms(since), ms(until))
}

// afterOutage returns a coverage, in ms, after an outage.
func afterOutage(since, until, outage int) coverage {
	return coverage{since: ms(since), until: ms(until), before: never, outage: ms(outage), uncertainUntil: ms(since) + reappearPeriod}
}

// after returns a coverage before which there was an answer, in ms.
func (c coverage) after(before int) coverage {
	c.before = ms(before)
	return c
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestCoveragesMerge(t *testing.T) {
	for _, test := range []struct {
		name       string
		a, b, want coverage
	}{
		{"nothing is known", noCoverage, at(5000, 6000), at(5000, 6000).after(-3600000)},
		{"answers in succession", at(1000, 5000), at(6500, 6500), at(1000, 6500)},
		{"a gap in which some box need not have had its turn", at(1000, 5000), afterOutage(7100, 7100, 4000), at(7100, 7100).after(5000)},
		{"a longer gap, nobody failed", at(1000, 5000), at(8000, 8000), at(8000, 8000).after(5000)},
		{"an outage", at(1000, 5000), afterOutage(9000, 9000, 4000), afterOutage(9000, 9000, 4000).after(5000)},
		{"an outage, told late", at(1000, 5000), afterOutage(9000, 9500, 4000), afterOutage(9000, 9500, 4000).after(5000)},
		{"others have read all the time", at(1000, 8800), afterOutage(9000, 9000, 4000), at(1000, 9000)},
		{"others could read sooner", at(7000, 8800), afterOutage(9000, 9000, 4000), at(7000, 9000)},
		{"another box has read a little sooner", at(8700, 8700), afterOutage(9000, 9000, 4000),
			coverage{since: ms(8700), until: ms(9000), before: never, outage: ms(3700), uncertainUntil: ms(9000) + reappearPeriod}},
		{"another one has taken over from the reader just now", at(8700, 8700).after(6900), afterOutage(9000, 9000, 4000), at(8700, 9000).after(6900)},
		{"one knows that it was shorter", at(1000, 6500), afterOutage(9000, 9000, 4000), afterOutage(9000, 9000, 2500).after(6500)},
		{"two boxes know of the outage", afterOutage(8900, 8900, 3900), afterOutage(9000, 9500, 4000), afterOutage(8900, 9500, 3900)},
		{"a copy that lags", at(1000, 7500), afterOutage(9000, 9000, 4000), at(1000, 9000)},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(testLimits.merge(test.a, test.b), test.want)
			is.Equal(testLimits.merge(test.b, test.a), test.want)
		})
	}
}

// Whatever boxes say, an outage that one of them claims is not believed while another one is known to
// have read in it.
func TestNoOutageIsKnownWhileSomeBoxReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.IntRange(20000, 30000).Draw(t, "end")
		claim := afterOutage(end, end, rapid.IntRange(2201, 15000).Draw(t, "outage"))
		covered := at(end-rapid.IntRange(501, 15000).Draw(t, "covered"), end-rapid.IntRange(0, 500).Draw(t, "age"))
		said := []coverage{claim, covered, claim, noCoverage, at(end, end+100)}
		known := noCoverage
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "order") {
			known = testLimits.merge(known, said[i])
		}
		if known.outage != 0 || known.uncertainUntil != never {
			t.Fatalf("%v", known)
		}
	})
}
