package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// respond lets an upstream answer a box. A negative value announces no limit.
func (d *limitReplay) respond(box, upstream string, perSecond float64) {
	d.fleetOf(box).NoteLimitStatement(d.sim.now, balance.Incarnation{ID: upstream}, balance.LimitStatement{Named: perSecond >= 0, PerSecond: max(perSecond, 0),
		Sent: d.sim.now - time.Millisecond, Read: d.sim.now})
}

// countKnowing counts the running boxes, and those of them that know a limit.
func (d *limitReplay) countKnowing(upstream string, perSecond float64) (know, alive int) {
	for _, name := range d.sim.names {
		b := d.sim.boxes[name]
		if b.dead {
			continue
		}
		alive++
		l, hasLimit := d.fleetOf(name).Limit(d.sim.now, upstream)
		if hasLimit == (perSecond >= 0) && l.PerSecond == max(perSecond, 0) {
			know++
		}
	}
	return know, alive
}

// idleReplay starts six boxes in three domains without any requests.
func idleReplay(t testing.TB, seed uint64) *limitReplay {
	d := newLimitReplay(t, limitReplayConfig{seed: seed, domains: 3, boxes: 6, upstreams: 2, perSecond: 1e-3})
	return d
}

// An upstream announces a limit to one box, and lifts it later in an answer to a box: all boxes
// learn of both, whatever happens meanwhile.
func TestLimitReachesAllBoxes(t *testing.T) {
	const upstream, limit = "u0", 2.5
	for _, test := range []struct {
		name   string
		within time.Duration
		apply  func(d *limitReplay, announce func())
	}{
		{"no fault", 200 * time.Millisecond, func(_ *limitReplay, announce func()) { announce() }},
		{"a fifth of all messages is lost", knownWithin, func(d *limitReplay, announce func()) {
			d.sim.lossRate = 0.2
			announce()
		}},
		{"half of all messages are lost", 20 * time.Second, func(d *limitReplay, announce func()) {
			d.sim.lossRate = 0.5
			announce()
		}},
		{"the leader stops right after it received the entry", knownWithin, func(d *limitReplay, announce func()) {
			announce()
			d.advance(10 * time.Millisecond)
			d.sim.boxes["b0"].dead = true
		}},
		{"a domain is cut off meanwhile", knownWithin, func(d *limitReplay, announce func()) {
			d.sim.cutDomains["d1"] = true
			d.advance(2 * time.Second)
			announce()
			d.advance(4 * time.Second)
			d.sim.cutDomains["d1"] = false
		}},
		{"a box restarts", knownWithin, func(d *limitReplay, announce func()) {
			announce()
			d.advance(time.Second)
			d.sim.start("b5", "d2", 1, false)
		}},
		{"all boxes of a domain restart", knownWithin, func(d *limitReplay, announce func()) {
			announce()
			d.advance(time.Second)
			for i, name := range []string{"b1", "b4"} {
				d.sim.start(name, "d1", uint32(5-i), false)
			}
		}},
		{"a box was frozen", knownWithin, func(d *limitReplay, announce func()) {
			d.sim.boxes["b2"].frozen = true
			announce()
			d.advance(5 * time.Second)
			d.sim.boxes["b2"].frozen = false
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				d := idleReplay(t, seed)
				for box, value := range map[string]float64{"b3": limit} {
					test.apply(d, func() { d.respond(box, upstream, value) })
					d.advance(test.within)
					if know, alive := d.countKnowing(upstream, value); know != alive {
						t.Fatalf("seed %d: %d of %d boxes know the limit", seed, know, alive)
					}
				}
				d = idleReplay(t, seed)
				d.respond("b3", upstream, limit)
				d.advance(time.Second)
				test.apply(d, func() { d.respond("b3", upstream, -1) })
				d.advance(test.within)
				if know, alive := d.countKnowing(upstream, -1); know != alive {
					t.Fatalf("seed %d: %d of %d boxes know that the limit was lifted", seed, know, alive)
				}
			}
		})
	}
}

// Boxes of two domains receive different limits at the same time: all adopt the lower one.
func TestLowerOfTwoConcurrentLimitsIsUsed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		d := idleReplay(t, seed)
		d.respond("b3", "u0", 5)
		d.respond("b4", "u0", 2)
		d.advance(knownWithin)
		know, alive := d.countKnowing("u0", 2)
		is.Equal(know, alive)
	}
}

// Reports were repeated with the ages that they had when first sent. A box did not use its quota of a
// limit that had ended and begun again, although all boxes knew the limit.
func TestLimitThatBeginsSoonAfterEndReachesAllBoxes(t *testing.T) {
	for seed := range uint64(20) {
		d := idleReplay(t, seed)
		d.respond("b1", "u0", 10)
		d.advance(200 * time.Millisecond)
		d.respond("b3", "u0", -1)
		d.advance(100 * time.Millisecond)
		d.respond("b1", "u0", 10)
		d.advance(300 * time.Millisecond)
		if know, alive := d.countKnowing("u0", 10); know != alive {
			t.Errorf("seed %d: %d of %d boxes know the limit", seed, know, alive)
		}
		if may, withQuota := d.mayUse("u0"); may != withQuota {
			t.Errorf("seed %d: %d of %d boxes may use their quotas", seed, may, withQuota)
		}
	}
}

