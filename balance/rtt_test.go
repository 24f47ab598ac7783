package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/doormast/doormast/route"
)

// newRegionalFleet returns a fleet of n upstreams in six failure domains of three regions, as
// seen by a box in the first domain. The other regions have a round-trip time of 60 ms.
func newRegionalFleet(n int) *Fleet {
	tuning := DefaultTuning
	tuning.DomainKB, tuning.RegionKB = 10, 40
	f := NewFleet(Config{Domain: "a0", Tuning: tuning, FirstStart: true, Regions: map[string]string{
		"a0": "a", "a1": "a", "b0": "b", "b1": "b", "c0": "c", "c1": "c"}})
	domains := []string{"a0", "a1", "b0", "b1", "c0", "c1"}
	for i := range n {
		f.Put(0, Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: domains[i%len(domains)], Slots: 8})
	}
	for _, d := range domains {
		took := 60 * time.Millisecond
		switch f.proximityOf("a0", d) {
		case sameDomain:
			took = time.Millisecond
		case otherDomain:
			took = 2 * time.Millisecond
		}
		for range minRTTSamples {
			f.NoteRTT(0, d, took)
		}
	}
	return f
}

func TestRTTIsTheMinimumOfTheSamples(t *testing.T) {
	ms := func(list ...int) []int { return list }
	for _, c := range []struct {
		name string
		took []int // ms, a second apart
		gap  time.Duration
		want time.Duration
	}{
		{"no sample: default", nil, time.Second, defaultRegionRTT},
		{"one delayed connection", ms(300), time.Second, defaultRegionRTT},
		{"two delayed connections", ms(300, 200), time.Second, defaultRegionRTT},
		{"one sample below the default", ms(4), time.Second, 4 * time.Millisecond},
		{"three samples", ms(300, 61, 200), time.Second, 61 * time.Millisecond},
		{"a burst that delays all connections", ms(60, 60, 60, 250, 300, 280, 350), time.Second, 60 * time.Millisecond},
		{"one delayed connection in a new window", ms(60, 60, 60, 340), rttSpan, 60 * time.Millisecond},
		{"an increased round-trip time", ms(60, 60, 60, 95, 95, 95), rttSpan, 95 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(Config{Domain: "a0", Tuning: DefaultTuning, Regions: map[string]string{"a0": "a", "b0": "b"}})
			for i, took := range c.took {
				f.NoteRTT(time.Duration(i)*c.gap, "b0", time.Duration(took)*time.Millisecond)
			}
			is.Equal(f.RTT("b0"), c.want)
		})
	}
}

func TestRTTIsTheMinimumWithinAWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFleet(Config{Domain: "a0", Tuning: DefaultTuning})
		now, least := time.Duration(0), time.Hour
		for range rapid.IntRange(minRTTSamples, 40).Draw(t, "samples") {
			took := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			f.NoteRTT(now, "b0", took)
			least = min(least, took)
		}
		if f.RTT("b0") != least {
			t.Fatalf("round-trip time %v, minimum of the samples %v", f.RTT("b0"), least)
		}
	})
}

// small returns a prompt whose shared part takes less time to read than a round trip to another
// region.
func small(shared uint64) Request {
	return Request{Service: "s", CanTransfer: true, Tokens: 600, Bytes: 2000, Parts: []Part{{ID: shared, Tokens: 200}, {ID: shared + 1e6, Tokens: 400}}}
}

// large returns a prompt whose shared part takes more time to read than a round trip to another
// region.
func large(shared uint64) Request {
	return Request{Service: "s", CanTransfer: true, Tokens: 7000, Bytes: 2000, Parts: []Part{{ID: shared, Tokens: 6000}, {ID: shared + 1e6, Tokens: 1000}}}
}

// A small prompt stays in its region, and all boxes of the region choose the same upstream. A
// prompt whose shared part is held in another region is sent there while that costs less than
// reading it again. Without the Distance mechanism, prompts go to all regions.
func TestSmallPromptsStayInTheRegion(t *testing.T) {
	is := is.New(t)
	f, g, off := newRegionalFleet(30), newRegionalFleet(30), newRegionalFleet(30)
	g.cfg.Domain = "a1"
	off.cfg.Off = Off{Distance: true}
	far := 0
	for shared := range uint64(60) {
		a, ok := f.Place(time.Second, small(shared+1), nil)
		is.True(ok)
		is.Equal(f.cfg.Regions[a.Upstream.Domain], "a")
		b, _ := g.Place(time.Second, small(shared+1), nil)
		is.Equal(a.Upstream.ID, b.Upstream.ID)
		c, _ := off.Place(time.Second, small(shared+1), nil)
		if off.cfg.Regions[c.Upstream.Domain] != "a" {
			far++
		}
	}
	is.True(far > 30)
	f.NotePartReports(time.Second, []PartReport{{PartKey(7), Key("u2")}}) // in another region
	c, _ := f.Place(time.Second, large(7), nil)
	is.Equal(c.Upstream.ID, "u2")
}

