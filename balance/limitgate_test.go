package balance

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testLimitBounds are typical bounds of a deployment.
var testLimitBounds = LimitBounds{Span: 4 * time.Second, Overshoot: 1.5, Slack: 5}

// limitedFleet is the fleet of one box, with upstreams in two domains.
func limitedFleet(boxes int, upstreams int) *Fleet {
	f := NewFleet(Config{Domain: "d0", Tuning: DefaultTuning, LimitBounds: testLimitBounds, FirstStart: true})
	f.SetQuotaPeers(QuotaPeers{Box: "box0", Boxes: boxNames(boxes)})
	f.SetBoxes(2*boxes, true)
	for i := range upstreams {
		f.Put(0, Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1"), Domain: fmt.Sprint("d", i%2), Slots: 8})
	}
	return f
}

// advertiseLimit records an answer from an upstream that advertises a limit.
func (f *Fleet) advertiseLimit(now time.Duration, id string, perSecond float64) {
	f.NoteLimitStatement(now, f.byID[id].Incarnation(), LimitStatement{Named: true, PerSecond: perSecond, Sent: now - 1, Read: now})
}

// notePriorTotal records that all boxes together sent an upstream a number of requests before they
// knew its limit.
func (f *Fleet) notePriorTotal(id string, sent int) {
	key := f.keyOf(id)
	f.NotePriorTotals([]PriorCount{{Life: key, Start: f.limits.active(key).start(), Sent: sent}})
}

func TestLimitAllowance(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		requests  int
		span      time.Duration
	}{
		{100, 302, 5 * time.Second}, // half of the bound
		{3.3, 12, 5 * time.Second},  // half of the bound
		{1, 5, 5 * time.Second},
		{0.5, 2, 5 * time.Second},
		{0.2, 1, 5 * time.Second},
		{0.125, 1, 8 * time.Second},
		{0.01, 1, probeInterval}, // otherwise the end of the limit would go unnoticed
		{0, 1, probeInterval},
		{NoLimit, 3000002, 5 * time.Second},
	} {
		t.Run(fmt.Sprint(c.perSecond), func(t *testing.T) {
			is := is.New(t)
			requests, span := testLimitBounds.allowance(c.perSecond)
			is.Equal(requests, c.requests)
			is.Equal(span, c.span)
		})
	}
	is := is.New(t)
	requests, _ := LimitBounds{Span: 4 * time.Second}.allowance(2) // no slack
	is.Equal(requests, 4)
}

// For any set of boxes and domains, boxes that know of each other together send what the limit
// allows, and the boxes of a partitioned domain send no more than the bound.
func TestLimitQuotasAddUpToAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 12).Draw(t, "domains")
		perSecond := rapid.Float64Range(0, 40).Draw(t, "limit")
		cut := rapid.Bool().Draw(t, "cut")
		regions := make(map[string]string)
		for d := range domains {
			regions[fmt.Sprint("d", d)] = "r"
		}
		sum := 0
		for d := range domains {
			boxes := boxNames(rapid.IntRange(1, 9).Draw(t, "boxes"))
			sides := [][]string{boxes}
			if cut && len(boxes) > 1 {
				sides = [][]string{boxes[:1], boxes[1:]}
			}
			for _, side := range sides {
				for _, box := range side {
					f := NewFleet(Config{Domain: fmt.Sprint("d", d), Regions: regions, Tuning: DefaultTuning, LimitBounds: testLimitBounds})
					f.SetQuotaPeers(QuotaPeers{Box: box, Boxes: side})
					f.Put(0, Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Domain: "d0", Slots: 8})
					f.advertiseLimit(time.Second, "u", perSecond)
					l, _ := f.Limit(time.Second, "u")
					sum += l.Quota
				}
			}
		}
		allowed, _ := testLimitBounds.allowance(perSecond)
		bound := testLimitBounds.Overshoot*perSecond*testLimitBounds.Span.Seconds() + testLimitBounds.Slack
		if sum < allowed || !cut && sum > allowed || float64(sum) > bound {
			t.Fatalf("quotas add up to %d, allowance %d, bound %v", sum, allowed, bound)
		}
	})
}

// placeAndSend places a request, counts it, and returns the id of its upstream, or an empty
// string.
func (f *Fleet) placeAndSend(now time.Duration, urgency int) string {
	r := Request{Service: "s", Urgency: urgency}
	c, ok := f.Place(now, r, nil)
	if !ok {
		return ""
	}
	f.Open(now, c.Upstream.ID, r).Close(now, Answered)
	return c.Upstream.ID
}

