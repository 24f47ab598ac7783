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

// betweenRegions selects the links between regions.
func betweenRegions(a, b *wire.GroupBox) bool { return a.Region != b.Region }

// setDistinctLoads gives each box a load on an upstream that all share and one on an upstream of
// its own. The shared loads differ, so that a sum shows which boxes it includes.
func (w *simulation) setDistinctLoads() {
	for i, name := range w.names {
		w.boxes[name].node.SetLoads(Loads{
			{Upstream: 7, Urgency: 2}:    {Unread: tokenUnit << (i % 16), Requests: 1},
			{Upstream: uint32(1000 + i)}: {Unread: 100 * tokenUnit, Requests: 3, MemoryTokens: 1000 * tokenUnit},
		})
	}
}

// expectedOthers returns the loads that a box should know: those of all other running boxes for
// which canHear returns true.
func (w *simulation) expectedOthers(name string, canHear func(a, b *wire.GroupBox) bool) Loads {
	want := make(Loads)
	for _, other := range w.names {
		if b := w.boxes[other]; other != name && !b.dead && canHear(w.boxes[name].self, b.self) {
			addLoads(want, roundLoads(b.node.loads))
		}
	}
	return want
}

func hearsAll(_, _ *wire.GroupBox) bool { return true }

// checkOtherLoads checks the loads that each running box knows of the others.
func (w *simulation) checkOtherLoads(t testing.TB, when string, canHear func(a, b *wire.GroupBox) bool) {
	t.Helper()
	for _, name := range w.names {
		if w.boxes[name].dead {
			continue
		}
		got, want := w.boxes[name].node.OtherLoads(), w.expectedOthers(name, canHear)
		for key, load := range want {
			if got[key] != load {
				t.Fatalf("%s: %s assumes load %v on %v, want %v", when, name, got[key], key, load)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%s: %s knows %d loads, want %d", when, name, len(got), len(want))
		}
	}
}

// settleTime is the time within which all boxes know all loads after the last fault: a box counts
// as gone after the member timeout, and regions exchange complete lists every few seconds.
const settleTime = 14 * time.Second

// Whatever happens to the region leader, each box soon knows the loads of all others, each
// counted once.
func TestLoadsAreCountedOnceAcrossRegions(t *testing.T) {
	leader := boxName(0, 0) // of region 0, the strongest of all
	tests := []struct {
		name   string
		fail   func(w *simulation)
		repair func(w *simulation)
	}{
		{"no fault", func(*simulation) {}, func(*simulation) {}},
		{"it stops", func(w *simulation) { w.boxes[leader].dead = true }, func(*simulation) {}},
		{"it stops and returns", func(w *simulation) { w.boxes[leader].dead = true },
			func(w *simulation) { w.start(leader, domainName(0), 1000, false) }},
		{"it freezes for a while", func(w *simulation) { w.boxes[leader].frozen = true }, func(w *simulation) { w.boxes[leader].frozen = false }},
		{"its domain is cut off for a while", func(w *simulation) { w.cutDomains[domainName(0)] = true }, func(w *simulation) { w.cutDomains[domainName(0)] = false }},
		{"regions are disconnected for a while", func(w *simulation) { w.linkCut = betweenRegions }, func(w *simulation) { w.linkCut = nil }},
		{"a third of the messages are lost for a while", func(w *simulation) { w.lossRate = 0.3 }, func(w *simulation) { w.lossRate = 0 }},
		{"it is cut off from the other domain of its region", func(w *simulation) {
			w.linkCut = func(a, b *wire.GroupBox) bool {
				return a.Domain != b.Domain && a.Region == b.Region && a.Region == "region0"
			}
		}, func(w *simulation) { w.linkCut = nil }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := startRegions(t, 5, layout{6, 3}, 18)
			w.setDistinctLoads()
			w.run(5 * time.Second)
			tt.fail(w)
			w.run(5 * time.Second)
			tt.repair(w)
			w.setDistinctLoads()
			w.run(settleTime)
			w.checkOtherLoads(t, tt.name, hearsAll)
		})
	}
}

