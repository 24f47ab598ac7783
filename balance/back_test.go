package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// One that was out of reach may have started again, and be cold before its entry says so.
func TestAnUpstreamThatCameBackIsCold(t *testing.T) {
	const back = 10 * time.Second
	bounded := ColdLimit{Lasts: 3 * time.Second, Most: 12}
	for _, c := range []struct {
		name  string
		cold  ColdLimit
		lost  int           // upstreams of nine that were out of reach
		known time.Duration // up to when what is published is known
		entry time.Duration // how much longer it is cold, as an entry says that came with it; 0: none came
		cool  time.Duration // for how long it gets its ration only
	}{
		{"its entry would have said so", bounded, 1, back + toldWithin, 0, 0},
		{"its entry may still come", bounded, 1, back + toldWithin - 1, 0, 3 * time.Second},
		{"its entry says so", bounded, 1, back + toldWithin, 2 * time.Second, 3 * time.Second},
		{"its entry says more", bounded, 1, back + toldWithin, 5 * time.Second, 5 * time.Second},
		{"the service has no bound", ColdLimit{Lasts: 3 * time.Second}, 1, 0, 0, 0},
		{"upstreams of the service are never cold", ColdLimit{Most: 12}, 1, 0, 0, 0},
		{"a third was lost", bounded, 3, 0, 0, 3 * time.Second},
		{"most were lost", bounded, 5, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newInformedFleet(9)
			f.SetCold("s", c.cold)
			for i := range c.lost {
				f.Open(time.Second, fmt.Sprint("u", i), prompt(1)).Close(time.Second, Unreachable)
			}
			is.True(f.ReachedLife(back, Incarnation{ID: "u0"}))
			if c.entry > 0 {
				u := *f.Get("u0")
				u.ColdFor = c.entry
				f.Put(back, u)
			}
			f.Told(back, c.known)
			m := f.byID["u0"]
			is.Equal(max(0, m.coldTill-back), c.cool)
			is.Equal(f.bears(back, m), c.cool == 0 || c.cold.Most == 0) // this box knows of no other yet, so that its ration is 0
			is.True(f.bears(back+c.cool, m))
		})
	}
}

// While the store was away, upstreams that came back one after the other were taken for ones of which nothing is told yet for as long as
// it was, also when they had become warm; after a few of them the next got what it was sent, without a ration. Found by reading.
func TestAnUpstreamThatIsWarmIsNoLongerInDoubt(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(9)
	f.SetCold("s", ColdLimit{Lasts: 3 * time.Second, Most: 12})
	now := time.Duration(0)
	for i := range 6 {
		id := fmt.Sprint("u", i)
		now += 10 * time.Second
		f.Open(now, id, prompt(1)).Close(now, Unreachable)
		is.True(f.ReachedLife(now+time.Second, Incarnation{ID: id}))
		is.True(!f.bears(now+time.Second, f.byID[id])) // it may have started again
		f.Told(now+5*time.Second, 0)
	}
}

// The count of upstreams that are lost is that of a look at all, whatever happened to them.
func TestLostUpstreamsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newInformedFleet(9)
		f.SetCold("s", ColdLimit{Lasts: 3 * time.Second, Most: 12})
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
				f.cool(now, m, time.Second)
			case what == 2:
				f.Told(now, now-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond)
			case what == 3:
				f.UnreachedLife(now, m.Incarnation())
			default:
				f.ReachedLife(now, m.Incarnation())
			}
			lost := 0
			for _, m := range f.byID {
				if m.unreachable || m.unsure {
					lost++
				}
			}
			if s := f.serviceOf("s"); s.lost != lost || s.listed != len(f.byID) {
				t.Fatalf("%d of %d are lost, %d of %d are counted", lost, len(f.byID), s.lost, s.listed)
			}
		}
	})
}

// Those that were left along with their domain come back as those that failed themselves.
func TestADomainThatComesBackIsCold(t *testing.T) {
	is := is.New(t)
	f := newInformedFleet(9)
	f.SetCold("s", ColdLimit{Lasts: 3 * time.Second, Most: 12})
	for _, id := range []string{"u1", "u4"} {
		f.Open(0, id, prompt(1)).Close(0, Unreachable)
	}
	is.Equal(len(f.Unreached()), 3)
	f.ReachedLife(time.Second, Incarnation{ID: "u1"})
	for _, id := range []string{"u1", "u7"} {
		is.True(!f.bears(time.Second, f.byID[id]))
	}
	is.True(f.bears(time.Second, f.byID["u0"]))
	f.Told(2*time.Second, time.Second+toldWithin)
	for _, id := range []string{"u1", "u7"} {
		is.True(f.bears(2*time.Second, f.byID[id]))
	}
}

// Thirty of ninety upstreams start again under their ids, while the store is slow: boxes find by
// trials that they can be reached, within half a second of each other, and know a second later
// that they are cold. No one is sent more than it bears meanwhile: 6 requests in any
// second, where without the ration it would be 19.
func TestUpstreamsThatStartAgainAreSentWhatTheyBear(t *testing.T) {
	const most = 12
	const down, back = 10 * time.Second, 11 * time.Second
	is := is.New(t)
	boxes := returning(most) // by then all of them are warm
	for _, f := range boxes {
		for j := 0; j < 90; j += 3 {
			f.Open(down, fmt.Sprint("u", j), prompt(1)).Close(down, ConnectionRefused)
			for _, other := range []int{j + 1, j + 2} { // which have more to do meanwhile
				f.Open(down, fmt.Sprint("u", other), Request{Service: "s", Tokens: 200})
			}
		}
	}
	sent := make(map[string][]time.Duration)
	reached := make(map[int]bool)
	var open []*Ticket
	for i := range 900 { // 600 a second for 1.5 s
		now := back + time.Duration(i)*time.Second/600
		if i%60 == 0 {
			tellLoads(boxes)
		}
		n := (i * 37) % 90
		f := boxes[n]
		if trial := back + time.Duration(n%5)*100*time.Millisecond; now >= trial && !reached[n] {
			reached[n] = true
			for j := 0; j < 90; j += 3 {
				f.ReachedLife(now, Incarnation{ID: fmt.Sprint("u", j)})
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
		worst = max(worst, mostInASecond(sent[fmt.Sprint("u", j)]))
	}
	is.True(worst <= most)
}

// mostInASecond is how many of the moments, in order, lie within one second at most.
func mostInASecond(list []time.Duration) int {
	most, first := 0, 0
	for i := range list {
		for list[i]-list[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
