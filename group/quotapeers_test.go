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

// publishedItem returns a published item, or its deletion.
func publishedItem(key string, revision uint64, gone bool) []mirror.Item {
	return []mirror.Item{{Key: key, Revision: revision, Deleted: gone}}
}

func TestBoxesShareOnceTheyKnowEachOther(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.startFleet(2, 4)
	w.run(time.Second)
	is.Equal(w.boxes[boxName(0, 2)].node.QuotaPeers(w.now).Boxes, nil) // it has just started
	w.run(4 * time.Second)
	for i := range 4 {
		is.Equal(len(w.boxes[boxName(0, i)].node.QuotaPeers(w.now).Boxes), 4)
	}
	w.boxes[boxName(0, 3)].dead = true
	w.run(time.Minute + 15*time.Second)
	is.Equal(len(w.boxes[boxName(0, 0)].node.QuotaPeers(w.now).Boxes), 3) // it is forgotten after a while
}

func TestBoxThatHearsNoOtherHasNoShare(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 2)
	w.seeds = []string{"nobody"}
	b := w.start("alone", "domain0", 1, false)
	w.run(10 * time.Second)
	is.Equal(b.node.QuotaPeers(w.now).Boxes, nil)
}

// In a domain with more boxes than a message lists, all boxes have a share and all know the same
// boxes.
func TestManyBoxesShare(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 3)
	w.startFleet(1, 60)
	w.run(8 * time.Second)
	all := w.boxes[boxName(0, 5)].node.QuotaPeers(w.now).Boxes
	is.Equal(len(all), 60)
	for i := range 60 {
		s := w.boxes[boxName(0, i)].node.QuotaPeers(w.now)
		is.Equal(s.Boxes, all)
		is.True(slices.Contains(all, s.Box))
	}
	w.boxes[boxName(0, 59)].dead = true
	w.run(recentPeerWindow + 2*listedTimeouts*DefaultTiming.MemberTimeout + 5*time.Second) // the leader keeps listing it for a while, and the share lasts from then
	for i := range 59 {
		is.Equal(len(w.boxes[boxName(0, i)].node.QuotaPeers(w.now).Boxes), 59) // it is forgotten after a while
	}
}

// While boxes are stopped, started, frozen and cut off with their domain and messages are lost,
// all boxes together may never send a cold upstream more than it can handle, nor one that
// announces a limit more than its bound.
func TestNoScheduleExceedsUpstreamCapacity(t *testing.T) {
	const (
		domains, boxes = 2, 9
		most           = 12
	)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(nil, uint64(rapid.IntRange(1, 1<<20).Draw(t, "seed")))
		w.startFleet(domains, boxes)
		w.run(4 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			name := w.names[rapid.IntRange(0, len(w.names)-1).Draw(t, "box")]
			b := w.boxes[name]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				b.dead = true
			case 1:
				w.start(name, b.self.Domain, b.self.Strength, false)
			case 2:
				b.frozen = !b.frozen
			case 3:
				w.cutDomains[b.self.Domain] = !w.cutDomains[b.self.Domain]
			case 4:
				w.lossRate = 0.3 - w.lossRate
			case 5:
				for _, other := range w.names {
					if o := w.boxes[other]; o.self.Domain == b.self.Domain {
						w.start(other, o.self.Domain, o.self.Strength, false)
					}
				}
			}
			w.run(time.Duration(rapid.IntRange(50, 4000).Draw(t, "pause")) * time.Millisecond)
			for _, upstream := range []string{"u1", "u2", "u3"} {
				if sum := w.totalColdRation(upstream, most); sum > most {
					t.Fatalf("boxes may send %d of %d allowed requests to %s", sum, most, upstream)
				}
				for _, limit := range []float64{0, 0.5, 1, 3.3, 20} {
					if sum := w.totalLimitRation(upstream, limit); sum > allowedRequests(limit) {
						t.Fatalf("boxes may send %d of %d allowed requests to %s under a limit of %v per second", sum, allowedRequests(limit), upstream, limit)
					}
				}
			}
		}
	})
}

// totalColdRation adds up what the running boxes may send to a cold upstream of the first domain,
// while both domains have upstreams.
func (w *simulation) totalColdRation(upstream string, most int) int {
	sum := 0
	for _, name := range w.names {
		b := w.boxes[name]
		if b.dead {
			continue
		}
		f := balance.NewFleet(balance.Config{Domain: b.self.Domain, Tuning: balance.DefaultTuning})
		f.SetCold("s", balance.ColdLimit{Duration: time.Minute, MaxPerSecond: most})
		f.SetQuotaPeers(b.node.QuotaPeers(w.now))
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

// totalLimitRation adds up what the running boxes may send to an upstream of the first domain
// that announces a limit.
func (w *simulation) totalLimitRation(upstream string, perSecond float64) int {
	sum := 0
	for _, name := range w.names {
		b := w.boxes[name]
		if b.dead {
			continue
		}
		f := balance.NewFleet(balance.Config{Domain: b.self.Domain, Tuning: balance.DefaultTuning, LimitBounds: limitBounds,
			Regions: map[string]string{domainName(0): "r", domainName(1): "r"}})
		f.SetQuotaPeers(b.node.QuotaPeers(w.now))
		f.Put(0, balance.Upstream{ID: upstream, Service: "s", Domain: domainName(0), Slots: 8})
		f.NoteLimitStatement(time.Second, balance.Incarnation{ID: upstream}, balance.LimitStatement{Named: true, PerSecond: perSecond, Read: time.Second})
		l, _ := f.Limit(time.Second, upstream)
		sum += l.Quota
	}
	return sum
}

// An entry that is published and later deleted, for example the evacuation of a domain, takes
// effect on all boxes within the bound both times, even if the publisher loses its history in
// between or refuses the reader.
func TestDeletionIsKnownWithinBound(t *testing.T) {
	const key, bound = "evacuated", 2 * time.Second
	has := func(b *testBox) bool {
		for _, it := range b.mirror.Items() {
			if it.Key == key {
				return true
			}
		}
		return false
	}
	for _, c := range []struct {
		name  string
		fault func(*simulation)
	}{
		{"no fault", func(*simulation) {}},
		{"the publisher loses its history", func(w *simulation) {
			items, revision := w.published.Items(), w.published.Revision()
			fresh := newSimulation(w.t, 1).published
			fresh.Load(items, revision+1)
			w.published = fresh
		}},
		{"the publisher refuses the reader", func(w *simulation) { w.refusedBoxes[boxName(0, 0)] = true }},
		{"the reader stops", func(w *simulation) { w.boxes[boxName(0, 0)].dead = true }},
		{"a domain is cut off", func(w *simulation) { w.cutDomains[domainName(1)] = true }},
		{"boxes restart", func(w *simulation) {
			for i := range 4 {
				w.start(boxName(1, i), domainName(1), uint32(100-i), false)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 5)
			w.startFleet(2, 8)
			w.run(5 * time.Second)
			for _, gone := range []bool{false, true} {
				c.fault(w)
				r := w.published.Revision()
				w.published.Apply(r, r+1, publishedItem(key, r+1, gone))
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
