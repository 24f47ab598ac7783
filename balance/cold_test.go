package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func boxNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("box%d", i)
	}
	return names
}

// For any set of boxes, those that know of each other send at most the shared number of requests,
// and at least one.
func TestColdQuotasOfKnownBoxesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := boxNames(rapid.IntRange(1, 60).Draw(t, "boxes"))
		shared := rapid.IntRange(0, 40).Draw(t, "shared")
		upstream := rapid.StringN(1, 12, -1).Draw(t, "upstream")
		sum := 0
		for _, box := range boxes {
			sum += QuotaPeers{Box: box, Boxes: boxes}.quota(upstream, shared)
		}
		if sum > shared || shared > 0 && sum == 0 {
			t.Fatalf("quotas add up to %d, shared %d", sum, shared)
		}
	})
}

// When a domain is partitioned, each side knows only its own boxes, and both sides together stay
// within the limit.
func TestColdQuotasStayWithinLimitDuringPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := boxNames(rapid.IntRange(2, 60).Draw(t, "boxes"))
		cut := rapid.IntRange(1, len(boxes)-1).Draw(t, "cut")
		limit := rapid.IntRange(0, 40).Draw(t, "limit")
		sum := 0
		for _, side := range [][]string{boxes[:cut], boxes[cut:]} {
			for _, box := range side {
				sum += QuotaPeers{Box: box, Boxes: side}.quota("u", limit/coldReserveDivisor)
			}
		}
		if sum > limit {
			t.Fatalf("quotas add up to %d, limit %d", sum, limit)
		}
	})
}

// For any number of domains, with upstreams of the service or without, all boxes together send at
// most half of the limit, and at least one request.
func TestColdQuotasOfAllDomainsAreHalfOfLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 30).Draw(t, "domains")
		with := rapid.IntRange(1, domains).Draw(t, "with upstreams")
		limit := rapid.IntRange(2, 40).Draw(t, "limit")
		sum := 0
		for d := range domains {
			boxes := boxNames(rapid.IntRange(1, 8).Draw(t, "boxes"))
			for _, box := range boxes {
				f := NewFleet(Config{Domain: fmt.Sprintf("d%d", d), Tuning: DefaultTuning})
				f.SetCold("s", ColdLimit{Duration: time.Minute, MaxPerSecond: limit})
				f.SetQuotaPeers(QuotaPeers{Box: box, Boxes: boxes})
				for i := range with {
					f.Put(0, Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprintf("d%d", i), Slots: 8})
				}
				u := *f.Get("u0")
				u.ColdFor = time.Minute
				f.Put(0, u)
				f.refreshColdQuotas(0)
				sum += f.byID["u0"].coldQuota
			}
		}
		if sum > limit/2 || sum == 0 {
			t.Fatalf("quotas add up to %d, limit %d", sum, limit)
		}
	})
}

func TestNoColdQuotaWithoutKnownBoxes(t *testing.T) {
	is := is.New(t)
	is.Equal(QuotaPeers{Box: "box"}.quota("u", 12), 0)
}

