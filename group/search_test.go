package group

import (
	"slices"
	"testing"
	"time"
)

// move is what may happen at one step of a small schedule.
type move struct {
	name string
	do   func(w *searched)
}

// Two boxes of one domain and one of another; the first of domain 0 leads it.
var (
	firstLead = boxName(0, 0)
	member    = boxName(0, 1)
	otherLead = boxName(1, 0)
	joining   = boxName(0, 2)
)

var moves = []move{
	{"publish", func(w *searched) { w.publish(documentKey, "new") }},
	{"publisher away or back", func(w *searched) { w.down = !w.down }},
	{"publisher turns the lead away", func(w *searched) { w.refused[firstLead] = !w.refused[firstLead] }},
	{"cut or heal", func(w *searched) { w.cut[domainName(0)] = !w.cut[domainName(0)] }},
	{"pause or wake the lead", func(w *searched) { w.boxes[firstLead].frozen = !w.boxes[firstLead].frozen }},
	{"replace the lead", func(w *searched) { w.replace(firstLead, domainName(0), 100) }},
	{"replace the member", func(w *searched) { w.replace(member, domainName(0), 99) }},
	{"a box joins", func(w *searched) { w.replace(joining, domainName(0), 101) }},
}

const (
	searchDepth = 3
	// searchStep is long enough for a lead to count as dead, and short against what
	// follows from that.
	searchStep = 1100 * time.Millisecond
	// searchEnd is within how long all is well again once nothing is away any more.
	searchEnd = 4 * time.Second
)

// searched is a world with what must hold in it at all times.
type searched struct {
	*world
	changes []time.Duration // when each revision was published, from the first on
	counts  map[string]int  // greatest count of boxes each life went by
}

// TestAllSmallSchedules walks every schedule of the moves. Whatever happens, no box goes
// back to an older document, none believes to know the newest one when it does not, no
// count of boxes falls within a life, and the shares of the retry budget that boxes of
// before the schedule take do not add up to more than the whole; in the end all boxes
// know the newest document, agree on the leads and divide services alike.
func TestAllSmallSchedules(t *testing.T) {
	var walk func(path []int)
	walk = func(path []int) {
		if len(path) == searchDepth {
			searchSchedule(t, path)
			return
		}
		for i := range moves {
			walk(append(slices.Clip(path), i))
		}
	}
	walk(nil)
}

// Schedules that failed once, longer than those that are walked.
func TestSchedulesThatFailedOnce(t *testing.T) {
	tests := []struct {
		cause string
		path  []string
	}{
		{
			"a box that was woken took the ages in messages that had waited for it at their word",
			[]string{"pause or wake the lead", "publisher away or back", "publish", "pause or wake the lead"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.cause, func(t *testing.T) {
			var path []int
			for _, name := range tt.path {
				path = append(path, slices.IndexFunc(moves, func(m move) bool { return m.name == name }))
			}
			searchSchedule(t, path)
		})
	}
}

// searchSchedule runs one schedule.
func searchSchedule(t *testing.T, path []int) {
	w := &searched{world: newWorld(t, 61), counts: make(map[string]int)}
	w.domains = 2
	w.seeds = []string{firstLead, otherLead}
	w.start(firstLead, domainName(0), 100, true)
	w.start(member, domainName(0), 99, true)
	w.start(otherLead, domainName(1), 98, true)
	w.changes = []time.Duration{0, 0}
	w.pass(t, path, 3*time.Second)
	before := make(map[*testBox]bool)
	for _, b := range w.boxes {
		before[b] = true
	}
	for _, i := range path {
		moves[i].do(w)
		w.pass(t, path, searchStep)
		w.checkShares(t, path, before)
	}
	w.down = false
	clear(w.refused)
	clear(w.cut)
	for _, b := range w.boxes {
		b.frozen = false
	}
	w.pass(t, path, searchEnd)
	w.checkEnd(t, path)
}

// publish notes when a revision came.
func (w *searched) publish(key, value string) {
	w.world.publish(key, value)
	w.changes = append(w.changes, w.now)
}

// replace ends a box, if it is there, and starts it again.
func (w *searched) replace(name, domain string, strength uint32) {
	delete(w.counts, name)
	w.start(name, domain, strength, false)
}

// pass lets time pass and checks what must hold at all times.
func (w *searched) pass(t *testing.T, path []int, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end; {
		w.run(tickStep * step)
		for name, b := range w.boxes {
			w.checkBox(t, path, name, b)
		}
	}
}

func (w *searched) checkBox(t *testing.T, path []int, name string, b *testBox) {
	t.Helper()
	if !slices.IsSorted(b.taken) {
		t.Fatalf("%s: %s took %v", namesOf(path), name, b.taken)
	}
	if b.node.BoxCount() < w.counts[name] {
		t.Fatalf("%s: %s counts %d boxes after %d", namesOf(path), name, b.node.BoxCount(), w.counts[name])
	}
	w.counts[name] = b.node.BoxCount()
	next := int(b.copy.Revision()) + 1 // the first revision it does not have
	if b.copy.Revision() > 0 && next < len(w.changes) && b.node.ConfirmedAt() > w.changes[next] {
		t.Fatalf("%s: %s has revision %d and says it was the newest at %v, revision %d came at %v",
			namesOf(path), name, b.copy.Revision(), b.node.ConfirmedAt(), next, w.changes[next])
	}
}

// checkShares adds up what boxes that were there before the schedule take of the slack;
// those that started since take nothing within a window.
func (w *searched) checkShares(t *testing.T, path []int, before map[*testBox]bool) {
	t.Helper()
	sum := 0.0
	for _, b := range w.boxes {
		if before[b] {
			sum += 1 / float64(b.node.Divisor())
		}
	}
	if sum > 1.0001 {
		t.Fatalf("%s: the shares add up to %f", namesOf(path), sum)
	}
}

// checkEnd checks what must hold once all is well again.
func (w *searched) checkEnd(t *testing.T, path []int) {
	t.Helper()
	if late := w.behind(); len(late) > 0 {
		t.Fatalf("%s: %v do not know what is published", namesOf(path), late)
	}
	w.divides()
	w.pass(t, path, 2*time.Second)
	leads := make(map[string]string) // by domain
	want := w.division(otherLead)
	for name, b := range w.boxes {
		lead := b.node.LeaderName()
		if other, ok := leads[b.self.Domain]; ok && other != lead {
			t.Fatalf("%s: %s and %s are both taken for the lead", namesOf(path), lead, other)
		}
		leads[b.self.Domain] = lead
		if got := w.division(name); got != want {
			t.Fatalf("%s: %s divides services by %d, another box by %d", namesOf(path), name, got, want)
		}
	}
}

// namesOf is a schedule as a failure names it.
func namesOf(path []int) []string {
	var names []string
	for _, i := range path {
		names = append(names, moves[i].name)
	}
	return names
}
