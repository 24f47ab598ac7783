package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// sendBefore lets a box send requests to an upstream that has not announced a limit.
func (d *limitReplay) sendBefore(box, upstream string, count int) {
	for range count {
		d.fleetOf(box).Open(d.sim.now, upstream, balance.Request{Service: "s"}).Close(d.sim.now, balance.Answered)
	}
}

// mayUse returns how many running boxes that know an upstream's limit may send it a request now, and
// how many of them have a quota.
func (d *limitReplay) mayUse(upstream string) (may, withQuota int) {
	for _, name := range d.sim.names {
		if d.sim.boxes[name].dead {
			continue
		}
		f := d.fleetOf(name)
		l, isKnown := f.Limit(d.sim.now, upstream)
		if l.Quota > 0 {
			withQuota++
		}
		if isKnown && !f.LimitExhausted(d.sim.now, upstream) {
			may++
		}
	}
	return may, withQuota
}

// Boxes without requests of their own sent their quota in the first span of a limit, although the
// requests of one other box already exceeded it.
func TestUnevenLoadBeforeLimitStaysWithinBound(t *testing.T) {
	for seed := range uint64(8) {
		d := newLimitReplay(t, limitReplayConfig{seed: seed, domains: 3, boxes: 6, upstreams: 4, perSecond: 80})
		d.arriveAt = []string{"b0"}
		d.advance(6 * time.Second) // longer than requests are counted
		u := d.upstreams[0]
		u.limit = 0.5
		for u.announcedAt == 0 {
			d.advance(step)
		}
		d.advance(recoveryBound)
		d.arriveAt = []string{"b1", "b2", "b3", "b4", "b5"}
		d.advance(6 * time.Second)
		if got := u.maxInSpan(d); got > allowedRequests(u.limit) {
			t.Errorf("seed %d: %d requests in %v under a limit of %v per second, %d are allowed", seed, got, limitSpan, u.limit, allowedRequests(u.limit))
		}
	}
}

// Boxes refused requests in the first span of new limits, although the upstreams had capacity.
func TestNewLimitsAboveLoadRefuseNothing(t *testing.T) {
	for _, test := range []struct {
		name      string
		idle      bool    // no requests arrive before the upstreams announce their limits
		perSecond float64 // requests, over all boxes
		limit     float64
	}{
		{"service was idle", true, 8, 3.3}, // 13.2 are accepted
		{"service was busy", false, 80, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(8) {
				cfg := limitReplayConfig{seed: seed, domains: 3, boxes: 6, upstreams: 4, perSecond: test.perSecond, inTurn: true}
				if test.idle {
					cfg.perSecond = 1e-3
				}
				d := newLimitReplay(t, cfg)
				for _, u := range d.upstreams {
					u.limit = test.limit
				}
				d.cfg.perSecond, d.nextArrival = test.perSecond, d.sim.now
				d.advance(20 * time.Second)
				is.Equal(d.refused, [balance.UrgencyLevels]int{})
				for _, u := range d.upstreams {
					is.True(u.maxInSpan(d) <= allowedRequests(u.limit))
				}
			}
		})
	}
}

// All boxes learn how many requests they sent together, and use their quotas in the first span if
// that leaves enough of the bound.
func TestPriorTotalReachesAllBoxes(t *testing.T) {
	const upstream, limit = "u0", 10.0 // 49 requests in 5 s, and a bound of 65 in 4 s
	for _, test := range []struct {
		name   string
		within time.Duration
		apply  func(d *limitReplay)
	}{
		{"no fault", 200 * time.Millisecond, func(*limitReplay) {}},
		{"a fifth of all messages is lost", knownWithin, func(d *limitReplay) { d.sim.lossRate = 0.2 }},
		{"the leader stops", 3500 * time.Millisecond, func(d *limitReplay) { d.sim.boxes["b0"].dead = true }},
		{"a member stops", 3500 * time.Millisecond, func(d *limitReplay) { d.sim.boxes["b3"].dead = true }},
		{"a domain is cut off", 3500 * time.Millisecond, func(d *limitReplay) { d.sim.cutDomains["d2"] = true }},
		{"a member restarts", knownWithin, func(d *limitReplay) { d.sim.start("b4", "d1", 2, false) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(8) {
				d := idleReplay(t, seed)
				d.sendBefore("b1", upstream, 7)
				test.apply(d)
				d.respond("b1", upstream, limit)
				d.advance(test.within)
				may, withQuota := d.mayUse(upstream)
				is.True(withQuota > 0)
				is.Equal(may, withQuota)
				d = idleReplay(t, seed)
				d.sendBefore("b1", upstream, 70)
				test.apply(d)
				d.respond("b1", upstream, limit)
				for range 49 {
					d.advance(100 * time.Millisecond)
					may, _ = d.mayUse(upstream)
					is.Equal(may, 0)
				}
			}
		})
	}
}

