package group

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
)

// itemOf is something published, or the news that it is gone.
func itemOf(key string, revision uint64, gone bool) []mirror.Item {
	return []mirror.Item{{Key: key, Revision: revision, Gone: gone}}
}

func TestTheBoxesOfADomainShareOnceTheyKnowEachOther(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.fleet(2, 4)
	w.run(time.Second)
	is.Equal(w.boxes[boxName(0, 2)].node.Sharers(w.now).Boxes, nil) // it has just started
	w.run(4 * time.Second)
	for i := range 4 {
		is.Equal(len(w.boxes[boxName(0, i)].node.Sharers(w.now).Boxes), 4)
	}
	w.boxes[boxName(0, 3)].dead = true
	w.run(time.Minute + 15*time.Second)
	is.Equal(len(w.boxes[boxName(0, 0)].node.Sharers(w.now).Boxes), 3) // it is forgotten after a while
}

func TestABoxThatHearsOfNobodySharesInNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.seeds = []string{"nobody"}
	b := w.start("lonely", "domain0", 1, false)
	w.run(10 * time.Second)
	is.Equal(b.node.Sharers(w.now).Boxes, nil)
}

// A domain has more boxes than a message names: all share all the same, and all know of the same.
func TestAllOfManyBoxesShare(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.fleet(1, 60)
	w.run(8 * time.Second)
	all := w.boxes[boxName(0, 5)].node.Sharers(w.now).Boxes
	is.Equal(len(all), 60)
	for i := range 60 {
		s := w.boxes[boxName(0, i)].node.Sharers(w.now)
		is.Equal(s.Boxes, all)
		is.True(slices.Contains(all, s.Box))
	}
	w.boxes[boxName(0, 59)].dead = true
	w.run(sharesFor + 2*listedFor*DefaultTiming.Member + 5*time.Second) // the lead goes on naming it, and tells so later
	for i := range 59 {
		is.Equal(len(w.boxes[boxName(0, i)].node.Sharers(w.now).Boxes), 59) // it is forgotten after a while
	}
}

// Boxes are killed, started, frozen and cut off with their domain, messages are lost, and
// still all boxes together may never send a cold upstream more than it bears, nor one that names a limit more
// than its bound.
func TestNoScheduleExceedsWhatUpstreamsBear(t *testing.T) {
	const (
		domains, boxes = 2, 9
		most           = 12
	)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(nil, uint64(rapid.IntRange(1, 1<<20).Draw(t, "seed")))
		w.fleet(domains, boxes)
		w.run(4 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			name := w.names[rapid.IntRange(0, len(w.names)-1).Draw(t, "box")]
			b := w.boxes[name]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				b.dead = true
			case 1:
				w.start(name, b.self.Domain, b.self.Strength, false)
			case 2:
				b.frozen = !b.frozen
			case 3:
				w.cut[b.self.Domain] = !w.cut[b.self.Domain]
			case 4:
				w.loss = 0.3 - w.loss
			case 5:
				for _, other := range w.names {
					if o := w.boxes[other]; o.self.Domain == b.self.Domain {
						w.start(other, o.self.Domain, o.self.Strength, false)
					}
				}
			}
			w.run(time.Duration(rapid.IntRange(50, 4000).Draw(t, "pause")) * time.Millisecond)
			for _, upstream := range []string{"u1", "u2", "u3"} {
				if sum := w.rations(upstream, most); sum > most {
					t.Fatalf("%d of %d may be sent to %s", sum, most, upstream)
				}
				for _, limit := range []float64{0, 0.5, 1, 3.3, 20} {
					if sum := w.limitRations(upstream, limit); sum > allowed(limit) {
						t.Fatalf("%d of %d may be sent to %s, which names %v a second", sum, allowed(limit), upstream, limit)
					}
				}
			}
		}
	})
}

// rations adds up what the living boxes may send to a cold upstream of the first domain, where
// both domains have upstreams.
func (w *world) rations(upstream string, most int) int {
	sum := 0
	for _, name := range w.names {
		b := w.boxes[name]
		if b.dead {
			continue
		}
		f := balance.NewFleet(balance.Config{Domain: b.self.Domain, Tuning: balance.DefaultTuning})
		f.SetCold("s", balance.ColdLimit{Lasts: time.Minute, Most: most})
		f.SetSharers(b.node.Sharers(w.now))
		f.Put(0, balance.Upstream{ID: upstream, Service: "s", Domain: domainName(0), Slots: 8, ColdFor: time.Minute})
		f.Put(0, balance.Upstream{ID: "other", Service: "s", Domain: domainName(1), Slots: 8, Leaving: true})
		for range most {
			if _, ok := f.Place(0, balance.Request{Service: "s"}, nil); ok {
				f.Open(0, upstream, balance.Request{Service: "s"})
				sum++
			}
		}
	}
	return sum
}

// limitRations adds up what the living boxes may send to an upstream of the first domain that names a limit.
func (w *world) limitRations(upstream string, perSecond float64) int {
	sum := 0
	for _, name := range w.names {
		b := w.boxes[name]
		if b.dead {
			continue
		}
		f := balance.NewFleet(balance.Config{Domain: b.self.Domain, Tuning: balance.DefaultTuning, Named: boundsOfDay,
			Regions: map[string]string{domainName(0): "r", domainName(1): "r"}})
		f.SetSharers(b.node.Sharers(w.now))
		f.Put(0, balance.Upstream{ID: upstream, Service: "s", Domain: domainName(0), Slots: 8})
		f.Says(time.Second, balance.Incarnation{ID: upstream}, balance.LimitStatement{Named: true, PerSecond: perSecond, Read: time.Second})
		l, _ := f.Limit(time.Second, upstream)
		sum += l.Ration
	}
	return sum
}

// What is published once and taken away again, such as that a domain is evacuated, is in force
// everywhere within the bound both times, though the publisher forgets its history in between
// or turns the reader away.
func TestWhatIsTakenAwayIsKnownWithinTheBound(t *testing.T) {
	const key, bound = "evacuated", 2 * time.Second
	has := func(b *testBox) bool {
		for _, it := range b.copy.Items() {
			if it.Key == key {
				return true
			}
		}
		return false
	}
	for _, c := range []struct {
		name  string
		fault func(*world)
	}{
		{"all is well", func(*world) {}},
		{"the history is forgotten", func(w *world) {
			items, revision := w.published.Items(), w.published.Revision()
			fresh := newWorld(w.t, 1).published
			fresh.Load(items, revision+1)
			w.published = fresh
		}},
		{"the reader is turned away", func(w *world) { w.refused[boxName(0, 0)] = true }},
		{"the reader dies", func(w *world) { w.boxes[boxName(0, 0)].dead = true }},
		{"a domain is cut off", func(w *world) { w.cut[domainName(1)] = true }},
		{"boxes start again", func(w *world) {
			for i := range 4 {
				w.start(boxName(1, i), domainName(1), uint32(100-i), false)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 5)
			w.fleet(2, 8)
			w.run(5 * time.Second)
			for _, gone := range []bool{false, true} {
				c.fault(w)
				r := w.published.Revision()
				w.published.Apply(r, r+1, itemOf(key, r+1, gone))
				w.run(bound)
				wrong := slices.DeleteFunc(slices.Clone(w.names), func(name string) bool {
					b := w.boxes[name]
					return b.dead || has(b) == !gone
				})
				is.Equal(len(wrong), 0)
				w.run(2 * time.Second)
			}
		})
	}
}
