package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// says has an upstream answer a box; below 0 it names no limit.
func (d *needyDay) says(box, upstream string, perSecond float64) {
	d.fleetOf(box).Says(d.w.now, balance.Incarnation{ID: upstream}, balance.LimitStatement{Named: perSecond >= 0, PerSecond: max(perSecond, 0),
		Sent: d.w.now - time.Millisecond, Read: d.w.now})
}

// knowing counts the boxes alive, and those of them that know a limit.
func (d *needyDay) knowing(upstream string, perSecond float64) (know, alive int) {
	for _, name := range d.w.names {
		b := d.w.boxes[name]
		if b.dead {
			continue
		}
		alive++
		l, isNamed := d.fleetOf(name).Limit(d.w.now, upstream)
		if isNamed == (perSecond >= 0) && l.PerSecond == max(perSecond, 0) {
			know++
		}
	}
	return know, alive
}

// calmDay is six boxes of three domains that nothing comes to.
func calmDay(t testing.TB, seed uint64) *needyDay {
	d := newNeedyDay(t, needyConfig{seed: seed, domains: 3, boxes: 6, upstreams: 2, perSecond: 1e-3})
	return d
}

// One box is told by an upstream what it takes, and another one later that it takes all again: all boxes come to
// know, whatever happens meanwhile.
func TestAllBoxesComeToKnowALimit(t *testing.T) {
	const upstream, limit = "u0", 2.5
	for _, test := range []struct {
		name   string
		within time.Duration
		do     func(d *needyDay, say func())
	}{
		{"nothing happens", 200 * time.Millisecond, func(_ *needyDay, say func()) { say() }},
		{"a fifth of all messages is lost", hears, func(d *needyDay, say func()) {
			d.w.loss = 0.2
			say()
		}},
		{"half of all messages are lost", 20 * time.Second, func(d *needyDay, say func()) {
			d.w.loss = 0.5
			say()
		}},
		{"the lead dies just after it was told", hears, func(d *needyDay, say func()) {
			say()
			d.pass(10 * time.Millisecond)
			d.w.boxes["b0"].dead = true
		}},
		{"a domain is cut off meanwhile", hears, func(d *needyDay, say func()) {
			d.w.cut["d1"] = true
			d.pass(2 * time.Second)
			say()
			d.pass(4 * time.Second)
			d.w.cut["d1"] = false
		}},
		{"a box starts again", hears, func(d *needyDay, say func()) {
			say()
			d.pass(time.Second)
			d.w.start("b5", "d2", 1, false)
		}},
		{"all of a domain start again", hears, func(d *needyDay, say func()) {
			say()
			d.pass(time.Second)
			for i, name := range []string{"b1", "b4"} {
				d.w.start(name, "d1", uint32(5-i), false)
			}
		}},
		{"a box was frozen", hears, func(d *needyDay, say func()) {
			d.w.boxes["b2"].frozen = true
			say()
			d.pass(5 * time.Second)
			d.w.boxes["b2"].frozen = false
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				d := calmDay(t, seed)
				for box, value := range map[string]float64{"b3": limit} {
					test.do(d, func() { d.says(box, upstream, value) })
					d.pass(test.within)
					if know, alive := d.knowing(upstream, value); know != alive {
						t.Fatalf("seed %d: %d of %d boxes know it", seed, know, alive)
					}
				}
				d = calmDay(t, seed)
				d.says("b3", upstream, limit)
				d.pass(time.Second)
				test.do(d, func() { d.says("b3", upstream, -1) })
				d.pass(test.within)
				if know, alive := d.knowing(upstream, -1); know != alive {
					t.Fatalf("seed %d: %d of %d boxes know that it has ended", seed, know, alive)
				}
			}
		})
	}
}

