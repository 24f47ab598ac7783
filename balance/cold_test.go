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

// Whatever boxes there are, those that know of each other send what they share at the most, and
// some of it.
func TestTheRationsOfBoxesThatKnowEachOtherAreWhatTheyShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := boxNames(rapid.IntRange(1, 60).Draw(t, "boxes"))
		shared := rapid.IntRange(0, 40).Draw(t, "shared")
		upstream := rapid.StringN(1, 12, -1).Draw(t, "upstream")
		sum := 0
		for _, box := range boxes {
			sum += QuotaPeers{Box: box, Boxes: boxes}.ration(upstream, shared)
		}
		if sum > shared || shared > 0 && sum == 0 {
			t.Fatalf("%d of %d", sum, shared)
		}
	})
}

// After a cut within a domain either side knows of its own boxes only, and both together
// stay within the bound.
func TestTheRationsOfTwoSidesOfACutStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := boxNames(rapid.IntRange(2, 60).Draw(t, "boxes"))
		cut := rapid.IntRange(1, len(boxes)-1).Draw(t, "cut")
		most := rapid.IntRange(0, 40).Draw(t, "most")
		sum := 0
		for _, side := range [][]string{boxes[:cut], boxes[cut:]} {
			for _, box := range side {
				sum += QuotaPeers{Box: box, Boxes: side}.ration("u", most/coldHalf)
			}
		}
		if sum > most {
			t.Fatalf("%d of %d", sum, most)
		}
	})
}

// However many domains there are, with upstreams of the service or without, all boxes together
// send half of the bound at the most, and some of it.
func TestTheRationsOfAllDomainsAreHalfOfTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 30).Draw(t, "domains")
		with := rapid.IntRange(1, domains).Draw(t, "with upstreams")
		most := rapid.IntRange(2, 40).Draw(t, "most")
		sum := 0
		for d := range domains {
			boxes := boxNames(rapid.IntRange(1, 8).Draw(t, "boxes"))
			for _, box := range boxes {
				f := NewFleet(Config{Domain: fmt.Sprintf("d%d", d), Tuning: DefaultTuning})
				f.SetCold("s", ColdLimit{Lasts: time.Minute, Most: most})
				f.SetSharers(QuotaPeers{Box: box, Boxes: boxes})
				for i := range with {
					f.Put(0, Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprintf("d%d", i), Slots: 8})
				}
				u := *f.Get("u0")
				u.ColdFor = time.Minute
				f.Put(0, u)
				f.shareCold(0)
				sum += f.byID["u0"].ration
			}
		}
		if sum > most/2 || sum == 0 {
			t.Fatalf("%d of %d", sum, most)
		}
	})
}

func TestABoxThatDoesNotKnowTheOthersSendsNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(QuotaPeers{Box: "box"}.ration("u", 12), 0)
}

// returning is ninety boxes of three domains before ninety upstreams, of which the thirty of
// one domain have come back cold at this moment.
func returning(most int) []*Fleet {
	boxes := make([]*Fleet, 90)
	for i := range boxes {
		domain := fmt.Sprintf("d%d", i%3)
		f := NewFleet(Config{Domain: domain, Tuning: DefaultTuning, FirstStart: true})
		f.SetCold("s", ColdLimit{Lasts: 3 * time.Second, Most: most})
		var names []string
		for j := range 30 {
			names = append(names, fmt.Sprintf("box%d", 3*j+i%3))
		}
		f.SetSharers(QuotaPeers{Box: fmt.Sprintf("box%d", i), Boxes: names})
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

// tellLoads tells each box what the others have under way.
func tellLoads(boxes []*Fleet) {
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

// Ninety boxes meet thirty upstreams that come back together, in a burst: no cold one is sent
// more than it bears in any second, and they are used.
func TestUpstreamsThatComeBackTogetherAreSentWhatTheyBear(t *testing.T) {
	const most = 12
	is := is.New(t)
	boxes := returning(most)
	sent := make(map[string][]time.Duration)
	for i := range 1800 { // 600 a second for 3 s
		now := time.Duration(i) * time.Second / 600
		if i%60 == 0 {
			tellLoads(boxes)
		}
		f := boxes[(i*37)%90]
		r := prompt(uint64(i) + 1)
		if i%10 == 0 {
			r = prompt(1) // many want the same part
		}
		choice, ok := f.Place(now, r, nil)
		is.True(ok)
		f.Open(now, choice.Upstream.ID, r)
		sent[choice.Upstream.ID] = append(sent[choice.Upstream.ID], now)
	}
	var cold int
	for j := 0; j < 90; j += 3 {
		list := sent[fmt.Sprintf("u%d", j)]
		cold += len(list)
		for k := most; k < len(list); k++ {
			is.True(list[k]-list[k-most] >= time.Second)
		}
	}
	is.True(cold >= 300) // of 1800, and of 540 that they bear from boxes that know each other
}

// Each box alone keeps to its ration whatever the pauses between its requests, and has all
// of it again after the window.
func TestABoxKeepsToItsRation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(2, 20).Draw(t, "most")
		f := NewFleet(Config{Domain: "d", Tuning: DefaultTuning})
		f.SetCold("s", ColdLimit{Lasts: time.Hour, Most: most})
		f.SetSharers(QuotaPeers{Box: "box", Boxes: []string{"box"}})
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
		for i := most / 2; i < len(sent); i++ {
			if sent[i]-sent[i-most/2] < coldWindow {
				t.Fatalf("%d within %v: %v", most/2+1, sent[i]-sent[i-most/2], sent)
			}
		}
	})
}

func TestHowLongAnUpstreamIsCold(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	f.SetCold("s", ColdLimit{Lasts: 3 * time.Second, Most: 1}) // half of which is nothing
	placed := func(now time.Duration) bool {
		_, ok := f.Place(now, Request{Service: "s"}, nil)
		return ok
	}
	u := *f.Get("u0")
	is.True(placed(time.Second))
	u.ColdFor = 2 * time.Second // it has turned cold while it ran
	f.Put(10*time.Second, u)
	is.True(!placed(11 * time.Second))
	u.ColdFor = 500 * time.Millisecond // told later: nothing new
	f.Put(11500*time.Millisecond, u)
	is.True(!placed(11900 * time.Millisecond))
	is.True(placed(12 * time.Second))
	is.True(slices.Equal(f.IDs(), []string{"u0"}))
}
