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

func TestSteadyLoad(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 2, 3, 2)
	s.startAll()
	s.waitReady()
	for i := range 60 {
		s.arrive(s.names[i%len(s.names)], []string{"review", "letter", "question", "pay"}[i%4], "")
		s.run(30 * time.Millisecond)
	}
	s.run(10 * time.Second)
	is.Equal(s.answered, 60)
	for _, d := range []string{"d0", "d1"} {
		is.Equal(len(s.ownersOf(d, "chat")), 1) // one owner in each domain
	}
	s.checkGuarantees()
}

func TestOwnerDies(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 2, 1, 3, 2)
	s.startAll()
	s.waitReady()
	owner := s.ownersOf("d0", "chat")[0]
	var ids []uint64
	for i := range 30 {
		name := s.names[i%3]
		if name == owner {
			continue
		}
		ids = append(ids, s.arrive(name, "review", ""))
	}
	s.run(100 * time.Millisecond)
	s.crash(owner)
	s.run(15 * time.Second)
	is.Equal(len(s.ownersOf("d0", "chat")), 1)
	for _, b := range s.boxes {
		if !b.dead {
			is.Equal(b.node.InProgress(), 0) // the requests on the other boxes were answered
		}
	}
	is.Equal(s.answered >= len(ids), true)
	for _, e := range s.engines {
		is.True(e.maxRunning <= 2*e.slots) // the overshoot at the new owner stayed within its documented bound
	}
	s.checkGuarantees()
}

func TestHolderDies(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 3, 1, 3, 1)
	s.startAll()
	s.waitReady()
	owner := s.ownersOf("d0", "chat")[0]
	var holder, other string
	for _, name := range s.names {
		if name != owner && holder == "" {
			holder = name
		} else if name != owner {
			other = name
		}
	}
	for range 8 {
		s.arrive(holder, "review", "")
	}
	s.run(100 * time.Millisecond)
	s.crash(holder)
	id := s.arrive(other, "review", "")
	// Its leases expire within LeaseLife, and the slots become free.
	s.run(DefaultTiming().LeaseLife + time.Second)
	is.Equal(s.boxes[other].node.requests[id] == nil, true)
	is.Equal(s.answered, 1)
	s.checkGuarantees()
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 4, 1, 2, 2)
	s.startAll()
	s.waitReady()
	s.platformDown = true // the platform is down too: the box learns of it from the report alone
	leaving := s.engines["e0.0"]
	leaving.leaving = true
	for _, name := range s.names {
		b := s.boxes[name]
		b.node.Report(s.now, decide.Report{Upstream: leaving.name, Leaving: true})
		s.perform(b)
	}
	before := leaving.starts
	for i := range 20 {
		s.arrive(s.names[i%2], "review", "")
	}
	s.run(10 * time.Second)
	is.Equal(leaving.starts, before)
	is.Equal(s.answered, 20)
	s.checkGuarantees()
}

func TestPlannedStopLosesNoRequests(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 5, 1, 3, 1)
	s.startAll()
	s.waitReady()
	owner := s.ownersOf("d0", "chat")[0]
	for i := range 30 {
		s.arrive(s.names[i%3], "review", "")
	}
	s.run(50 * time.Millisecond)
	b := s.boxes[owner]
	b.node.Drain(s.now)
	s.perform(b)
	s.runUntil("the draining box to have no requests", 60*time.Second, func() bool { return b.node.InProgress() == 0 })
	is.True(len(s.ownersOf("d0", "chat")) == 1 && s.ownersOf("d0", "chat")[0] != owner)
	s.runUntil("all requests to be answered", 60*time.Second, func() bool { return s.answered == 30 })
	s.checkGuarantees()
}

func TestTableNeverReverts(t *testing.T) {
	for _, c := range []struct {
		name   string
		off    bool
		inject func(s *simulation)
	}{
		{"platform serves an old table", false, func(s *simulation) { s.oldTable = s.table.WithRevision(1) }},
		{"platform serves an old table, revision check off", true, func(s *simulation) { s.oldTable = s.table.WithRevision(1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 6, 1, 3, 1)
			s.disabled.RevisionCheck = c.off
			s.table = s.table.WithRevision(5)
			s.startAll()
			s.waitReady()
			c.inject(s)
			s.run(5 * time.Second)
			if got := len(s.violations()) > 0; got != c.off {
				t.Errorf("violations %v with the revision check off=%v", s.violations(), c.off)
			}
		})
	}
}

