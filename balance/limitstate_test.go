package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// answerCase describes an answer: the limit that it advertises (below 0: none), and when its
// request was sent and its header read, in ms.
type answerCase struct {
	perSecond  float64
	sent, read int
}

func (s answerCase) statement() LimitStatement {
	return LimitStatement{Named: s.perSecond >= 0, PerSecond: max(s.perSecond, 0), Sent: time.Duration(s.sent) * time.Millisecond,
		Read: time.Duration(s.read) * time.Millisecond}
}

func TestLimitHoldsUntilLaterAnswerWithoutLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []answerCase
		inForce bool
		want    float64
	}{
		{"no limit", []answerCase{{-1, 0, 10}}, false, 0},
		{"one limit", []answerCase{{3, 0, 10}}, true, 3},
		{"the last of two", []answerCase{{3, 0, 10}, {5, 20, 30}}, true, 5},
		{"the lower of two that overlap", []answerCase{{3, 0, 10}, {5, 5, 15}}, true, 3},
		{"the lower of two that overlap, read last", []answerCase{{5, 0, 10}, {3, 5, 15}}, true, 3},
		{"limit that overtook the end", []answerCase{{3, 0, 10}, {-1, 5, 15}}, true, 3},
		{"end whose request was sent later", []answerCase{{3, 0, 10}, {-1, 10, 20}}, false, 0},
		{"end, then an earlier answer that was read later", []answerCase{{3, 0, 10}, {-1, 20, 30}, {3, 5, 35}}, true, 3},
		{"new limit after the end", []answerCase{{3, 0, 10}, {-1, 20, 30}, {7, 40, 50}}, true, 7},
		{"answer that was delayed for long", []answerCase{{3, 100, 110}, {-1, 0, 120}}, true, 3},
		{"limit of zero", []answerCase{{0, 0, 10}}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l limitTable
			for _, a := range c.answers {
				l.observe(1, a.statement())
			}
			x := l.active(1)
			is.Equal(x != nil, c.inForce)
			if c.inForce {
				is.Equal(x.perSecond, c.want)
			}
		})
	}
}

func TestLimitChangeIsReportedOnce(t *testing.T) {
	is := is.New(t)
	var l limitTable
	c, changed := l.observe(1, answerCase{3, 0, 10}.statement())
	is.True(changed)
	is.Equal(c, LimitChange{Life: 1, Named: true, PerSecond: 3})
	_, changed = l.observe(1, answerCase{3, 20, 30}.statement())
	is.True(!changed)
	c, changed = l.observe(1, answerCase{-1, 40, 50}.statement())
	is.True(changed)
	is.Equal(c, LimitChange{Life: 1, Before: 3})
	is.Equal(len(l.takeReports(time.Second)), 1)
	is.Equal(len(l.takeReports(time.Second)), 0)
	l.expire(time.Minute, func(uint32) bool { return true })
	is.Equal(len(l.byIncarnation), 1)
	l.expire(2*time.Minute, func(uint32) bool { return true })
	is.Equal(len(l.byIncarnation), 0) // expired
}

// Boxes converge to the same limits, whatever answers they read and in whatever order they report
// to each other.
func TestLimitReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const boxes = 4
		var tables [boxes]limitTable
		moment := 0
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			moment += rapid.IntRange(0, 800).Draw(t, "pause")
			b := rapid.IntRange(0, boxes-1).Draw(t, "box")
			limit := rapid.SampledFrom([]float64{-1, -1, 0, 0.5, 1, 3.3}).Draw(t, "limit")
			incarnation := uint32(rapid.IntRange(1, 2).Draw(t, "incarnation"))
			tables[b].observe(incarnation, answerCase{limit, moment - rapid.IntRange(0, 1500).Draw(t, "took"), moment}.statement())
		}
		now := time.Duration(moment) * time.Millisecond
		for range 3 {
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
				for j := range tables {
					known, _ := tables[i].all(now)
					tables[j].mergeReports(now, known)
				}
			}
		}
		_, want := tables[0].all(now)
		for i := range tables {
			if _, got := tables[i].all(now); LimitsDigest(got) != LimitsDigest(want) {
				t.Fatalf("box %d has limits %v, box 0 has %v", i, got, want)
			}
		}
	})
}

// Invalid reports are ignored.
func TestInvalidLimitReportsAreIgnored(t *testing.T) {
	for _, report := range []LimitReport{{PerSecond: -1}, {PerSecond: math.NaN()}, {PerSecond: 1, Read: -time.Second}, {PerSecond: 1, Since: -1}} {
		t.Run(fmt.Sprint(report), func(t *testing.T) {
			is := is.New(t)
			var l limitTable
			is.Equal(len(l.mergeReports(time.Minute, []LimitReport{report})), 0)
			is.Equal(len(l.byIncarnation), 0)
		})
	}
	is := is.New(t)
	var l limitTable
	l.mergeReports(time.Minute, []LimitReport{{Life: 1, PerSecond: math.Inf(1)}})
	is.Equal(l.active(1).perSecond, float64(NoLimit))
	for incarnation := range uint32(2 * minLimits) {
		l.mergeReports(time.Minute, []LimitReport{{Life: incarnation, PerSecond: 1}})
	}
	is.Equal(len(l.byIncarnation), minLimits)
}

// If more upstreams than the fixed bound advertise limits, all limits are stored. Limits beyond
// the bound were ignored once, and their upstreams got requests without a limit.
func TestLimitTableGrowsWithUpstreams(t *testing.T) {
	is := is.New(t)
	const upstreams = 2 * minLimits
	f := newTestFleet(upstreams)
	for i := range upstreams {
		f.limits.observe(Key(fmt.Sprintf("u%d", i)), LimitStatement{Named: true, PerSecond: 1, Sent: time.Second, Read: time.Second})
	}
	is.Equal(len(f.limits.byIncarnation), upstreams)
}
