package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/timeline"
)

func TestSteady(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 2, 3, 2)
	w.startAll()
	w.ready()
	for i := range 60 {
		w.arrive(w.names[i%len(w.names)], []string{"review", "letter", "question", "pay"}[i%4], "")
		w.run(30 * time.Millisecond)
	}
	w.run(10 * time.Second)
	is.Equal(w.answered, 60)
	for _, d := range []string{"d0", "d1"} {
		is.Equal(len(w.ownersOf(d, "chat")), 1) // one owner in each domain
	}
	w.check()
}

func TestOwnerDies(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 1, 3, 2)
	w.startAll()
	w.ready()
	owner := w.ownersOf("d0", "chat")[0]
	var ids []uint64
	for i := range 30 {
		name := w.names[i%3]
		if name == owner {
			continue
		}
		ids = append(ids, w.arrive(name, "review", ""))
	}
	w.run(100 * time.Millisecond)
	w.crash(owner)
	w.run(15 * time.Second)
	is.Equal(len(w.ownersOf("d0", "chat")), 1)
	for _, b := range w.boxes {
		if !b.dead {
			is.Equal(b.node.InProgress(), 0) // what the others carried was answered
		}
	}
	is.Equal(w.answered >= len(ids), true)
	for _, e := range w.engines {
		is.True(e.most <= 2*e.slots) // the successor started without more than the stated overshoot
	}
	w.check()
}

func TestHolderDies(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1, 3, 1)
	w.startAll()
	w.ready()
	owner := w.ownersOf("d0", "chat")[0]
	var holder, other string
	for _, name := range w.names {
		if name != owner && holder == "" {
			holder = name
		} else if name != owner {
			other = name
		}
	}
	for range 8 {
		w.arrive(holder, "review", "")
	}
	w.run(100 * time.Millisecond)
	w.crash(holder)
	id := w.arrive(other, "review", "")
	// Its leases come back within one lease life.
	w.run(DefaultTiming().LeaseLife + time.Second)
	is.Equal(w.boxes[other].node.locals[id] == nil, true)
	is.Equal(w.answered, 1)
	w.check()
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4, 1, 2, 2)
	w.startAll()
	w.ready()
	w.down = true // also with the platform down: the report says it
	leaving := w.engines["e0.0"]
	leaving.leaving = true
	for _, name := range w.names {
		b := w.boxes[name]
		b.node.Report(w.now, decide.Report{Upstream: leaving.name, Leaving: true})
		w.perform(b)
	}
	before := leaving.starts
	for i := range 20 {
		w.arrive(w.names[i%2], "review", "")
	}
	w.run(10 * time.Second)
	is.Equal(leaving.starts, before)
	is.Equal(w.answered, 20)
	w.check()
}

func TestPlannedStopLosesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 5, 1, 3, 1)
	w.startAll()
	w.ready()
	owner := w.ownersOf("d0", "chat")[0]
	for i := range 30 {
		w.arrive(w.names[i%3], "review", "")
	}
	w.run(50 * time.Millisecond)
	b := w.boxes[owner]
	b.node.Drain(w.now)
	w.perform(b)
	w.runUntil("the draining box to be empty", 60*time.Second, func() bool { return b.node.InProgress() == 0 })
	is.True(len(w.ownersOf("d0", "chat")) == 1 && w.ownersOf("d0", "chat")[0] != owner)
	w.runUntil("all answers", 60*time.Second, func() bool { return w.answered == 30 })
	w.check()
}

func TestTableNeverReverts(t *testing.T) {
	for _, c := range []struct {
		name   string
		off    bool
		reader func(w *world)
	}{
		{"platform serves an old one", false, func(w *world) { w.old = w.table.WithRevision(1) }},
		{"platform serves an old one, unfenced", true, func(w *world) { w.old = w.table.WithRevision(1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 6, 1, 3, 1)
			w.unfenced.OldTables = c.off
			w.table = w.table.WithRevision(5)
			w.startAll()
			w.ready()
			c.reader(w)
			w.run(5 * time.Second)
			if got := len(w.violations()) > 0; got != c.off {
				t.Errorf("violations %v with the mechanism off=%v", w.violations(), c.off)
			}
		})
	}
}

