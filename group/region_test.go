package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// regionsCut cuts the links between regions.
func regionsCut(a, b *wire.GroupBox) bool { return a.Region != b.Region }

// loadAll gives each box a load of its own on an upstream that all share, and on one that is
// its alone; the loads differ, so that a sum shows whose are in it.
func (w *world) loadAll() {
	for i, name := range w.names {
		w.boxes[name].node.SetLoads(Loads{
			{Upstream: 7, Urgency: 2}:    {Unread: tokenUnit << (i % 16), Open: 1},
			{Upstream: uint32(1000 + i)}: {Unread: 100 * tokenUnit, Open: 3, Held: 1000 * tokenUnit},
		})
	}
}

// othersOf is what a box has to know of all others that live and that reach says it hears of.
func (w *world) othersOf(name string, reach func(a, b *wire.GroupBox) bool) Loads {
	want := make(Loads)
	for _, other := range w.names {
		if b := w.boxes[other]; other != name && !b.dead && reach(w.boxes[name].self, b.self) {
			addLoads(want, rounded(b.node.loads))
		}
	}
	return want
}

func everyone(_, _ *wire.GroupBox) bool { return true }

// checkOthers checks what each box that lives knows of the others.
func (w *world) checkOthers(t testing.TB, when string, reach func(a, b *wire.GroupBox) bool) {
	t.Helper()
	for _, name := range w.names {
		if w.boxes[name].dead {
			continue
		}
		got, want := w.boxes[name].node.OtherLoads(), w.othersOf(name, reach)
		for key, load := range want {
			if got[key] != load {
				t.Fatalf("%s: %s believes %v of %v, and it is %v", when, name, got[key], key, load)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%s: %s knows of %d loads, and there are %d", when, name, len(got), len(want))
		}
	}
}

// settle is within how long all loads are known everywhere after the last failure: a box counts
// as gone after Timing.Member, and a whole list is told between regions each few seconds.
const settle = 14 * time.Second

// Whatever becomes of the box that speaks for a region, each box soon knows what all others have
// under way, each counted once.
func TestLoadsAreCountedOnceAcrossRegions(t *testing.T) {
	lead := boxName(0, 0) // of region 0, the strongest of all
	tests := []struct {
		name string
		fail func(w *world)
		mend func(w *world)
	}{
		{"all is well", func(*world) {}, func(*world) {}},
		{"it dies", func(w *world) { w.boxes[lead].dead = true }, func(*world) {}},
		{"it dies and comes back", func(w *world) { w.boxes[lead].dead = true },
			func(w *world) { w.start(lead, domainName(0), 1000, false) }},
		{"it stands still for a while", func(w *world) { w.boxes[lead].frozen = true }, func(w *world) { w.boxes[lead].frozen = false }},
		{"its domain is cut off for a while", func(w *world) { w.cut[domainName(0)] = true }, func(w *world) { w.cut[domainName(0)] = false }},
		{"regions are cut from each other for a while", func(w *world) { w.severs = regionsCut }, func(w *world) { w.severs = nil }},
		{"a third of the messages are lost for a while", func(w *world) { w.loss = 0.3 }, func(w *world) { w.loss = 0 }},
		{"it is cut off from the other domain of its region", func(w *world) {
			w.severs = func(a, b *wire.GroupBox) bool {
				return a.Domain != b.Domain && a.Region == b.Region && a.Region == "region0"
			}
		}, func(w *world) { w.severs = nil }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := across(t, 5, layout{6, 3}, 18)
			w.loadAll()
			w.run(5 * time.Second)
			tt.fail(w)
			w.run(5 * time.Second)
			tt.mend(w)
			w.loadAll()
			w.run(settle)
			w.checkOthers(t, tt.name, everyone)
		})
	}
}