// A region that is cut off knows only its own loads, reads the publisher itself and receives what
// is published meanwhile. After it is reconnected, it knows the others' loads again within
// seconds.
func TestPartitionedRegionKeepsServing(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 6, layout{6, 3}, 18)
	w.setDistinctLoads()
	w.run(5 * time.Second)
	w.linkCut = betweenRegions
	w.run(5 * time.Second)
	w.checkOtherLoads(t, "cut off", func(a, b *wire.GroupBox) bool { return a.Region == b.Region })
	w.publish(documentKey, "new")
	w.run(DefaultTiming.StaleAfter + 300*time.Millisecond)
	is.Equal(w.staleBoxes(), nil)
	clear(w.bytesByKind)
	w.linkCut = nil
	w.run(2 * time.Second)
	for kind, bytes := range w.bytesByKind {
		if kind.reach == ReachOtherRegion {
			is.True(bytes < 40_000) // of all boxes, in 2 s
		}
	}
	w.run(settleTime)
	w.checkOtherLoads(t, "reconnected", hearsAll)
}

// Between regions, loads and prompt parts are sent from one box of a region to one of another,
// and reach all boxes.
func TestMessagesBetweenRegions(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 7, layout{6, 3}, 18)
	w.run(10 * time.Second)
	w.setDistinctLoads()
	part := balance.PartReport{Part: 5, Upstream: 9}
	w.boxes[boxName(1, 2)].node.AnnounceSentParts([]balance.PartReport{part})
	links := make(map[string]bool) // from a box of one region to a box of another
	received := make(map[string][]balance.PartReport)
	for range 100 {
		w.run(step)
		for _, f := range w.inFlight {
			m := new(wire.GroupMessage)
			is.NoErr(proto.Unmarshal(f.data, m))
			from, to := w.boxes[f.from].self, w.boxes[f.to].self
			if (m.HasLoads || len(m.Kept) > 0) && from.Region != to.Region {
				links[from.Name+" "+to.Name] = true
			}
		}
		for _, name := range w.names {
			received[name] = append(received[name], w.boxes[name].node.DrainSentParts()...)
		}
	}
	is.Equal(len(links), 6) // three regions, each to two others
	for _, name := range w.names {
		is.Equal(slices.Contains(received[name], part), name != boxName(1, 2))
		is.True(len(received[name]) <= 2*partsSendCount)
	}
}

// However loads change, a group is sent no more bytes than its budget. Given time, the loads that
// it knows differ from the actual ones only by insignificant amounts.
func TestGroupBudgetIsObserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]sendPolicy{memberPolicy, regionPolicy, otherRegionPolicy}).Draw(t, "policy")
		n := NewNode(Config{Self: &wire.GroupBox{Name: "a", Domain: "d", Address: "a"}, Timing: DefaultTiming, Mirror: mirror.New(), FirstStart: true}, 0)
		g := newRecipientGroup(policy, scopeRegion)
		for i := range rapid.IntRange(1, 30).Draw(t, "boxes") {
			g.peers = append(g.peers, &peer{box: &wire.GroupBox{Name: fmt.Sprint("p", i), Address: fmt.Sprint(i), Boot: 1}})
		}
		actual := make(Loads)
		g.loads = func() Loads { return actual }
		g.loadAt = func(key balance.LoadKey) balance.Load { return actual[key] }
		received := make(Loads)
		bytes, now := 0, time.Duration(0)
		lastSize := 0 // bytes of the newest message, whose interval has not passed yet
		receive := func() {
			out, _ := n.Drain()
			for _, o := range out {
				if o.To != "0" {
					continue
				}
				if !o.Message.Partial {
					received = messageLoads(o.Message)
				} else {
					for key, load := range messageLoads(o.Message) {
						setLoad(received, key, load)
					}
					bytes, lastSize = bytes+lastSize, proto.Size(o.Message)
				}
			}
		}
		keys := rapid.IntRange(1, 300).Draw(t, "keys")
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for range steps {
			for range rapid.IntRange(0, 40).Draw(t, "changes") {
				key := balance.LoadKey{Upstream: uint32(rapid.IntRange(1, keys).Draw(t, "key"))}
				setLoad(actual, key, balance.Load{Unread: 64 * rapid.IntRange(0, 200).Draw(t, "unread"), Requests: rapid.IntRange(0, 20).Draw(t, "open")})
				g.changed[key] = struct{}{}
			}
			g.sendChanges(n, now)
			receive()
			now += 30 * time.Millisecond
		}
		boxRate := min(policy.boxRate, policy.totalRate/float64(len(g.peers)))
		if limit := boxRate * now.Seconds() * 1.01; float64(bytes) > limit {
			t.Fatalf("%d bytes in %v, want at most %f", bytes, now, limit)
		}
		for range 2000 {
			g.sendChanges(n, now)
			receive()
			now += 30 * time.Millisecond
		}
		for key, load := range actual {
			if known := received[key]; known != roundLoad(load) && g.isSignificant(known, roundLoad(load)) {
				t.Fatalf("load %v is known on %v, want %v", known, key, load)
			}
		}
		g.sendFullList(n, now+maxFullListInterval)
		receive()
		if len(received) != len(roundLoads(actual)) {
			t.Fatalf("%d loads are known after a complete list, want %d", len(received), len(roundLoads(actual)))
		}
	})
}

