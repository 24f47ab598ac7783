package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Which classes are separated depends only on the prefill per request and the longest acceptable
// gap, for any names and any number of classes.
func TestSeparatedClasses(t *testing.T) {
	type seen struct {
		class string
		gapMS int
		read  int // tokens prefilled per request
		times int
	}
	tests := []struct {
		name  string
		seen  []seen
		tight []string
	}{
		{"no requests", nil, nil},
		{"one class", []seen{{"a", 200, 600, 9}}, nil},
		{"similar classes", []seen{{"a", 200, 600, 9}, {"b", 300, 900, 9}, {"c", 250, 1200, 9}}, nil},
		{"similar gaps, one with much more prefill", []seen{{"a", 200, 628, 9}, {"b", 300, 2890, 9}}, []string{"a"}},
		{"same prefill, very different gaps", []seen{{"a", 200, 1000, 9}, {"b", 1200, 1000, 9}}, []string{"a"}},
		{"three, the last two similar", []seen{{"a", 300, 1110, 9}, {"b", 500, 2890, 9}, {"c", 1200, 3720, 9}}, []string{"a"}},
		{"three, the first two similar", []seen{{"a", 300, 600, 9}, {"b", 300, 1100, 9}, {"c", 1200, 9000, 9}}, []string{"a", "b"}},
		{"a rare class is not considered", []seen{{"a", 200, 600, 99}, {"b", 300, 9000, 1}}, nil},
		{"a class without a gap is not considered", []seen{{"a", 200, 600, 9}, {"b", 0, 9000, 9}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			k := classes{byKey: make(map[uint32]*class)}
			for _, s := range tt.seen {
				for range s.times {
					k.observe(classRequest(s.class, time.Duration(s.gapMS)*time.Millisecond, 1, s.read), s.read)
				}
			}
			k.chooseDivision()
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

// A division is kept while another is only slightly better, so that upstreams do not alternate
// between lanes, and is dropped once the classes have become similar.
func TestDivisionIsKeptWhileNearlyBest(t *testing.T) {
	is := is.New(t)
	k := classes{byKey: make(map[uint32]*class)}
	record := func(class string, read int) {
		if c := k.byKey[Key(class)]; c != nil {
			c.observed = mean{} // as if the earlier requests were long ago
		}
		for range 100 {
			k.observe(classRequest(class, 200*time.Millisecond, 1, read), read)
		}
		k.chooseDivision()
	}
	record("a", 1000)
	record("c", 40000)
	record("b", 9000) // b to c is a factor of 4.4, a to b one of 9
	is.True(k.tight("a") && !k.tight("b"))
	record("b", 6000) // both factors are about the same now
	is.True(k.tight("a") && !k.tight("b"))
	record("b", 4000) // b to c is a factor of 10 now, a to b one of 4
	is.True(k.tight("a") && k.tight("b"))
	record("b", 20000)
	record("c", 20000)
	record("a", 20000)
	is.True(!k.tight("a") && !k.tight("b") && !k.tight("c"))
}

// If no classes differ, every upstream serves every class.
func TestNoLaneWithoutSeparatedClasses(t *testing.T) {
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
	is.Equal(f.Lanes(), LanePlan{}) // nor is a lane reported
}

// A tight stream leaves its lane if an upstream outside costs less even with the cost of leaving.
func TestTightStreamLeavesOverloadedLane(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(9)
	f.SizeLanes(0, LanePlan{Key("s"): {Reserved: 3}})
	tight := tightUpstreams(f)
	load := func(tokens int) {
		loads := make(map[LoadKey]Load)
		for id := range tight {
			loads[LoadKey{Key(id), 0}] = Load{Unread: tokens, Requests: 1, Tight: 1}
		}
		f.SetRemoteLoads(loads)
	}
	cost := f.laneExitCost("s")
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

// For any classes, the separated ones have less interference than the others, at least by the
// factor minSeparation less the hysteresis.
func TestDivisionSeparatesByInterference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := classes{byKey: make(map[uint32]*class)}
		for step := range rapid.IntRange(1, 60).Draw(t, "requests") {
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "class"))
			read := rapid.IntRange(0, 40000).Draw(t, "read")
			gap := time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap")) * time.Millisecond
			k.observe(classRequest(name, gap, uint64(step), read), read)
			k.chooseDivision()
			var most, least float64
			for _, c := range k.significant() {
				switch i := c.interference(); {
				case i < k.division.limit:
					most = max(most, i)
				case least == 0 || i < least:
					least = i
				}
			}
			if k.division.limit > 0 && least*separationHysteresis*1.0001 < most*minSeparation {
				t.Fatalf("classes with an interference of %.0f and %.0f are separated", most, least)
			}
		}
	})
}

// One box decides for all which classes are separated: the observations of another box make no
// difference as long as it has an assignment, nor afterwards until it has seen two classes.
func TestAssignedClassesOverrideOwnDivision(t *testing.T) {
	is := is.New(t)
	f := newDividedFleet(20) // on its own it would separate chats
	reported := LanePlan{Key("s"): {5, []uint32{Key("letter")}}}
	f.SizeLanes(0, reported)
	is.True(f.tight(letter(1)) && !f.tight(chat(1)))
	is.Equal(f.Lanes(), reported) // which this box reports in turn
	f.SizeLanes(time.Second, nil)
	is.True(!f.tight(letter(1)) && f.tight(chat(1)))

	f = newTestFleet(20)
	f.SizeLanes(0, reported)
	f.Open(time.Second, "u0", letter(1))
	f.SizeLanes(time.Second, nil)
	is.True(f.tight(letter(1)) && !f.tight(chat(1)))
}