// TestTableEverywhere brings a change to all boxes with the readers dead, the
// platform down for the rest, and loss.
func TestTableEverywhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 7, 2, 5, 1)
	w.startAll()
	w.ready()
	w.loss = 0.1
	for _, name := range w.names {
		b := w.boxes[name]
		if b.domain == "d0" && b.node.isReader() {
			w.crash(name)
		}
	}
	w.table = w.table.WithRevision(2)
	start := w.now
	w.runUntil("the change everywhere", 20*time.Second, func() bool {
		for _, b := range w.boxes {
			if !b.dead && b.node.Table().Revision != 2 {
				return false
			}
		}
		return true
	})
	is.True(w.now-start < 4*time.Second) // in force everywhere within 4 s, readers dead and one in ten lost
	w.check()
}

func TestPlatformCallsGrowWithDomains(t *testing.T) {
	is := is.New(t)
	calls := func(boxes int) int {
		w := newWorld(t, 8, 1, boxes, 1)
		w.startAll()
		w.ready()
		before := w.calls
		w.run(20 * time.Second)
		return w.calls - before
	}
	few, many := calls(3), calls(12)
	is.True(many <= few+4) // four times the boxes, hardly a call more
}

// TestAtMostOnce sends the same key through several boxes, over replacements of
// its owner and cuts, with the claims on and off.
func TestAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		off  Unfenced
		want bool // a violation is to be seen
	}{
		{"claims", Unfenced{}, false},
		{"without claims", Unfenced{Claims: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			seen := 0
			for seed := range uint64(20) {
				w := newWorld(t, 100+seed, 1, 3, 1)
				w.unfenced = c.off
				w.startAll()
				w.ready()
				key := fmt.Sprintf("dmd1:d0:%d:n%d", (epoch + w.now).Milliseconds(), seed)
				minted := w.boxes[w.names[0]].node.Mint()
				for round := range 4 {
					for i, name := range w.names {
						w.arrive(name, "pay", key)
						w.arrive(name, "pay", minted)
						if i == int(seed)%3 && round == 1 {
							w.crash(name)
							w.startBox(name)
						}
						w.run(time.Duration(w.random.Int64N(int64(300 * time.Millisecond))))
					}
					if round == 2 {
						w.cutBoth(w.names[seed%3], w.names[(seed+1)%3], true)
					}
				}
				w.settle()
				seen += len(w.violations())
			}
			if (seen > 0) != c.want {
				t.Errorf("%d violations, want some: %v", seen, c.want)
			}
		})
	}
}

// TestPauseVoidsLeases pauses a holder between its grant and its first byte for
// longer than the lease lives.
func TestPauseVoidsLeases(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("unfenced=%v", off), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 9, 1, 2, 1)
			w.unfenced = Unfenced{StartBy: off, Gaps: off}
			w.slow = 20 * time.Millisecond
			w.startAll()
			w.ready()
			owner := w.ownersOf("d0", "chat")[0]
			holder := w.names[0]
			if holder == owner {
				holder = w.names[1]
			}
			for range 4 {
				w.arrive(holder, "review", "")
			}
			w.run(10 * time.Millisecond) // granted, not sent
			w.pause(holder)
			w.run(6 * time.Second)
			for range 4 {
				w.arrive(owner, "review", "") // takes the slots that came back
			}
			w.run(100 * time.Millisecond)
			w.wake(holder)
			w.run(30 * time.Millisecond)
			over := w.engines["e0.0"].most > w.engines["e0.0"].slots
			is.Equal(over, off) // without the fence the old leases overfill the engine
			w.settle()
			is.Equal(w.answered, 8)
			w.check()
		})
	}
}

// TestNewOwnerLearns crashes the owner while the others fill the engine.
func TestNewOwnerLearns(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("unfenced=%v", off), func(t *testing.T) {
			is := is.New(t)
			most := 0
			for seed := range uint64(10) {
				w := newWorld(t, 200+seed, 1, 4, 1)
				w.unfenced.Learning = off
				w.engines["e0.0"].pace = 200 * time.Millisecond
				w.startAll()
				w.ready()
				owner := w.ownersOf("d0", "chat")[0]
				for i := range 24 {
					if name := w.names[i%4]; name != owner {
						w.arrive(name, "review", "")
					}
				}
				w.run(300 * time.Millisecond)
				w.crash(owner)
				w.loss = 0.3 // the lists of what is held may be lost
				w.run(8 * time.Second)
				most = max(most, w.engines["e0.0"].most)
				w.settle()
				w.check()
			}
			if !off {
				is.True(most <= 2*4) // at most twice the slots, while fallback and the new owner overlap
			}
			t.Logf("most running at once on 4 slots: %d", most)
		})
	}
}