// A burst that fills the near upstreams goes to other regions instead of queueing for longer than
// the round trip takes, and returns once it is over.
func TestBurstSpillsOverToOtherRegions(t *testing.T) {
	is := is.New(t)
	f := newRegionalFleet(30)
	near := make(map[LoadKey]Load)
	for _, m := range f.byID {
		if f.proximityOf("a0", m.Domain) != otherRegion {
			near[LoadKey{m.key, 0}] = Load{Unread: 20000, Requests: 8}
		}
	}
	f.SetRemoteLoads(near)
	c, _ := f.Place(time.Second, small(1), nil)
	is.Equal(f.proximityOf("a0", c.Upstream.Domain), otherRegion)
	f.SetRemoteLoads(nil)
	c, _ = f.Place(time.Second, small(1), nil)
	is.True(f.proximityOf("a0", c.Upstream.Domain) != otherRegion)
}

// A near plain service is used while the wait there is shorter than the round trip to another
// region: 15 ms of work, two slots, 60 ms round-trip time.
func TestPlainRequestsGoToOtherRegionsOnlyToAvoidALongerWait(t *testing.T) {
	for _, c := range []struct {
		open int // requests at the near upstream
		far  bool
	}{{0, false}, {4, false}, {7, false}, {9, true}} {
		is := is.New(t)
		f := newRegionalFleet(0)
		f.Put(0, Upstream{ID: "near", Service: "p", Address: "1:1", Domain: "a0", Slots: 2})
		f.Put(0, Upstream{ID: "far", Service: "p", Address: "2:1", Domain: "b0", Slots: 2})
		r := Request{Service: "p"}
		for range 100 {
			f.Open(0, "far", r).Close(75*time.Millisecond, Answered)
		}
		is.Equal(f.serviceTime("p").Round(time.Millisecond), 15*time.Millisecond)
		f.SetRemoteLoads(map[LoadKey]Load{{Key("near"), 0}: {Requests: c.open}})
		got, _ := f.Place(time.Second, r, nil)
		is.Equal(got.Upstream.ID == "far", c.far)
		got, _ = f.Place(time.Second, r, []string{"near"}) // a retry
		is.Equal(got.Upstream.ID, "far")
	}
}

// However short the work is, few requests wait for each slot nearby, and an upstream that fails
// everything is not preferred for being near.
func TestNearUpstreamIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	f := newRegionalFleet(0)
	f.Put(0, Upstream{ID: "near", Service: "p", Address: "1:1", Domain: "a0", Slots: 6})
	f.Put(0, Upstream{ID: "far", Service: "p", Address: "2:1", Domain: "b0", Slots: 6})
	r := Request{Service: "p"}
	for range 100 {
		f.Open(0, "far", r).Close(61*time.Millisecond, Answered) // 1 ms of work
	}
	open := 0
	for ; open < 1000; open++ {
		f.SetRemoteLoads(map[LoadKey]Load{{Key("near"), 0}: {Requests: open}})
		if c, _ := f.Place(time.Second, r, nil); c.Upstream.ID == "far" {
			break
		}
	}
	is.Equal(open, 6*maxDistancePenalty+1)
	f.SetRemoteLoads(nil)
	f.byID["near"].health.failureRate = 1
	c, _ := f.Place(time.Second, r, nil)
	is.Equal(c.Upstream.ID, "far")
}

