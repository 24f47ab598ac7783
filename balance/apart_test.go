package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Who is kept apart follows from what is read for a class and how long a pause it bears,
// whatever the classes are called and however many there are.
func TestWhoIsKeptApart(t *testing.T) {
	type seen struct {
		class string
		gapMS int
		read  int // tokens for a request
		times int
	}
	tests := []struct {
		name  string
		seen  []seen
		tight []string
	}{
		{"nothing seen", nil, nil},
		{"one class", []seen{{"a", 200, 600, 9}}, nil},
		{"alike", []seen{{"a", 200, 600, 9}, {"b", 300, 900, 9}, {"c", 250, 1200, 9}}, nil},
		{"pauses alike, one reads much more", []seen{{"a", 200, 628, 9}, {"b", 300, 2890, 9}}, []string{"a"}},
		{"reading alike, pauses differ much", []seen{{"a", 200, 1000, 9}, {"b", 1200, 1000, 9}}, []string{"a"}},
		{"three, the last two alike", []seen{{"a", 300, 1110, 9}, {"b", 500, 2890, 9}, {"c", 1200, 3720, 9}}, []string{"a"}},
		{"three, the first two alike", []seen{{"a", 300, 600, 9}, {"b", 300, 1100, 9}, {"c", 1200, 9000, 9}}, []string{"a", "b"}},
		{"one that hardly comes does not count", []seen{{"a", 200, 600, 99}, {"b", 300, 9000, 1}}, nil},
		{"without a pause it is no stream", []seen{{"a", 200, 600, 9}, {"b", 0, 9000, 9}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			k := classes{byKey: make(map[uint32]*class)}
			for _, s := range tt.seen {
				for range s.times {
					k.observe(reads(s.class, time.Duration(s.gapMS)*time.Millisecond, 1, s.read), s.read)
				}
			}
			k.decideApart()
			var tight []string
			for _, s := range tt.seen {
				if k.tight(s.class) {
					tight = append(tight, s.class)
				}
			}
			is.Equal(tight, tt.tight)
		})
	}
}

// A division stays while another is only a little better, so that upstreams do not change
// their lanes to and fro, and goes when the classes have become alike.
func TestADivisionStaysWhileItIsNearlyTheBest(t *testing.T) {
	is := is.New(t)
	k := classes{byKey: make(map[uint32]*class)}
	see := func(class string, read int) {
		if c := k.byKey[Key(class)]; c != nil {
			c.own = mean{} // as if that was long ago
		}
		for range 100 {
			k.observe(reads(class, 200*time.Millisecond, 1, read), read)
		}
		k.decideApart()
	}
	see("a", 1000)
	see("c", 40000)
	see("b", 9000) // b to c is a factor of 4.4, a to b one of 9
	is.True(k.tight("a") && !k.tight("b"))
	see("b", 6000) // both are about the same now
	is.True(k.tight("a") && !k.tight("b"))
	see("b", 4000) // b to c is a factor of 10 now, a to b one of 4
	is.True(k.tight("a") && k.tight("b"))
	see("b", 20000)
	see("c", 20000)
	see("a", 20000)
	is.True(!k.tight("a") && !k.tight("b") && !k.tight("c"))
}

// Without classes that differ, every upstream serves every class.
func TestNoLaneIsKeptForNobody(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(9)
	used := make(map[string]bool)
	now := time.Duration(0)
	for shared := uint64(1); shared <= 200; shared++ {
		now += 100 * time.Millisecond
		f.SizeLanes(now, nil)
		used[serve(f, now, chat(shared)).Upstream.ID] = true
	}
	is.Equal(len(used), 9)
	is.Equal(f.Lanes(), LanePlan{}) // nor told to be
}

// A prompt leaves its lane where a place beyond is cheaper by what leaving costs.
func TestAPromptLeavesALaneThatIsOverrun(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(9)
	f.SizeLanes(0, LanePlan{Key("s"): {Places: 3}})
	tight := tightPlaces(f)
	load := func(tokens int) {
		loads := make(map[LoadKey]Load)
		for id := range tight {
			loads[LoadKey{Key(id), 0}] = Load{Unread: tokens, Open: 1, Tight: 1}
		}
		f.SetRemoteLoads(loads)
	}
	cost := f.leaveCost("s")
	is.True(cost > 0)
	for shared := uint64(1); shared <= 20; shared++ {
		load(cost / 2)
		c, _ := f.Place(0, chat(shared), nil)
		is.True(tight[c.Upstream.ID])
		load(10 * cost)
		c, _ = f.Place(0, chat(shared), nil)
		is.True(!tight[c.Upstream.ID])
	}
}

// However many classes come, and whatever they read, what is kept apart from the others
// interferes less, by apartFrom with the slack at least.
func TestADivisionSeparatesByInterference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := classes{byKey: make(map[uint32]*class)}
		for step := range rapid.IntRange(1, 60).Draw(t, "requests") {
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "class"))
			read := rapid.IntRange(0, 40000).Draw(t, "read")
			gap := time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap")) * time.Millisecond
			k.observe(reads(name, gap, uint64(step), read), read)
			k.decideApart()
			var most, least float64
			for _, c := range k.counted() {
				switch i := c.interference(); {
				case i < k.apart.limit:
					most = max(most, i)
				case least == 0 || i < least:
					least = i
				}
			}
			if k.apart.limit > 0 && least*apartSlack*1.0001 < most*apartFrom {
				t.Fatalf("classes with an interference of %.0f and %.0f are kept apart", most, least)
			}
		}
	})
}

// Who is kept apart is decided by one box for all: what another sees by itself makes no
// difference as long as it is told, nor afterwards until it has seen two classes.
func TestABoxKeepsThoseApartThatItIsTold(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(20) // by itself it would keep chats apart
	told := LanePlan{Key("s"): {5, []uint32{Key("letter")}}}
	f.SizeLanes(0, told)
	is.True(f.tight(letter(1)) && !f.tight(chat(1)))
	is.Equal(f.Lanes(), told) // as it passes on
	f.SizeLanes(time.Second, nil)
	is.True(!f.tight(letter(1)) && f.tight(chat(1)))

	f = newTestFleet(20)
	f.SizeLanes(0, told)
	f.Open(time.Second, "u0", letter(1))
	f.SizeLanes(time.Second, nil)
	is.True(f.tight(letter(1)) && !f.tight(chat(1)))
}
