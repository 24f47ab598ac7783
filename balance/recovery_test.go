package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// An upstream that was unreachable may have restarted, and be cold before its entry says so.
func TestRecoveredUpstreamIsCold(t *testing.T) {
	const recoveredAt = 10 * time.Second
	bounded := ColdLimit{Duration: 3 * time.Second, MaxPerSecond: 12}
	for _, c := range []struct {
		name        string
		cold        ColdLimit
		unreachable int           // number of nine upstreams that were unreachable
		published   time.Duration // time up to which published entries are known
		entry       time.Duration // remaining cold time in an entry that arrived with it; 0: none arrived
		coldFor     time.Duration // how long it gets only its quota
	}{
		{"entry would have been published", bounded, 1, recoveredAt + maxPublishDelay, 0, 0},
		{"entry may still be published", bounded, 1, recoveredAt + maxPublishDelay - 1, 0, 3 * time.Second},
		{"entry says cold", bounded, 1, recoveredAt + maxPublishDelay, 2 * time.Second, 3 * time.Second},
		{"entry says cold for longer", bounded, 1, recoveredAt + maxPublishDelay, 5 * time.Second, 5 * time.Second},
		{"service without a limit", ColdLimit{Duration: 3 * time.Second}, 1, 0, 0, 0},
		{"service whose upstreams are never cold", ColdLimit{MaxPerSecond: 12}, 1, 0, 0, 0},
		{"a third was unreachable", bounded, 3, 0, 0, 3 * time.Second},
		{"most were unreachable", bounded, 5, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newInformedFleet(9)
			f.SetCold("s", c.cold)
			for i := range c.unreachable {
				f.Open(time.Second, fmt.Sprint("u", i), prompt(1)).Close(time.Second, Unreachable)
			}
			is.True(f.NoteReachable(recoveredAt, Incarnation{ID: "u0"}))
			if c.entry > 0 {
				u := *f.Get("u0")
				u.ColdFor = c.entry
				f.Put(recoveredAt, u)
			}
			f.NotePublished(recoveredAt, c.published)
			m := f.byID["u0"]
			is.Equal(max(0, m.coldUntil-recoveredAt), c.coldFor)
			is.Equal(f.coldQuotaLeft(recoveredAt, m), c.coldFor == 0 || c.cold.MaxPerSecond == 0) // this box knows no peers yet, so its quota is 0
			is.True(f.coldQuotaLeft(recoveredAt+c.coldFor, m))
		})
	}
}

// While the store was unavailable, upstreams that recovered one after the other were counted as
// having no entry since, for as long as the outage lasted and even once they were warm. After a
// few of them majorityLost held and the next one got requests without a quota.
func TestWarmUpstreamIsNotCountedAsLost(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(9)
	f.SetCold("s", ColdLimit{Duration: 3 * time.Second, MaxPerSecond: 12})
	now := time.Duration(0)
	for i := range 6 {
		id := fmt.Sprint("u", i)
		now += 10 * time.Second
		f.Open(now, id, prompt(1)).Close(now, Unreachable)
		is.True(f.NoteReachable(now+time.Second, Incarnation{ID: id}))
		is.True(!f.coldQuotaLeft(now+time.Second, f.byID[id])) // it may have restarted
		f.NotePublished(now+5*time.Second, 0)
	}
}

// The incremental count of lost upstreams matches a full count after any sequence of events.
func TestLostCountMatchesFullCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newInformedFleet(9)
		f.SetCold("s", ColdLimit{Duration: 3 * time.Second, MaxPerSecond: 12})
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
			id := fmt.Sprint("u", rapid.IntRange(0, 8).Draw(t, "upstream"))
			m := f.byID[id]
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case m == nil:
				f.Put(now, Upstream{ID: id, Service: "s", Address: id, Domain: "d0", Slots: 8})
			case what == 0:
				f.Remove(id)
			case what == 1:
				f.markCold(now, m, time.Second)
			case what == 2:
				f.NotePublished(now, now-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond)
			case what == 3:
				f.NoteUnreachable(now, m.Incarnation())
			default:
				f.NoteReachable(now, m.Incarnation())
			}
			lost := 0
			for _, m := range f.byID {
				if m.unreachable || m.assumedCold {
					lost++
				}
			}
			if s := f.serviceOf("s"); s.unreachableCount != lost || s.upstreamCount != len(f.byID) {
				t.Fatalf("lost: %d of %d upstreams, counted: %d of %d", lost, len(f.byID), s.unreachableCount, s.upstreamCount)
			}
		}
	})
}

