package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// said is an answer: what it names (below 0: nothing), and when its request was sent and its head read, in ms.
type said struct {
	perSecond  float64
	sent, read int
}

func (s said) statement() LimitStatement {
	return LimitStatement{Named: s.perSecond >= 0, PerSecond: max(s.perSecond, 0), Sent: time.Duration(s.sent) * time.Millisecond,
		Read: time.Duration(s.read) * time.Millisecond}
}

func TestALimitHoldsUntilALaterAnswerNamesNone(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []said
		holds   bool
		want    float64
	}{
		{"none was ever named", []said{{-1, 0, 10}}, false, 0},
		{"one", []said{{3, 0, 10}}, true, 3},
		{"the last of two", []said{{3, 0, 10}, {5, 20, 30}}, true, 5},
		{"the lower of two that overlap", []said{{3, 0, 10}, {5, 5, 15}}, true, 3},
		{"the lower of two that overlap, read last", []said{{5, 0, 10}, {3, 5, 15}}, true, 3},
		{"one that overtook the end", []said{{3, 0, 10}, {-1, 5, 15}}, true, 3},
		{"an end that was sent later", []said{{3, 0, 10}, {-1, 10, 20}}, false, 0},
		{"an end, and an answer from before it that was read later", []said{{3, 0, 10}, {-1, 20, 30}, {3, 5, 35}}, true, 3},
		{"another after the end", []said{{3, 0, 10}, {-1, 20, 30}, {7, 40, 50}}, true, 7},
		{"an answer that waited for long", []said{{3, 100, 110}, {-1, 0, 120}}, true, 3},
		{"nothing may be sent", []said{{0, 0, 10}}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l limits
			for _, a := range c.answers {
				l.says(1, a.statement())
			}
			x := l.of(1)
			is.Equal(x != nil, c.holds)
			if c.holds {
				is.Equal(x.perSecond, c.want)
			}
		})
	}
}

func TestAChangeOfALimitIsToldOnce(t *testing.T) {
	is := is.New(t)
	var l limits
	c, changed := l.says(1, said{3, 0, 10}.statement())
	is.True(changed)
	is.Equal(c, LimitChange{Life: 1, Named: true, PerSecond: 3})
	_, changed = l.says(1, said{3, 20, 30}.statement())
	is.True(!changed)
	c, changed = l.says(1, said{-1, 40, 50}.statement())
	is.True(changed)
	is.Equal(c, LimitChange{Life: 1, Before: 3})
	is.Equal(len(l.newsOf(time.Second)), 1)
	is.Equal(len(l.newsOf(time.Second)), 0)
	l.forget(time.Minute, func(uint32) bool { return true })
	is.Equal(len(l.byLife), 1)
	l.forget(2*time.Minute, func(uint32) bool { return true })
	is.Equal(len(l.byLife), 0) // it is over
}

// Whatever boxes read, and in whatever order they tell each other, they come to hold the same.
func TestBoxesComeToHoldTheSameLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 4
		var tables [boxes]limits
		moment := 0
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			moment += rapid.IntRange(0, 800).Draw(t, "pause")
			b := rapid.IntRange(0, boxes-1).Draw(t, "box")
			limit := rapid.SampledFrom([]float64{-1, -1, 0, 0.5, 1, 3.3}).Draw(t, "limit")
			life := uint32(rapid.IntRange(1, 2).Draw(t, "life"))
			tables[b].says(life, said{limit, moment - rapid.IntRange(0, 1500).Draw(t, "took"), moment}.statement())
		}
		now := time.Duration(moment) * time.Millisecond
		for range 3 {
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
				for j := range tables {
					known, _ := tables[i].all(now)
					tables[j].take(now, known)
				}
			}
		}
		_, want := tables[0].all(now)
		for i := range tables {
			if _, got := tables[i].all(now); DigestOfNamed(got) != DigestOfNamed(want) {
				t.Fatalf("box %d holds %v, box 0 %v", i, got, want)
			}
		}
	})
}

// What no box can mean says nothing.
func TestWhatIsToldOfALimitAndIsNoneIsPassedOver(t *testing.T) {
	for _, told := range []LimitReport{{PerSecond: -1}, {PerSecond: math.NaN()}, {PerSecond: 1, Read: -time.Second}, {PerSecond: 1, Since: -1}} {
		t.Run(fmt.Sprint(told), func(t *testing.T) {
			is := is.New(t)
			var l limits
			is.Equal(len(l.take(time.Minute, []LimitReport{told})), 0)
			is.Equal(len(l.byLife), 0)
		})
	}
	is := is.New(t)
	var l limits
	l.take(time.Minute, []LimitReport{{Life: 1, PerSecond: math.Inf(1)}})
	is.Equal(l.of(1).perSecond, float64(NoLimit))
	for life := range uint32(2 * leastNamed) {
		l.take(time.Minute, []LimitReport{{Life: life, PerSecond: 1}})
	}
	is.Equal(len(l.byLife), leastNamed)
}

// Twice as many upstreams as were thought of all named limits; those beyond the bound were not known, and got as much as
// ever.
func TestEachOfManyUpstreamsMayNameALimit(t *testing.T) {
	is := is.New(t)
	const upstreams = 2 * leastNamed
	f := newTestFleet(upstreams)
	for i := range upstreams {
		f.limits.says(Key(fmt.Sprintf("u%d", i)), LimitStatement{Named: true, PerSecond: 1, Sent: time.Second, Read: time.Second})
	}
	is.Equal(len(f.limits.byLife), upstreams)
}
