package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// In the first span of a limit of 1 per second, a bound of 11 requests holds, of which at most 5
// are sent; this domain has 3 of them.
func TestFirstSpanAllowsWhatEarlierRequestsLeave(t *testing.T) {
	for _, c := range []struct {
		prior, sends int
	}{{0, 3}, {6, 3}, {7, 2}, {9, 1}, {10, 1}, {11, 0}, {40, 0}} {
		t.Run(fmt.Sprint(c.prior), func(t *testing.T) {
			is := is.New(t)
			f := limitedFleet(1, 2)
			f.advertiseLimit(time.Second, "u0", 1)
			f.notePriorTotal("u0", c.prior)
			to := make(map[string]int)
			for range 10 {
				to[f.placeAndSend(2*time.Second, 0)]++
			}
			is.Equal(to["u0"], c.sends)
			is.Equal(to["u1"], 10-c.sends) // no request is refused
			is.True(!f.LimitExhausted(7*time.Second, "u0"))
		})
	}
}

// A total counts for the limit that it was determined for, not for a later one.
func TestPriorTotalOfEarlierLimitIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name  string
		again func(f *Fleet)
	}{
		{"the limit drops", func(f *Fleet) { f.advertiseLimit(1100*time.Millisecond, "u0", 0.5) }},
		{"the limit ends and begins again", func(f *Fleet) {
			f.NoteLimitStatement(1200*time.Millisecond, f.byID["u0"].Incarnation(), LimitStatement{Sent: 1100 * time.Millisecond, Read: 1200 * time.Millisecond})
			f.advertiseLimit(1500*time.Millisecond, "u0", 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := limitedFleet(1, 2)
			f.advertiseLimit(time.Second, "u0", 1)
			earlier := PriorCount{Life: f.keyOf("u0"), Start: f.limits.active(f.keyOf("u0")).start()}
			f.NotePriorTotals([]PriorCount{earlier})
			is.True(!f.LimitExhausted(time.Second, "u0"))
			c.again(f)
			is.True(f.LimitExhausted(1600*time.Millisecond, "u0"))
			f.NotePriorTotals([]PriorCount{earlier})
			is.True(f.LimitExhausted(1600*time.Millisecond, "u0"))
			f.notePriorTotal("u0", 0)
			is.True(!f.LimitExhausted(1600*time.Millisecond, "u0"))
		})
	}
}

// A box reports the requests that it sent before it knew a limit, until the first span is over.
func TestPriorCountsAreReportedInFirstSpan(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	for i := range 3 {
		f.Open(time.Duration(i)*100*time.Millisecond, "u0", Request{Service: "s"})
	}
	f.advertiseLimit(time.Second, "u0", 1)
	u0 := PriorCount{Life: f.keyOf("u0"), Start: LimitStart{1, time.Second}, Sent: 3}
	list, changed := f.TakePriorCounts(2 * time.Second)
	is.True(changed)
	is.Equal(list, []PriorCount{u0})
	_, changed = f.TakePriorCounts(2 * time.Second)
	is.True(!changed)
	f.notePriorTotal("u0", 0)
	f.Open(2*time.Second, "u0", Request{Service: "s"}) // later requests are not part of it
	f.advertiseLimit(3*time.Second, "u1", 2)
	list, _ = f.TakePriorCounts(3 * time.Second)
	u1 := PriorCount{Life: f.keyOf("u1"), Start: LimitStart{2, 3 * time.Second}}
	is.True(slices.Contains(list, u0))
	is.True(slices.Contains(list, u1))
	list, changed = f.TakePriorCounts(6 * time.Second)
	is.True(changed)
	is.Equal(list, []PriorCount{u1})
}

// One report told a box that a limit had ended and begun again. The box kept the total of the earlier
// limit, or none at all.
func TestLimitThatBeginsAgainInOneReportIsCounted(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	f.advertiseLimit(time.Second, "u0", 1)
	f.notePriorTotal("u0", 0)
	f.Open(1500*time.Millisecond, "u0", Request{Service: "s"})
	f.MergeLimits(2*time.Second, []LimitReport{{Life: f.keyOf("u0"), PerSecond: 1, Since: 400 * time.Millisecond, Read: 400 * time.Millisecond,
		HasEnded: true, Ended: 700 * time.Millisecond}})
	is.True(f.LimitExhausted(2*time.Second, "u0"))
	list, changed := f.TakePriorCounts(2 * time.Second)
	is.True(changed)
	is.Equal(list, []PriorCount{{Life: f.keyOf("u0"), Start: LimitStart{1, 1600 * time.Millisecond}, Sent: 1}})
	f.notePriorTotal("u0", 1)
	is.True(!f.LimitExhausted(2*time.Second, "u0"))
}

// However unevenly boxes have sent requests to an upstream before it advertised a limit, it gets no
// more than the bound afterwards in any span that contains them, unless they exceed it themselves.
func TestFirstSpanStaysWithinBoundForUnevenLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0, 0.3, 0.5, 1, 3.3, 12}).Draw(t, "limit")
		bound := int(testLimitBounds.maxRequests(perSecond))
		boxes := boxNames(rapid.IntRange(1, 8).Draw(t, "boxes"))
		var fleets []*Fleet
		total := 0
		for _, box := range boxes {
			f := NewFleet(Config{Domain: "d0", Tuning: DefaultTuning, LimitBounds: testLimitBounds})
			f.SetQuotaPeers(QuotaPeers{Box: box, Boxes: boxes})
			f.Put(0, Upstream{ID: "u0", Service: "s", Address: "10.0.0.1:1", Domain: "d0", Slots: 1000})
			sent := rapid.SampledFrom([]int{0, 0, 1, 5, 20}).Draw(t, "sent")
			for range sent {
				f.Open(900*time.Millisecond, "u0", Request{Service: "s"}).Close(time.Second, Answered)
			}
			total += sent
			fleets = append(fleets, f)
		}
		for _, f := range fleets {
			f.advertiseLimit(time.Second, "u0", perSecond)
			f.notePriorTotal("u0", total)
		}
		later := 0
		for now := time.Second; now < 5900*time.Millisecond; now += 100 * time.Millisecond {
			for _, f := range fleets {
				if f.placeAndSend(now, 0) != "" {
					later++
				}
			}
		}
		if later > max(0, bound-total) {
			t.Fatalf("%d requests before a limit of %v and %d after it, %d are allowed", total, perSecond, later, bound)
		}
	})
}