// A limit that all boxes know is not announced again.
func TestKnownLimitIsNotAnnouncedAgain(t *testing.T) {
	is := is.New(t)
	d := idleReplay(t, 1)
	sentBytes := func() int {
		return d.sim.bytesByKind[sentKey{KindLimits, ReachDomain}] + d.sim.bytesByKind[sentKey{KindLimits, ReachRegion}]
	}
	is.Equal(sentBytes(), 0)
	d.respond("b3", "u0", 2)
	d.advance(2 * time.Second)
	first := sentBytes()
	is.True(first > 0)
	is.True(first < 2000) // bytes
	for range 20 {
		d.respond("b4", "u0", 2) // it keeps announcing the same limit
		d.advance(500 * time.Millisecond)
	}
	is.Equal(sentBytes(), first)
}

// Seeds sent a box that started anew their limits beside the answer to its hello. Where the limits came
// first, the box did not know their sender, ignored them, and got them with the next heartbeats only.
func TestLimitsThatOvertookAnswerToHelloWereLost(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		d := idleReplay(t, seed)
		d.respond("b0", "u0", 2)
		d.advance(time.Second)
		d.restart("b4", 500*time.Millisecond)
		d.advance(100 * time.Millisecond) // four messages of up to 15 ms, and less than between heartbeats
		know, alive := d.countKnowing("u0", 2)
		is.Equal(know, alive)
	}
}

// Limits from an earlier run of a box, or from an unknown box, are ignored.
func TestLimitsFromBeforeRestartAreIgnored(t *testing.T) {
	is := is.New(t)
	d := idleReplay(t, 1)
	b := d.sim.boxes["b0"]
	limits := []*wire.GroupLimit{{Life: balance.Key("u0"), PerSecond: 1}}
	other := d.sim.boxes["b3"].self
	b.node.Handle(d.sim.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: other.Name, Boot: other.Boot - 1}, Limits: limits})
	is.Equal(len(b.node.DrainLimits()), 0)
	b.node.Handle(d.sim.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: "unknown", Boot: 1}, Limits: limits})
	is.Equal(len(b.node.DrainLimits()), 0)
	b.node.Handle(d.sim.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: other.Name, Boot: other.Boot}, Limits: limits})
	is.Equal(len(b.node.DrainLimits()), 1)
}

// BenchmarkLimitMessages measures the messages between boxes about limits: all bytes after one
// upstream announces a first limit, and bytes per second while a hundred upstreams announce
// limits that change every ten seconds.
func BenchmarkLimitMessages(b *testing.B) {
	for _, boxes := range []int{8, 100, 300} {
		b.Run(fmt.Sprint("boxes=", boxes), func(b *testing.B) {
			for range b.N {
				d := newLimitReplay(b, limitReplayConfig{seed: 1, domains: 3, boxes: boxes, upstreams: 100, perSecond: 1e-3})
				sentBytes := func() int {
					return d.sim.bytesByKind[sentKey{KindLimits, ReachDomain}] + d.sim.bytesByKind[sentKey{KindLimits, ReachRegion}]
				}
				d.respond("b3", "u0", 2)
				d.advance(2 * time.Second)
				b.ReportMetric(float64(sentBytes()), "B/first")
				before := sentBytes()
				const span = 10
				for i := range span * 10 {
					d.respond(d.sim.names[i%len(d.sim.names)], fmt.Sprint("u", i), 1+float64(i%7))
					d.advance(100 * time.Millisecond)
				}
				b.ReportMetric(float64(sentBytes()-before)/span, "B/s")
				b.ReportMetric(float64(sentBytes()-before)/span/float64(boxes), "B/s-a-box")
			}
		})
	}
}

// A box that lacked more limits than one message holds was sent the same ones with each
// heartbeat, and never the rest.
func TestNewBoxReceivesAllLimits(t *testing.T) {
	is := is.New(t)
	const upstreams = 5*maxEntriesPerMessage + 7
	d := newLimitReplay(t, limitReplayConfig{seed: 1, domains: 3, boxes: 6, upstreams: upstreams, perSecond: 1e-3})
	for i := range upstreams {
		d.respond("b3", fmt.Sprintf("u%d", i), 2.5)
	}
	d.advance(3 * time.Second)
	d.sim.start("b5", "d2", 1, false)
	d.advance(3 * time.Second)
	for i := range upstreams {
		know, alive := d.countKnowing(fmt.Sprintf("u%d", i), 2.5)
		is.Equal(know, alive)
	}
}