// TestTableChangeReachesAllBoxes changes the table while the readers are
// dead and messages are lost: the change must reach all live boxes.
func TestTableChangeReachesAllBoxes(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 7, 2, 5, 1)
	s.startAll()
	s.waitReady()
	s.lossRate = 0.1
	for _, name := range s.names {
		b := s.boxes[name]
		if b.domain == "d0" && b.node.isReader() {
			s.crash(name)
		}
	}
	s.table = s.table.WithRevision(2)
	start := s.now
	s.runUntil("all boxes to have the change", 20*time.Second, func() bool {
		for _, b := range s.boxes {
			if !b.dead && b.node.Table().Revision != 2 {
				return false
			}
		}
		return true
	})
	is.True(s.now-start < 4*time.Second) // in force everywhere within 4 s, with dead readers and a tenth of the messages lost
	s.checkGuarantees()
}

func TestPlatformCallsGrowWithDomains(t *testing.T) {
	is := is.New(t)
	calls := func(boxes int) int {
		s := newSimulation(t, 8, 1, boxes, 1)
		s.startAll()
		s.waitReady()
		before := s.platformCalls
		s.run(20 * time.Second)
		return s.platformCalls - before
	}
	few, many := calls(3), calls(12)
	is.True(many <= few+4) // four times the boxes, at most four more calls
}

// TestAtMostOnce sends requests with the same key through several boxes,
// while the key's owner is replaced and connections are cut, with claims on
// and off.
func TestAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		off  DisabledSafeguards
		want bool // whether a violation must be seen
	}{
		{"claims", DisabledSafeguards{}, false},
		{"without claims", DisabledSafeguards{Claims: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			seen := 0
			for seed := range uint64(20) {
				s := newSimulation(t, 100+seed, 1, 3, 1)
				s.disabled = c.off
				s.startAll()
				s.waitReady()
				key := fmt.Sprintf("dmd1:d0:%d:n%d", (epoch + s.now).Milliseconds(), seed)
				minted := s.boxes[s.names[0]].node.MintKey()
				for round := range 4 {
					for i, name := range s.names {
						s.arrive(name, "pay", key)
						s.arrive(name, "pay", minted)
						if i == int(seed)%3 && round == 1 {
							s.crash(name)
							s.startBox(name)
						}
						s.run(time.Duration(s.random.Int64N(int64(300 * time.Millisecond))))
					}
					if round == 2 {
						s.cutBoth(s.names[seed%3], s.names[(seed+1)%3], true)
					}
				}
				s.settle()
				seen += len(s.violations())
			}
			if (seen > 0) != c.want {
				t.Errorf("got %d violations; want at least one = %v", seen, c.want)
			}
		})
	}
}

// TestPauseVoidsLeases pauses a holder between its grant and its first byte
// for longer than LeaseLife.
func TestPauseVoidsLeases(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("safeguards off=%v", off), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(t, 9, 1, 2, 1)
			s.disabled = DisabledSafeguards{StartByCheck: off, PauseDetection: off}
			s.dispatchDelay = 20 * time.Millisecond
			s.startAll()
			s.waitReady()
			owner := s.ownersOf("d0", "chat")[0]
			holder := s.names[0]
			if holder == owner {
				holder = s.names[1]
			}
			for range 4 {
				s.arrive(holder, "review", "")
			}
			s.run(10 * time.Millisecond) // granted, not yet sent
			s.pause(holder)
			s.run(6 * time.Second)
			for range 4 {
				s.arrive(owner, "review", "") // takes the slots of the expired leases
			}
			s.run(100 * time.Millisecond)
			s.resume(holder)
			s.run(30 * time.Millisecond)
			over := s.engines["e0.0"].maxRunning > s.engines["e0.0"].slots
			is.Equal(over, off) // without the safeguard the old leases exceed the engine's slots
			s.settle()
			is.Equal(s.answered, 8)
			s.checkGuarantees()
		})
	}
}

// TestNewOwnerLearns crashes the owner while the other boxes fill the
// engine.
func TestNewOwnerLearns(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("safeguards off=%v", off), func(t *testing.T) {
			is := is.New(t)
			maxRunning := 0
			for seed := range uint64(10) {
				s := newSimulation(t, 200+seed, 1, 4, 1)
				s.disabled.OwnerLearning = off
				s.engines["e0.0"].tokenTime = 200 * time.Millisecond
				s.startAll()
				s.waitReady()
				owner := s.ownersOf("d0", "chat")[0]
				for i := range 24 {
					if name := s.names[i%4]; name != owner {
						s.arrive(name, "review", "")
					}
				}
				s.run(300 * time.Millisecond)
				s.crash(owner)
				s.lossRate = 0.3 // lists of held slots may be lost
				s.run(8 * time.Second)
				maxRunning = max(maxRunning, s.engines["e0.0"].maxRunning)
				s.settle()
				s.checkGuarantees()
			}
			if !off {
				is.True(maxRunning <= 2*4) // at most twice the slots, while the fallback and the new owner overlap
			}
			t.Logf("maximum running at once on 4 slots: %d", maxRunning)
		})
	}
}