// Upstreams that were unreachable only because of their domain recover like those that failed
// themselves.
func TestRecoveredDomainIsCold(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(9)
	f.SetCold("s", ColdLimit{Duration: 3 * time.Second, MaxPerSecond: 12})
	for _, id := range []string{"u1", "u4"} {
		f.Open(0, id, prompt(1)).Close(0, Unreachable)
	}
	is.Equal(len(f.Unreachable()), 3)
	f.NoteReachable(time.Second, Incarnation{ID: "u1"})
	for _, id := range []string{"u1", "u7"} {
		is.True(!f.coldQuotaLeft(time.Second, f.byID[id]))
	}
	is.True(f.coldQuotaLeft(time.Second, f.byID["u0"]))
	f.NotePublished(2*time.Second, time.Second+maxPublishDelay)
	for _, id := range []string{"u1", "u7"} {
		is.True(f.coldQuotaLeft(2*time.Second, f.byID[id]))
	}
}

// Thirty of ninety upstreams restart under their ids while the store is slow. Boxes find by
// probes that they are reachable, within half a second of each other, and know one second later
// that they are cold. No upstream is sent more than its limit meanwhile: 6 requests in any
// second, where it would be 19 without the quota.
func TestRestartedUpstreamsGetAtMostTheirLimit(t *testing.T) {
	const most = 12
	const down, recoveredAt = 10 * time.Second, 11 * time.Second
	is := is.New(t)
	boxes := returningFleets(most) // by then all of them are warm
	for _, f := range boxes {
		for j := 0; j < 90; j += 3 {
			f.Open(down, fmt.Sprint("u", j), prompt(1)).Close(down, ConnectionRefused)
			for _, other := range []int{j + 1, j + 2} { // the other upstreams have a higher load meanwhile
				f.Open(down, fmt.Sprint("u", other), Request{Service: "s", Tokens: 200})
			}
		}
	}
	sent := make(map[string][]time.Duration)
	reached := make(map[int]bool)
	var open []*Ticket
	for i := range 900 { // 600 per second for 1.5 s
		now := recoveredAt + time.Duration(i)*time.Second/600
		if i%60 == 0 {
			exchangeLoads(boxes)
		}
		n := (i * 37) % 90
		f := boxes[n]
		if probeAt := recoveredAt + time.Duration(n%5)*100*time.Millisecond; now >= probeAt && !reached[n] {
			reached[n] = true
			for j := 0; j < 90; j += 3 {
				f.NoteReachable(now, Incarnation{ID: fmt.Sprint("u", j)})
			}
		}
		choice, ok := f.Place(now, prompt(uint64(i)+1), nil)
		is.True(ok)
		open = append(open, f.Open(now, choice.Upstream.ID, prompt(uint64(i)+1)))
		sent[choice.Upstream.ID] = append(sent[choice.Upstream.ID], now)
		if i >= 600 { // an answer takes a second
			open[i-600].Close(now, Answered)
		}
	}
	worst := 0
	for j := 0; j < 90; j += 3 {
		worst = max(worst, maxPerSecond(sent[fmt.Sprint("u", j)]))
	}
	is.True(worst <= most)
}

// maxPerSecond returns the greatest number of the sorted times that lie within one second.
func maxPerSecond(list []time.Duration) int {
	most, first := 0, 0
	for i := range list {
		for list[i]-list[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