func TestQuotaIsUsedThenOtherUpstreams(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	f.advertiseLimit(time.Second, "u0", 1)         // 5 in 5 s, of which this domain has 3
	is.True(f.LimitExhausted(2*time.Second, "u0")) // it is not known what the other boxes have sent
	f.notePriorTotal("u0", 0)
	to := make(map[string]int)
	for range 10 {
		to[f.placeAndSend(2*time.Second, 0)]++
	}
	is.Equal(to["u0"], 3)
	is.Equal(to["u1"], 7)
	l, isNamed := f.Limit(2*time.Second, "u0")
	is.True(isNamed)
	is.Equal(l, LimitQuota{PerSecond: 1, Age: time.Second, Quota: 3, Span: 5 * time.Second})
	is.True(f.LimitExhausted(2*time.Second, "u0"))
	is.True(!f.LimitExhausted(7*time.Second, "u0")) // the requests have left the time span
	is.True(!f.LimitExhausted(2*time.Second, "u1"))
	is.True(!f.LimitExhausted(2*time.Second, "unknown"))
}

// Requests sent before a limit was known count toward it, and nothing more is sent until the
// first span is over, since it is not known what the other boxes have sent.
func TestNothingIsSentInFirstSpanOfLimit(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	for i := range 40 {
		f.placeAndSend(time.Duration(i)*50*time.Millisecond, 0)
	}
	f.advertiseLimit(2*time.Second, "u0", 1)
	is.True(f.LimitExhausted(2*time.Second, "u0"))
	is.True(f.LimitExhausted(5900*time.Millisecond, "u0"))
	is.True(!f.LimitExhausted(7*time.Second, "u0"))
	f.advertiseLimit(8*time.Second, "u0", 0.9) // nearly the same value, so no new first span
	is.True(!f.LimitExhausted(8*time.Second, "u0"))
	f.advertiseLimit(9*time.Second, "u0", 200)
	is.True(!f.LimitExhausted(9*time.Second, "u0")) // far more than the upstream gets
}

// Boxes without a report of a limit sent an upstream up to ten requests after it had advertised
// the limit. If the first span begins with the limit and not with the report, further requests
// followed within it: nine in 4 s, where six were allowed.
func TestFirstSpanBeginsWithLimitNotReport(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	for i := range 40 { // to the other upstream, so that this box's own requests play no role
		f.Open(time.Duration(i)*50*time.Millisecond, "u1", Request{Service: "s"}).Close(time.Duration(i)*50*time.Millisecond, Answered)
	}
	advertised, reported := 2*time.Second, 2900*time.Millisecond
	f.MergeLimits(reported, []LimitReport{{Life: f.keyOf("u0"), PerSecond: 1, Since: reported - advertised, Read: reported - advertised}})
	is.True(f.LimitExhausted(advertised+4100*time.Millisecond, "u0"))
	is.True(f.LimitExhausted(reported+3900*time.Millisecond, "u0"))
	is.True(!f.LimitExhausted(advertised+5*time.Second, "u0"))
}

// A box that had sent nothing to a service took a new limit for one that does not bind, and sent its
// quota in the span in which the requests of the other boxes already exceeded the limit.
func TestBoxWithoutRequestsWaitsForFirstSpanOfLimit(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	f.advertiseLimit(time.Second, "u0", 1)
	is.True(f.LimitExhausted(2*time.Second, "u0"))
	is.True(!f.LimitExhausted(7*time.Second, "u0"))
}

// A limit far above the request rate does not hold back requests when it is first advertised.
func TestHighLimitHasNoFirstSpan(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	for i := range 10 {
		f.placeAndSend(time.Duration(i)*200*time.Millisecond, 0)
	}
	f.advertiseLimit(2*time.Second, "u0", 100)
	f.advertiseLimit(2*time.Second, "u1", 100)
	f.notePriorTotal("u0", 10)
	f.notePriorTotal("u1", 10)
	is.True(!f.LimitExhausted(2*time.Second, "u0"))
	is.True(!f.LimitExhausted(2*time.Second, "u1"))
}

// A box that does not know the other boxes sends nothing to an upstream that advertises a limit,
// and the limit of an incarnation does not apply to the next one.
func TestBoxWithoutPeersSendsNothingUnderLimit(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 1)
	f.SetQuotaPeers(QuotaPeers{Box: "box0"})
	f.advertiseLimit(time.Second, "u0", 3)
	is.Equal(f.placeAndSend(2*time.Second, 0), "")
	is.True(f.LimitLeft(2*time.Second, "s") > 0)
	next := *f.Get("u0")
	next.StartedAt = 7
	f.Put(3*time.Second, next)
	is.Equal(f.placeAndSend(3*time.Second, 0), "u0")
}

// If all upstreams are at their limits, capacity that becomes available goes to urgent requests.
func TestLimitedCapacityGoesToUrgentRequests(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 1)
	f.advertiseLimit(time.Second, "u0", 1)
	f.notePriorTotal("u0", 0)
	is.Equal(f.placeAndSend(time.Second, 1), "u0") // no more urgent request was refused
	for f.placeAndSend(time.Second, 0) != "" {
	}
	later := 6100 * time.Millisecond
	is.Equal(f.placeAndSend(later, 1), "")
	is.Equal(f.placeAndSend(later, 0), "u0")
	is.Equal(f.placeAndSend(later+7*time.Second, 1), "u0") // the last refusal was long ago
}