// Decoding columns restores the encoded loads.
func TestColumnsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := make(Loads)
		for range rapid.IntRange(0, 40).Draw(t, "loads") {
			key := balance.LoadKey{Upstream: rapid.Uint32().Draw(t, "upstream"), Urgency: rapid.IntRange(0, balance.UrgencyLevels-1).Draw(t, "urgency")}
			l[key] = roundLoad(balance.Load{Unread: rapid.IntRange(0, 1<<20).Draw(t, "unread"), Requests: rapid.IntRange(0, 99).Draw(t, "open"),
				Tight: rapid.IntRange(0, 9).Draw(t, "tight"), MemoryTokens: rapid.IntRange(0, 1<<24).Draw(t, "held")})
		}
		got := unpackColumns(packColumns(l))
		if len(got) != len(l) {
			t.Fatalf("%d loads decoded, want %d", len(got), len(l))
		}
		for key, load := range l {
			if got[key] != load {
				t.Fatalf("load on %v: %v, want %v", key, got[key], load)
			}
		}
	})
}

// Malformed columns yield no values beyond their ends.
func TestShortColumnsDecodeAsZero(t *testing.T) {
	is := is.New(t)
	got := unpackColumns(&wire.GroupColumns{Upstream: []uint32{1, 2, 3}, Levels: []uint32{3, 1 << 31}, Unread: []uint32{5}, Open: []uint32{1, 2}})
	is.Equal(got, Loads{{Upstream: 1}: {Unread: 5 * tokenUnit, Requests: 1}, {Upstream: 1, Urgency: 1}: {Requests: 2}})
}

// After a simultaneous start each box has briefly led its domain. Published data is sent only to
// the current leaders of other domains, and so is the message of a leader that leaves. A member
// that leaves tells its own domain only.
func TestOnlyLeadersOfOtherDomainsAreSentChanges(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 9, layout{3, 1}, 60)
	w.restartAll()
	w.run(8 * time.Second)
	count := func(action func()) map[Reach]int {
		w.run(DefaultTiming.HeartbeatInterval)
		reaches := make(map[Reach]int)
		action()
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
	leader := w.boxes[boxName(0, 0)].node
	changes := []mirror.Item{{Key: documentKey, Value: []byte("2"), Revision: 2}}
	is.Equal(count(func() { leader.HandleRead(w.now, w.now, changes, 2, false) })[ReachRegion], 2)
	is.Equal(count(func() { w.boxes[boxName(1, 5)].node.Leave(w.now) })[ReachRegion], 0)
	is.Equal(count(func() { leader.Leave(w.now) })[ReachRegion], 2)
}