// When a box started anew, its requests from before a limit left the total, and the others sent as many
// more.
func TestPriorTotalFellWhenBoxRestarted(t *testing.T) {
	const upstream, limit = "u0", 10.0          // 65 requests may arrive in 4 s
	for _, name := range []string{"b1", "b4"} { // leads its domain; a member
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(8) {
				d := idleReplay(t, seed)
				d.sendBefore(name, upstream, 70)
				d.respond("b0", upstream, limit)
				d.advance(500 * time.Millisecond)
				d.restart(name, 100*time.Millisecond)
				for range 40 {
					d.advance(100 * time.Millisecond)
					may, _ := d.mayUse(upstream)
					is.Equal(may, 0)
				}
			}
		})
	}
}

// Boxes wait for the end of the first span if one of them reports nothing, like an older version.
func TestBoxThatReportsNoPriorCountDelaysQuotas(t *testing.T) {
	for _, silent := range []string{"b0", "b3", "b4"} { // the leader of a domain, one of its members, another member
		t.Run(silent, func(t *testing.T) {
			is := is.New(t)
			d := idleReplay(t, 1)
			d.silent = silent
			d.respond("b1", "u0", 10)
			d.advance(4900 * time.Millisecond)
			may, _ := d.mayUse("u0")
			is.Equal(may, 0)
			d.advance(500 * time.Millisecond)
			may, withQuota := d.mayUse("u0")
			is.Equal(may, withQuota)
		})
	}
}

// A box of a version without these counts reads a message with them as one without changed loads:
// its sender keeps its role, and no answer is due.
func TestOlderBoxIgnoresPriorCounts(t *testing.T) {
	is := is.New(t)
	d := idleReplay(t, 1)
	older := d.sim.boxes["b3"].node
	leader := older.peers[older.leader().Name]
	before := *leader
	older.Drain()
	older.Handle(d.sim.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: leader.box.Name, Boot: leader.box.Boot}, Partial: true})
	is.Equal(*leader, before)
	out, _ := older.Drain()
	is.Equal(len(out), 0)
}

// BenchmarkPriorCountMessages measures the messages about requests before limits: all bytes after
// one upstream announces a limit, after a hundred do at once, and how long it takes until all boxes
// know the totals.
func BenchmarkPriorCountMessages(b *testing.B) {
	for _, boxes := range []int{8, 100, 300} {
		for _, limited := range []int{1, 100} {
			b.Run(fmt.Sprintf("boxes=%d/limits=%d", boxes, limited), func(b *testing.B) {
				for range b.N {
					d := newLimitReplay(b, limitReplayConfig{seed: 1, domains: 3, boxes: boxes, upstreams: 100, perSecond: 1e-3})
					start := d.sim.now
					for i := range limited {
						d.respond(d.sim.names[i%len(d.sim.names)], fmt.Sprint("u", i), 10)
					}
					d.advance(step)
					for d.waiting(limited) > 0 && d.sim.now-start < limitSpan {
						d.advance(step)
					}
					b.ReportMetric((d.sim.now-start).Seconds()*1e3, "ms/known")
					d.advance(start + limitSpan + 2*time.Second - d.sim.now)
					bytes := 0
					for key, n := range d.sim.bytesByKind {
						if key.kind == KindPriorCounts {
							bytes += n
						}
					}
					b.ReportMetric(float64(bytes), "B")
				}
			})
		}
	}
}

// waiting counts the first upstreams whose limit a box does not know yet, or for which a box with a
// quota may send nothing yet.
func (d *limitReplay) waiting(upstreams int) int {
	count := 0
	for i := range upstreams {
		id := fmt.Sprint("u", i)
		know, alive := d.countKnowing(id, 10)
		if may, withQuota := d.mayUse(id); know < alive || may < withQuota {
			count++
		}
	}
	return count
}