// fault is one step of a random schedule.
func fault(rt *rapid.T, w *world) {
	name := rapid.SampledFrom(w.names).Draw(rt, "box")
	other := rapid.SampledFrom(w.names).Draw(rt, "other")
	b := w.boxes[name]
	switch rapid.IntRange(0, 13).Draw(rt, "fault") {
	case 0:
		if !b.dead {
			w.crash(name)
		}
	case 1:
		if b.dead {
			w.startBox(name)
		}
	case 2:
		if !b.dead {
			w.pause(name)
		}
	case 3:
		if b.paused && !b.dead {
			w.wake(name)
		}
	case 4:
		w.setCut(name, other, true)
	case 5:
		w.cutBoth(name, other, rapid.Bool().Draw(rt, "on"))
	case 6:
		w.loss = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
	case 7:
		w.repeat = rapid.Float64Range(0, 0.5).Draw(rt, "repeat")
	case 8:
		w.delay = time.Duration(rapid.IntRange(1, 400).Draw(rt, "delay")) * time.Millisecond
	case 9:
		w.down = !w.down
	case 10:
		w.table = w.table.WithRevision(w.table.Revision + 1)
	case 12:
		b.skew = time.Duration(rapid.IntRange(-900, 900).Draw(rt, "skew")) * time.Millisecond
	case 13:
		w.toggleListed(name)
	case 11:
		e := w.engines[rapid.SampledFrom([]string{"e0.0", "e1.0", "pd0"}).Draw(rt, "engine")]
		e.dead = !e.dead
	}
}

// TestPromisesUnderRandomFaults checks all promises over random schedules of
// faults and requests.
func TestPromisesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(rt, "seed"), 2, 3, 1)
		w.startAll()
		w.ready()
		var keys []string
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			if rapid.IntRange(0, 2).Draw(rt, "what") == 0 {
				fault(rt, w)
			}
			box := rapid.SampledFrom(w.names).Draw(rt, "at")
			b := w.boxes[box]
			if !b.dead && !b.paused {
				key := ""
				class := rapid.SampledFrom([]string{"review", "letter", "question", "pay"}).Draw(rt, "class")
				if class == "pay" && rapid.Bool().Draw(rt, "again") && len(keys) > 0 {
					key = rapid.SampledFrom(keys).Draw(rt, "key")
				} else if class == "pay" {
					key = fmt.Sprintf("dmd1:%s:%d:%d", b.domain, (epoch + w.now).Milliseconds(), len(keys))
					if rapid.Bool().Draw(rt, "minted") {
						key = b.node.Mint()
					}
					keys = append(keys, key)
				}
				w.arrive(box, class, key)
			}
			w.run(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "wait")) * time.Millisecond)
		}
		w.settle()
		for _, v := range w.violations() {
			rt.Error(v)
		}
		for name, b := range w.boxes {
			if b.node.InProgress() > 0 {
				rt.Errorf("box %s still carries %d requests: %v", name, b.node.InProgress(), describe(b))
			}
		}
	})
}

func describe(b *testBox) []string {
	var out []string
	for _, l := range b.node.sorted(func(*local) bool { return true }) {
		out = append(out, fmt.Sprintf("%s %s owner=%q upstream=%q state=%s", timeline.RequestText(l.req.ID), l.req.Class, l.owner, l.upstream, requestChart.StateName(l.state)))
	}
	return out
}

// TestNoFalseDeaths runs a domain of the target size with loss: nobody may be
// taken for dead.
func TestNoFalseDeaths(t *testing.T) {
	w := newWorld(t, 11, 1, 93, 1)
	w.loss = 0.05
	w.startAll()
	w.run(8 * time.Second)
	from := len(w.line)
	w.run(20 * time.Second)
	dead := 0
	for _, e := range w.line[from:] {
		if e.Kind == timeline.BoxDead {
			dead++
		}
	}
	if dead > 0 {
		t.Errorf("%d times a box was taken for dead, in 93 boxes over 20 s", dead)
	}
}