// The only other upstream is unreachable. A request that finds no capacity is refused at once
// instead of being sent there.
func TestLimitedRequestIsNotSentToUnreachableUpstream(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	f.advertiseLimit(time.Second, "u0", 0)
	f.notePriorTotal("u0", 0)
	f.Open(time.Second, "u1", Request{Service: "s"}).Close(time.Second, Unreachable)
	is.True(f.byID["u1"].unreachable)
	is.Equal(f.placeAndSend(time.Second, 0), "u0") // the request that probes whether the limit still holds
	is.Equal(f.placeAndSend(2*time.Second, 0), "")
	is.True(f.LimitLeft(2*time.Second, "s") > 0)
	f.NoteLimitStatement(3*time.Second, Incarnation{ID: "u0"}, LimitStatement{Sent: 2 * time.Second, Read: 3 * time.Second})
	is.Equal(f.placeAndSend(3*time.Second, 0), "u0")
}

// Limits and the requests counted survive the removal and return of an entry.
func TestLimitSurvivesRemovalOfEntry(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 1)
	u := *f.Get("u0")
	f.advertiseLimit(time.Second, "u0", 1)
	f.notePriorTotal("u0", 0)
	is.Equal(f.placeAndSend(time.Second, 0), "u0")
	f.Remove("u0")
	f.ExpireLimits(30 * time.Second)
	f.Put(30*time.Second, u)
	_, isNamed := f.Limit(30*time.Second, "u0")
	is.True(isNamed)
	f.Remove("u0")
	f.ExpireLimits(3 * time.Minute)
	f.Put(3*time.Minute, u)
	_, isNamed = f.Limit(3*time.Minute, "u0")
	is.True(!isNamed)
}

// A request placed before its upstream's limit was known is not sent once it is known.
func TestLimitIsCheckedAgainAfterConnecting(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 2)
	for i := range 40 {
		f.placeAndSend(time.Duration(i)*50*time.Millisecond, 0)
	}
	r := Request{Service: "s"}
	limited, unlimited := f.Open(2*time.Second, "u0", r), f.Open(2*time.Second, "u1", r)
	before := f.Sent(2*time.Second, Incarnation{ID: "u0"}, time.Minute)
	f.advertiseLimit(2100*time.Millisecond, "u0", 1)
	is.True(!limited.MaySend(2200 * time.Millisecond))
	is.Equal(f.Sent(2200*time.Millisecond, Incarnation{ID: "u0"}, time.Minute), before-1) // no longer counted as sent
	is.True(unlimited.MaySend(2200 * time.Millisecond))
}

// A request placed at an upstream that has since been removed is not counted, and may be sent.
func TestTicketOfRemovedUpstreamMaySend(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 1)
	is.True(f.Open(0, "gone", Request{Service: "s"}).MaySend(0))
}

func TestLimitsCanBeSwitchedOff(t *testing.T) {
	is := is.New(t)
	f := limitedFleet(1, 1)
	f.cfg.Off = Off{Limits: true}
	f.advertiseLimit(time.Second, "u0", 0)
	for range 20 {
		is.Equal(f.placeAndSend(time.Second, 0), "u0")
	}
}

// Boxes that knew different totals of the requests sent before a limit divided what these left so
// differently that they sent more together than the smaller total left: of 5 requests one domain had
// 3 and the others 1 each, of 6 each had 2, which makes 7.
func TestQuotasForDifferentTotalsAddUpToMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0.3, 0.5, 1, 3, 12}).Draw(t, "limit")
		bound := int(testLimitBounds.maxRequests(perSecond))
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		totals := []int{rapid.IntRange(0, bound).Draw(t, "total")}
		totals = append(totals, totals[0]+rapid.IntRange(0, 3).Draw(t, "more"))
		regions := make(map[string]string)
		for i := range domains {
			regions[fmt.Sprint("d", i)] = "r"
		}
		sum := 0
		for _, domain := range slices.Sorted(maps.Keys(regions)) {
			boxes := boxNames(rapid.IntRange(1, 8).Draw(t, "boxes"))
			for _, box := range boxes {
				most := 0
				for _, total := range totals {
					f := NewFleet(Config{Domain: domain, Regions: regions, Tuning: DefaultTuning, LimitBounds: testLimitBounds})
					f.SetQuotaPeers(QuotaPeers{Box: box, Boxes: boxes})
					f.Put(0, Upstream{ID: "u0", Service: "s", Address: "10.0.0.1:1", Domain: "d0", Slots: 1000})
					f.advertiseLimit(time.Second, "u0", perSecond)
					f.notePriorTotal("u0", total)
					f.refreshQuotas(time.Second)
					x := f.limits.active(f.keyOf("u0"))
					most = max(most, min(x.quota, x.firstQuota))
				}
				sum += most
			}
		}
		requests, _ := testLimitBounds.allowance(perSecond)
		if left := min(requests, bound-totals[0]); sum > left {
			t.Fatalf("quotas for totals of %v add up to %d, the smaller one leaves %d", totals, sum, left)
		}
	})
}