// A region that is cut off knows its own loads and no others', reads for itself, and learns what
// is published meanwhile; one that comes back is told of others within seconds.
func TestARegionThatIsCutOffServesOn(t *testing.T) {
	is := is.New(t)
	w := across(t, 6, layout{6, 3}, 18)
	w.loadAll()
	w.run(5 * time.Second)
	w.severs = regionsCut
	w.run(5 * time.Second)
	w.checkOthers(t, "cut off", func(a, b *wire.GroupBox) bool { return a.Region == b.Region })
	w.publish(documentKey, "new")
	w.run(DefaultTiming.Stale + 300*time.Millisecond)
	is.Equal(w.behind(), nil)
	clear(w.kinds)
	w.severs = nil
	w.run(2 * time.Second)
	for kind, bytes := range w.kinds {
		if kind.reach == ReachFar {
			is.True(bytes < 40_000) // of all boxes, in 2 s
		}
	}
	w.run(settle)
	w.checkOthers(t, "back", everyone)
}

// Between regions loads and parts of prompts go from one box of a region to one of another, and
// reach all.
func TestWhatCrossesTheEdgeOfARegion(t *testing.T) {
	is := is.New(t)
	w := across(t, 7, layout{6, 3}, 18)
	w.run(10 * time.Second)
	w.loadAll()
	part := balance.PartReport{Part: 5, Upstream: 9}
	w.boxes[boxName(1, 2)].node.AnnounceSentParts([]balance.PartReport{part})
	links := make(map[string]bool) // from a region's box to another one's
	heard := make(map[string][]balance.PartReport)
	for range 100 {
		w.run(step)
		for _, f := range w.flying {
			m := new(wire.GroupMessage)
			is.NoErr(proto.Unmarshal(f.data, m))
			from, to := w.boxes[f.from].self, w.boxes[f.to].self
			if (m.HasLoads || len(m.Kept) > 0) && from.Region != to.Region {
				links[from.Name+" "+to.Name] = true
			}
		}
		for _, name := range w.names {
			heard[name] = append(heard[name], w.boxes[name].node.DrainSentParts()...)
		}
	}
	is.Equal(len(links), 6) // three regions, each to two others
	for _, name := range w.names {
		is.Equal(slices.Contains(heard[name], part), name != boxName(1, 2))
		is.True(len(heard[name]) <= 2*keptTells)
	}
}

// However loads change, an audience is sent no more than its budget, and what it believes
// differs from the truth by no more than what is not worth telling, once there was time.
func TestAnAudienceIsToldWithinItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tell := rapid.SampledFrom([]telling{toMembers, toNear, toFar}).Draw(t, "telling")
		n := NewNode(Config{Self: &wire.GroupBox{Name: "a", Domain: "d", Address: "a"}, Timing: DefaultTiming, Mirror: mirror.New(), FirstStart: true}, 0)
		a := newAudience(tell, scopeRegion)
		for i := range rapid.IntRange(1, 30).Draw(t, "boxes") {
			a.peers = append(a.peers, &peer{box: &wire.GroupBox{Name: fmt.Sprint("p", i), Address: fmt.Sprint(i), Boot: 1}})
		}
		truth := make(Loads)
		a.list = func() Loads { return truth }
		a.value = func(key balance.LoadKey) balance.Load { return truth[key] }
		believed := make(Loads)
		bytes, now := 0, time.Duration(0)
		last := 0 // bytes of the newest message, whose pause is still under way
		take := func() {
			out, _ := n.Drain()
			for _, o := range out {
				if o.To != "0" {
					continue
				}
				if !o.Message.Partial {
					believed = loadsOf(o.Message)
				} else {
					for key, load := range loadsOf(o.Message) {
						setLoad(believed, key, load)
					}
					bytes, last = bytes+last, proto.Size(o.Message)
				}
			}
		}
		keys := rapid.IntRange(1, 300).Draw(t, "keys")
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for range steps {
			for range rapid.IntRange(0, 40).Draw(t, "changes") {
				key := balance.LoadKey{Upstream: uint32(rapid.IntRange(1, keys).Draw(t, "key"))}
				setLoad(truth, key, balance.Load{Unread: 64 * rapid.IntRange(0, 200).Draw(t, "unread"), Open: rapid.IntRange(0, 20).Draw(t, "open")})
				a.changed[key] = struct{}{}
			}
			a.tellChanges(n, now)
			take()
			now += 30 * time.Millisecond
		}
		each := min(tell.each, tell.total/float64(len(a.peers)))
		if limit := each * now.Seconds() * 1.01; float64(bytes) > limit {
			t.Fatalf("%d bytes in %v, %f are allowed", bytes, now, limit)
		}
		for range 2000 {
			a.tellChanges(n, now)
			take()
			now += 30 * time.Millisecond
		}
		for key, load := range truth {
			if told := believed[key]; told != roundedLoad(load) && a.matters(told, roundedLoad(load)) {
				t.Fatalf("%v is believed of %v, and it is %v", told, key, load)
			}
		}
		a.tellWhole(n, now+wholeMost)
		take()
		if len(believed) != len(rounded(truth)) {
			t.Fatalf("%d loads are believed after a whole list, there are %d", len(believed), len(rounded(truth)))
		}
	})
}

