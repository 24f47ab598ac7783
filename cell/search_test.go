package cell

import (
	"testing"
	"time"
)

// move is what may happen at one step of a small schedule.
type move struct {
	name string
	do   func(w *world, a, b string)
}

var moves = []move{
	{"nothing", func(*world, string, string) {}},
	{"lose a to b", func(w *world, a, b string) { w.setCut(a, b, true) }},
	{"lose b to a", func(w *world, a, b string) { w.setCut(b, a, true) }},
	{"heal", func(w *world, _, _ string) { clear(w.cut) }},
	{"pause a", func(w *world, a, _ string) {
		if !w.boxes[a].dead {
			w.pause(a)
		}
	}},
	{"wake a", func(w *world, a, _ string) {
		if w.boxes[a].paused {
			w.wake(a)
		}
	}},
	{"replace a", func(w *world, a, _ string) {
		w.crash(a)
		w.startBox(a)
	}},
}

const (
	searchDepth = 4
	// searchStep is long enough for suspicion, and short against its settling.
	searchStep = 900 * time.Millisecond
	searchSlot = 2
)

// TestAllSmallSchedules walks every schedule of the moves, for two boxes before
// one upstream: a owns it at first. Whatever happens, the promises hold, no more
// run at once than twice the slots, one for each side of a cut, and in the end
// one box owns it and every request has ended.
func TestAllSmallSchedules(t *testing.T) {
	most := 0
	var walk func(path []int)
	walk = func(path []int) {
		if len(path) == searchDepth {
			most = max(most, searchSchedule(t, path))
			return
		}
		for i := range moves {
			walk(append(path[:len(path):len(path)], i))
		}
	}
	walk(nil)
	t.Logf("%d schedules, most running at once on %d slots: %d", pow(len(moves), searchDepth), searchSlot, most)
}

func pow(n, e int) int {
	if e == 0 {
		return 1
	}
	return n * pow(n, e-1)
}

func searchSchedule(t *testing.T, path []int) int {
	w := newWorld(t, 1, 1, 2, 1)
	for _, e := range w.engines {
		e.slots = searchSlot
	}
	for i := range w.table.Upstreams {
		w.table.Upstreams[i].Slots = searchSlot
	}
	w.table = w.table.WithRevision(1)
	w.startAll()
	w.ready()
	a := w.ownersOf("d0", "chat")[0]
	b := w.names[0]
	if b == a {
		b = w.names[1]
	}
	what := ""
	for _, i := range path {
		what += moves[i].name + ", "
		for _, name := range w.names {
			if !w.boxes[name].dead && !w.boxes[name].paused {
				w.arrive(name, "review", "")
				w.arrive(name, "review", "")
			}
		}
		moves[i].do(w, a, b)
		w.run(searchStep)
	}
	w.settle()
	fail := func(format string, args ...any) { t.Errorf(what+": "+format, args...) }
	for _, v := range w.violations() {
		fail("%s", v)
	}
	if owners := w.ownersOf("d0", "chat"); len(owners) != 1 {
		fail("owners in the end: %v", owners)
	}
	for name, box := range w.boxes {
		if n := box.node.InProgress(); n > 0 {
			fail("box %s still carries %d", name, n)
		}
	}
	most := w.engines["e0.0"].most
	if most > 2*searchSlot {
		fail("%d ran at once on %d slots", most, searchSlot)
	}
	return most
}