// returningFleets returns the fleets of ninety boxes in three domains with ninety upstreams, of
// which the thirty of one domain have just come back cold.
func returningFleets(limit int) []*Fleet {
	boxes := make([]*Fleet, 90)
	for i := range boxes {
		domain := fmt.Sprintf("d%d", i%3)
		f := NewFleet(Config{Domain: domain, Tuning: DefaultTuning, FirstStart: true})
		f.SetCold("s", ColdLimit{Duration: 3 * time.Second, MaxPerSecond: limit})
		var names []string
		for j := range 30 {
			names = append(names, fmt.Sprintf("box%d", 3*j+i%3))
		}
		f.SetQuotaPeers(QuotaPeers{Box: fmt.Sprintf("box%d", i), Boxes: names})
		for j := range 90 {
			u := Upstream{ID: fmt.Sprintf("u%d", j), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", j), Domain: fmt.Sprintf("d%d", j%3), Slots: 64}
			if j%3 == 0 {
				u.ColdFor = 3 * time.Second
			}
			f.Put(0, u)
		}
		boxes[i] = f
	}
	return boxes
}

// exchangeLoads reports to each box the load of the others.
func exchangeLoads(boxes []*Fleet) {
	all := make(map[LoadKey]Load)
	for _, f := range boxes {
		for key, l := range f.Loads() {
			all[key] = all[key].Plus(l)
		}
	}
	for _, f := range boxes {
		others := make(map[LoadKey]Load, len(all))
		own := f.Loads()
		for key, l := range all {
			others[key] = l.Minus(own[key])
		}
		f.SetRemoteLoads(others)
	}
}

// Ninety boxes in a burst use thirty upstreams that come back together: no cold upstream receives
// more than its limit in any second, and the cold upstreams do get requests. That holds as well if
// requests take long to arrive at first.
func TestReturningUpstreamsGetAtMostTheirLimit(t *testing.T) {
	const limit = 12
	for _, way := range []time.Duration{0, 600 * time.Millisecond, 1200 * time.Millisecond} { // of requests in the first half
		t.Run(way.String(), func(t *testing.T) {
			is := is.New(t)
			boxes := returningFleets(limit)
			arrivals := make(map[string][]time.Duration)
			for i := range 1800 { // 600 per second for 3 s
				now := time.Duration(i) * time.Second / 600
				if i%60 == 0 {
					exchangeLoads(boxes)
				}
				f := boxes[(i*37)%90]
				r := prompt(uint64(i) + 1)
				if i%10 == 0 {
					r = prompt(1) // several requests share a part
				}
				choice, ok := f.Place(now, r, nil)
				is.True(ok)
				f.Open(now, choice.Upstream.ID, r)
				at := now
				if now < 1500*time.Millisecond {
					at += way
				}
				arrivals[choice.Upstream.ID] = append(arrivals[choice.Upstream.ID], at)
			}
			var cold int
			for j := 0; j < 90; j += 3 {
				list := arrivals[fmt.Sprintf("u%d", j)]
				slices.Sort(list)
				cold += len(list)
				for k := limit; k < len(list); k++ {
					is.True(list[k]-list[k-limit] >= time.Second)
				}
			}
			is.True(cold >= 300) // of 1800 requests, where 540 are allowed from boxes that know of each other
		})
	}
}

// A single box stays within its quota for any intervals between its requests, and has the whole
// quota again after the window.
func TestBoxStaysWithinColdQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 20).Draw(t, "limit")
		f := NewFleet(Config{Domain: "d", Tuning: DefaultTuning})
		f.SetCold("s", ColdLimit{Duration: time.Hour, MaxPerSecond: limit})
		f.SetQuotaPeers(QuotaPeers{Box: "box", Boxes: []string{"box"}})
		f.Put(0, Upstream{ID: "u", Service: "s", Domain: "d", Slots: 8, ColdFor: time.Hour})
		var now time.Duration
		var sent []time.Duration
		for range 100 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			if _, ok := f.Place(now, Request{Service: "s"}, nil); ok {
				f.Open(now, "u", Request{Service: "s"})
				sent = append(sent, now)
			}
		}
		for i := limit / 2; i < len(sent); i++ {
			if sent[i]-sent[i-limit/2] < coldWindow {
				t.Fatalf("%d requests within %v: %v", limit/2+1, sent[i]-sent[i-limit/2], sent)
			}
		}
	})
}

func TestColdDuration(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	f.SetCold("s", ColdLimit{Duration: 3 * time.Second, MaxPerSecond: 1}) // half of which rounds down to 0
	placed := func(now time.Duration) bool {
		_, ok := f.Place(now, Request{Service: "s"}, nil)
		return ok
	}
	u := *f.Get("u0")
	is.True(placed(time.Second))
	u.ColdFor = 2 * time.Second // became cold while running
	f.Put(10*time.Second, u)
	is.True(!placed(11 * time.Second))
	u.ColdFor = 500 * time.Millisecond // reported later: no change
	f.Put(11500*time.Millisecond, u)
	is.True(!placed(11900 * time.Millisecond))
	is.True(placed(12 * time.Second))
	is.True(slices.Equal(f.IDs(), []string{"u0"}))
}