// randomFault applies one fault of a random schedule.
func randomFault(rt *rapid.T, s *simulation) {
	name := rapid.SampledFrom(s.names).Draw(rt, "box")
	other := rapid.SampledFrom(s.names).Draw(rt, "other")
	b := s.boxes[name]
	switch rapid.IntRange(0, 13).Draw(rt, "fault") {
	case 0:
		if !b.dead {
			s.crash(name)
		}
	case 1:
		if b.dead {
			s.startBox(name)
		}
	case 2:
		if !b.dead {
			s.pause(name)
		}
	case 3:
		if b.paused && !b.dead {
			s.resume(name)
		}
	case 4:
		s.setCut(name, other, true)
	case 5:
		s.cutBoth(name, other, rapid.Bool().Draw(rt, "cut"))
	case 6:
		s.lossRate = rapid.Float64Range(0, 0.5).Draw(rt, "loss rate")
	case 7:
		s.duplicateRate = rapid.Float64Range(0, 0.5).Draw(rt, "duplicate rate")
	case 8:
		s.maxDelay = time.Duration(rapid.IntRange(1, 400).Draw(rt, "delay")) * time.Millisecond
	case 9:
		s.platformDown = !s.platformDown
	case 10:
		s.table = s.table.WithRevision(s.table.Revision + 1)
	case 12:
		b.clockSkew = time.Duration(rapid.IntRange(-900, 900).Draw(rt, "skew")) * time.Millisecond
	case 13:
		s.toggleListed(name)
	case 11:
		e := s.engines[rapid.SampledFrom([]string{"e0.0", "e1.0", "pd0"}).Draw(rt, "engine")]
		e.dead = !e.dead
	}
}

// TestGuaranteesUnderRandomFaults checks all guarantees under random schedules
// of faults and requests.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(rt, "seed"), 2, 3, 1)
		s.startAll()
		s.waitReady()
		var keys []string
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			if rapid.IntRange(0, 2).Draw(rt, "inject fault if 0") == 0 {
				randomFault(rt, s)
			}
			box := rapid.SampledFrom(s.names).Draw(rt, "receiving box")
			b := s.boxes[box]
			if !b.dead && !b.paused {
				key := ""
				class := rapid.SampledFrom([]string{"review", "letter", "question", "pay"}).Draw(rt, "class")
				if class == "pay" && rapid.Bool().Draw(rt, "reuse key") && len(keys) > 0 {
					key = rapid.SampledFrom(keys).Draw(rt, "key")
				} else if class == "pay" {
					key = fmt.Sprintf("dmd1:%s:%d:%d", b.domain, (epoch + s.now).Milliseconds(), len(keys))
					if rapid.Bool().Draw(rt, "mint key") {
						key = b.node.MintKey()
					}
					keys = append(keys, key)
				}
				s.arrive(box, class, key)
			}
			s.run(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "interval")) * time.Millisecond)
		}
		s.settle()
		for _, v := range s.violations() {
			rt.Error(v)
		}
		for name, b := range s.boxes {
			if b.node.InProgress() > 0 {
				rt.Errorf("box %s still carries %d requests: %v", name, b.node.InProgress(), describeRequests(b))
			}
		}
	})
}

func describeRequests(b *testBox) []string {
	var out []string
	for _, l := range b.node.sortedRequests(func(*localRequest) bool { return true }) {
		out = append(out, fmt.Sprintf("%s %s owner=%q upstream=%q state=%s", timeline.RequestText(l.req.ID), l.req.Class, l.owner, l.upstream, requestChart.StateName(l.state)))
	}
	return out
}

// TestNoFalseDeaths runs a domain of the target size with message loss: no
// box may be considered dead.
func TestNoFalseDeaths(t *testing.T) {
	s := newSimulation(t, 11, 1, 93, 1)
	s.lossRate = 0.05
	s.startAll()
	s.run(8 * time.Second)
	from := len(s.recorded)
	s.run(20 * time.Second)
	dead := 0
	for _, e := range s.recorded[from:] {
		if e.Kind == timeline.BoxDead {
			dead++
		}
	}
	if dead > 0 {
		t.Errorf("boxes were considered dead %d times; want 0, with 93 boxes over 20 s", dead)
	}
}