// Two boxes of different domains are told different values at the same moment: all come to keep to the lower.
func TestOfTwoValuesAtOnceTheLowerHolds(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		d := calmDay(t, seed)
		d.says("b3", "u0", 5)
		d.says("b4", "u0", 2)
		d.pass(hears)
		know, alive := d.knowing("u0", 2)
		is.Equal(know, alive)
	}
}

// What all know is not told again.
func TestALimitThatIsKnownIsNotToldAgain(t *testing.T) {
	is := is.New(t)
	d := calmDay(t, 1)
	told := func() int {
		return d.w.kinds[sentKey{KindLimits, ReachDomain}] + d.w.kinds[sentKey{KindLimits, ReachRegion}]
	}
	is.Equal(told(), 0)
	d.says("b3", "u0", 2)
	d.pass(2 * time.Second)
	first := told()
	is.True(first > 0)
	is.True(first < 2000) // bytes
	for range 20 {
		d.says("b4", "u0", 2) // it goes on saying so
		d.pass(500 * time.Millisecond)
	}
	is.Equal(told(), first)
}

// A message about limits is no sign of life, and one from an earlier life of a box says nothing.
func TestLimitsOfAnEarlierLifeOfABoxArePassedOver(t *testing.T) {
	is := is.New(t)
	d := calmDay(t, 1)
	b := d.w.boxes["b0"]
	limits := []*wire.GroupLimit{{Life: balance.Key("u0"), PerSecond: 1}}
	other := d.w.boxes["b3"].self
	b.node.Handle(d.w.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: other.Name, Boot: other.Boot - 1}, Limits: limits})
	is.Equal(len(b.node.DrainLimits()), 0)
	b.node.Handle(d.w.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: "unknown", Boot: 1}, Limits: limits})
	is.Equal(len(b.node.DrainLimits()), 0)
	b.node.Handle(d.w.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: other.Name, Boot: other.Boot}, Limits: limits})
	is.Equal(len(b.node.DrainLimits()), 1)
}

// BenchmarkLimitsAmong tells what boxes say to each other when upstreams name limits: all bytes while the first names
// one, and bytes a second while a hundred name one each and each changes every ten seconds.
func BenchmarkLimitsAmong(b *testing.B) {
	for _, boxes := range []int{8, 100, 300} {
		b.Run(fmt.Sprint("boxes=", boxes), func(b *testing.B) {
			for range b.N {
				d := newNeedyDay(b, needyConfig{seed: 1, domains: 3, boxes: boxes, upstreams: 100, perSecond: 1e-3})
				told := func() int {
					return d.w.kinds[sentKey{KindLimits, ReachDomain}] + d.w.kinds[sentKey{KindLimits, ReachRegion}]
				}
				d.says("b3", "u0", 2)
				d.pass(2 * time.Second)
				b.ReportMetric(float64(told()), "B/first")
				before := told()
				const span = 10
				for i := range span * 10 {
					d.says(d.w.names[i%len(d.w.names)], fmt.Sprint("u", i), 1+float64(i%7))
					d.pass(100 * time.Millisecond)
				}
				b.ReportMetric(float64(told()-before)/span, "B/s")
				b.ReportMetric(float64(told()-before)/span/float64(boxes), "B/s-a-box")
			}
		})
	}
}

// Where a box lacked more limits than a message holds, it was told the same ones with each beat, and never the rest.
func TestABoxThatStartsLearnsOfAllLimits(t *testing.T) {
	is := is.New(t)
	const upstreams = 5*maxSpreadTold + 7
	d := newNeedyDay(t, needyConfig{seed: 1, domains: 3, boxes: 6, upstreams: upstreams, perSecond: 1e-3})
	for i := range upstreams {
		d.says("b3", fmt.Sprintf("u%d", i), 2.5)
	}
	d.pass(3 * time.Second)
	d.w.start("b5", "d2", 1, false)
	d.pass(3 * time.Second)
	for i := range upstreams {
		know, alive := d.knowing(fmt.Sprintf("u%d", i), 2.5)
		is.Equal(know, alive)
	}
}