// Columns hold what they are made of.
func TestColumnsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := make(Loads)
		for range rapid.IntRange(0, 40).Draw(t, "loads") {
			key := balance.LoadKey{Upstream: rapid.Uint32().Draw(t, "upstream"), Urgency: rapid.IntRange(0, balance.Levels-1).Draw(t, "urgency")}
			l[key] = roundedLoad(balance.Load{Unread: rapid.IntRange(0, 1<<20).Draw(t, "unread"), Open: rapid.IntRange(0, 99).Draw(t, "open"),
				Tight: rapid.IntRange(0, 9).Draw(t, "tight"), Held: rapid.IntRange(0, 1<<24).Draw(t, "held")})
		}
		got := unpackColumns(packColumns(l))
		if len(got) != len(l) {
			t.Fatalf("%d of %d", len(got), len(l))
		}
		for key, load := range l {
			if got[key] != load {
				t.Fatalf("%v: %v != %v", key, got[key], load)
			}
		}
	})
}

// What is garbled in columns is not believed further than it goes.
func TestColumnsThatAreTooShortCountAsNothing(t *testing.T) {
	is := is.New(t)
	got := unpackColumns(&wire.GroupColumns{Upstream: []uint32{1, 2, 3}, Levels: []uint32{3, 1 << 31}, Unread: []uint32{5}, Open: []uint32{1, 2}})
	is.Equal(got, Loads{{Upstream: 1}: {Unread: 5 * tokenUnit, Open: 1}, {Upstream: 1, Urgency: 1}: {Open: 2}})
}

// After many boxes have started at once, what is published goes to the leads of other domains
// alone, though each of their boxes led its domain for a moment; so does what a lead says when
// it ends, and a member tells its own domain only.
func TestOtherDomainsAreToldThroughTheirLeads(t *testing.T) {
	is := is.New(t)
	w := across(t, 9, layout{3, 1}, 60)
	w.killAll()
	w.run(8 * time.Second)
	count := func(do func()) map[Reach]int {
		w.run(DefaultTiming.Beat)
		reaches := make(map[Reach]int)
		do()
		for _, name := range w.names {
			out, _ := w.boxes[name].node.Drain()
			for _, o := range out {
				if k := KindOf(o.Message); k == KindPublished || o.Message.Leaving {
					reaches[o.Reach]++
				}
			}
		}
		return reaches
	}
	lead := w.boxes[boxName(0, 0)].node
	changes := []mirror.Item{{Key: documentKey, Value: []byte("2"), Revision: 2}}
	is.Equal(count(func() { lead.HandleRead(w.now, w.now, changes, 2, false) })[ReachRegion], 2)
	is.Equal(count(func() { w.boxes[boxName(1, 5)].node.Leave(w.now) })[ReachRegion], 0)
	is.Equal(count(func() { lead.Leave(w.now) })[ReachRegion], 2)
}