// Missing parts are fetched from the nearest holder, and an answer moves within its region while
// there is room.
func TestFetchesAndMovesPreferNearUpstreams(t *testing.T) {
	is := is.New(t)
	f := newRegionalFleet(30)
	f.NotePartReports(time.Second, []PartReport{{PartKey(7), Key("u2")}, {PartKey(7), Key("u7")}}) // u7 is in a1
	f.SetRemoteLoads(map[LoadKey]Load{{Key("u7"), 0}: {Requests: 5}})
	is.Equal(f.fetchFrom(time.Second, large(7), f.byID["u0"]), "10.0.0.7:1")
	is.Equal(f.fetchFrom(time.Second, large(7), f.byID["u8"]), "10.0.0.2:1")
	f.cfg.Off = Off{Distance: true}
	is.Equal(f.fetchFrom(time.Second, large(7), f.byID["u0"]), "10.0.0.2:1") // the least busy
	f.cfg.Off = nil
	for part := range uint64(50) {
		r := large(part + 1)
		is.Equal(f.proximityOf("b0", f.moveTarget(time.Second, r, f.byID["u2"]).Domain) == otherRegion, false)
	}
}

// Placement, fetch sources and moves stay within the regions that a request may run in, whatever
// the part index contains, whichever upstreams are unreachable or busy, and wherever the request
// ran before.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRegionalFleet(24)
		f.cfg.FirstStart = rapid.Bool().Draw(t, "first start")
		regions := []string{"a", "b", "c", "none"}
		r := large(uint64(rapid.IntRange(1, 3).Draw(t, "part")))
		r.Class, r.MaxGap, r.ExpectedTokens = "c", 300*time.Millisecond, 100
		r.Homes = route.Homes{Restricted: true, Regions: rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 3, rapid.ID).Draw(t, "homes")}
		now := time.Duration(rapid.IntRange(0, 200).Draw(t, "s")) * time.Second
		loads := make(map[LoadKey]Load)
		for i := range 24 {
			id := fmt.Sprintf("u%d", i)
			if rapid.Bool().Draw(t, "keeps") {
				f.NotePartReports(now, []PartReport{{PartKey(uint64(rapid.IntRange(1, 3).Draw(t, "kept"))), Key(id)}})
			}
			if rapid.IntRange(0, 4).Draw(t, "out") == 0 {
				f.recordUnreachable(now, f.byID[id])
			}
			loads[LoadKey{Key(id), 0}] = Load{Unread: rapid.SampledFrom([]int{0, 0, 500, 30000}).Draw(t, "unread"), Requests: rapid.IntRange(0, 9).Draw(t, "open")}
		}
		f.SetRemoteLoads(loads)
		within := func(what, address string) {
			if m := f.byAddress[address]; !f.mayRunIn(m.Domain, r) {
				t.Fatalf("%s in %s, allowed regions %v", what, m.Domain, r.Homes.Regions)
			}
		}
		var tried []string
		for c, ok := f.Place(now, r, tried); ok; c, ok = f.Place(now, r, tried) {
			within("placed", c.Upstream.Address)
			if c.FetchFrom != "" {
				within("fetched", c.FetchFrom)
			}
			if m := f.moveTarget(now, r, f.byID[c.Upstream.ID]); m != nil {
				within("moved", m.Address)
			}
			tried = append(tried, c.Upstream.ID)
		}
		from := fmt.Sprintf("u%d", rapid.IntRange(0, 23).Draw(t, "from"))
		a := &f.serviceOf("s").answers
		a.events.add(1, 1)
		a.calm.add(15, minAnswers) // ms from one event to the next
		m, ok := f.MoveTo(now, r, from, Progress{Events: 5, EventInterval: 400 * time.Millisecond, TimeLeft: time.Second})
		if ok {
			within("moved from", f.byID[from].Address)
			within("moved to", m.To.Address)
		}
	})
}

// If bytes between domains are costly, a small prompt is read once in each failure domain, and
// all boxes of the domain send it to the same upstream. If they are cheap, it is read once
// overall.
func TestCostlyLinksKeepSmallPromptsInTheirDomain(t *testing.T) {
	for _, c := range []struct {
		perKB float64
		homes int // of a prompt, over boxes of three domains of a region
	}{{0, 1}, {1000, 3}} {
		is := is.New(t)
		for shared := range uint64(30) {
			r := small(shared + 1)
			r.Bytes = 4000
			homes := make(map[string]bool)
			for _, domain := range []string{"d0", "d1", "d2"} {
				f := newTestFleet(12)
				f.cfg.Domain, f.cfg.Tuning.DomainKB = domain, c.perKB
				a, ok := f.Place(0, r, nil)
				is.True(ok)
				homes[a.Upstream.ID] = true
				if c.perKB > 0 {
					is.Equal(a.Upstream.Domain, domain)
				}
			}
			is.Equal(len(homes), c.homes)
		}
	}
}
