package cell

import (
	"testing"
	"time"
)

// scheduleMove is a fault that may happen at one step of a schedule.
type scheduleMove struct {
	name  string
	apply func(s *simulation, a, b string)
}

var scheduleMoves = []scheduleMove{
	{"nothing", func(*simulation, string, string) {}},
	{"cut a to b", func(s *simulation, a, b string) { s.setCut(a, b, true) }},
	{"cut b to a", func(s *simulation, a, b string) { s.setCut(b, a, true) }},
	{"restore all connections", func(s *simulation, _, _ string) { clear(s.cutLinks) }},
	{"pause a", func(s *simulation, a, _ string) {
		if !s.boxes[a].dead {
			s.pause(a)
		}
	}},
	{"resume a", func(s *simulation, a, _ string) {
		if s.boxes[a].paused {
			s.resume(a)
		}
	}},
	{"restart a", func(s *simulation, a, _ string) {
		s.crash(a)
		s.startBox(a)
	}},
}

const (
	searchDepth = 4
	// searchStep is long enough for a box to become suspected, and too short
	// for the suspicion to be settled.
	searchStep  = 900 * time.Millisecond
	searchSlots = 2
)

// TestAllShortFaultSchedules runs every schedule of the moves, with two
// boxes and one upstream that box a owns at first. In every schedule the
// guarantees hold, at most twice the slots run at once (one set of slots for
// each side of a cut), and in the end one box owns the upstream and every
// request has ended.
func TestAllShortFaultSchedules(t *testing.T) {
	maxRunning := 0
	var walk func(path []int)
	walk = func(path []int) {
		if len(path) == searchDepth {
			maxRunning = max(maxRunning, searchSchedule(t, path))
			return
		}
		for i := range scheduleMoves {
			walk(append(path[:len(path):len(path)], i))
		}
	}
	walk(nil)
	t.Logf("%d schedules, maximum running at once on %d slots: %d", pow(len(scheduleMoves), searchDepth), searchSlots, maxRunning)
}

func pow(n, e int) int {
	if e == 0 {
		return 1
	}
	return n * pow(n, e-1)
}

func searchSchedule(t *testing.T, path []int) int {
	s := newSimulation(t, 1, 1, 2, 1)
	for _, e := range s.engines {
		e.slots = searchSlots
	}
	for i := range s.table.Upstreams {
		s.table.Upstreams[i].Slots = searchSlots
	}
	s.table = s.table.WithRevision(1)
	s.startAll()
	s.waitReady()
	a := s.ownersOf("d0", "chat")[0]
	b := s.names[0]
	if b == a {
		b = s.names[1]
	}
	schedule := ""
	for _, i := range path {
		schedule += scheduleMoves[i].name + ", "
		for _, name := range s.names {
			if !s.boxes[name].dead && !s.boxes[name].paused {
				s.arrive(name, "review", "")
				s.arrive(name, "review", "")
			}
		}
		scheduleMoves[i].apply(s, a, b)
		s.run(searchStep)
	}
	s.settle()
	fail := func(format string, args ...any) { t.Errorf(schedule+": "+format, args...) }
	for _, v := range s.violations() {
		fail("%s", v)
	}
	if owners := s.ownersOf("d0", "chat"); len(owners) != 1 {
		fail("owners at the end: %v, want exactly one", owners)
	}
	for name, box := range s.boxes {
		if n := box.node.InProgress(); n > 0 {
			fail("box %s still carries %d requests", name, n)
		}
	}
	maxRunning := s.engines["e0.0"].maxRunning
	if maxRunning > 2*searchSlots {
		fail("%d requests ran at once on %d slots, want at most twice the slots", maxRunning, searchSlots)
	}
	return maxRunning
}
