package group

import (
	"slices"
	"testing"
	"time"
)

// action is something that may happen at one step of a schedule.
type action struct {
	name  string
	apply func(w *checkedSimulation)
}

// Two boxes of one domain and one of another, and one that joins. The first box leads domain 0.
var (
	firstLeader = boxName(0, 0)
	member      = boxName(0, 1)
	otherLeader = boxName(1, 0)
	joiningBox  = boxName(0, 2)
)

var actions = []action{
	{"publish", func(w *checkedSimulation) { w.publish(documentKey, "new") }},
	{"publisher fails or returns", func(w *checkedSimulation) { w.publisherDown = !w.publisherDown }},
	{"publisher refuses the leader or accepts it again", func(w *checkedSimulation) { w.refusedBoxes[firstLeader] = !w.refusedBoxes[firstLeader] }},
	{"cut or reconnect", func(w *checkedSimulation) { w.cutDomains[domainName(0)] = !w.cutDomains[domainName(0)] }},
	{"freeze or unfreeze the leader", func(w *checkedSimulation) { w.boxes[firstLeader].frozen = !w.boxes[firstLeader].frozen }},
	{"restart the leader", func(w *checkedSimulation) { w.restart(firstLeader, domainName(0), 100) }},
	{"restart the member", func(w *checkedSimulation) { w.restart(member, domainName(0), 99) }},
	{"a box joins", func(w *checkedSimulation) { w.restart(joiningBox, domainName(0), 101) }},
}

const (
	searchDepth = 3
	// searchStep is long enough for a leader to time out, and short compared with the
	// consequences of that.
	searchStep = 1100 * time.Millisecond
	// recoveryTime is the time within which the invariants of a healthy group hold after the last
	// fault has ended.
	recoveryTime = 4 * time.Second
)

// checkedSimulation is a simulation whose invariants are checked throughout.
type checkedSimulation struct {
	*simulation
	publishedAt []time.Duration // when each revision was published, starting with revision 0
	maxCounts   map[string]int  // the largest count of boxes seen by each box since its start
}

// TestAllSmallSchedules runs every schedule of the actions. At all times no box returns to an
// older document, and none claims that its copy is current when it is not. No count of boxes
// decreases while a box runs, and the shares of the retry budget of boxes that started before the
// schedule add up to at most the whole. In the end all boxes have the newest document, agree on
// the leaders and divide services alike.
func TestAllSmallSchedules(t *testing.T) {
	var walk func(path []int)
	walk = func(path []int) {
		if len(path) == searchDepth {
			searchSchedule(t, path)
			return
		}
		for i := range actions {
			walk(append(slices.Clip(path), i))
		}
	}
	walk(nil)
}

// Schedules that once failed and are longer than those of TestAllSmallSchedules.
func TestSchedulesThatFailedOnce(t *testing.T) {
	tests := []struct {
		cause string
		path  []string
	}{
		{
			"a box that was unfrozen used the ages in messages that had waited for it",
			[]string{"freeze or unfreeze the leader", "publisher fails or returns", "publish", "freeze or unfreeze the leader"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.cause, func(t *testing.T) {
			var path []int
			for _, name := range tt.path {
				path = append(path, slices.IndexFunc(actions, func(m action) bool { return m.name == name }))
			}
			searchSchedule(t, path)
		})
	}
}

// searchSchedule runs one schedule.
func searchSchedule(t *testing.T, path []int) {
	w := &checkedSimulation{simulation: newSimulation(t, 61), maxCounts: make(map[string]int)}
	w.domainCount = 2
	w.seeds = []string{firstLeader, otherLeader}
	w.start(firstLeader, domainName(0), 100, true)
	w.start(member, domainName(0), 99, true)
	w.start(otherLeader, domainName(1), 98, true)
	w.publishedAt = []time.Duration{0, 0}
	w.runChecked(t, path, 3*time.Second)
	before := make(map[*testBox]bool)
	for _, b := range w.boxes {
		before[b] = true
	}
	for _, i := range path {
		actions[i].apply(w)
		w.runChecked(t, path, searchStep)
		w.checkShares(t, path, before)
	}
	w.publisherDown = false
	clear(w.refusedBoxes)
	clear(w.cutDomains)
	for _, b := range w.boxes {
		b.frozen = false
	}
	w.runChecked(t, path, recoveryTime)
	w.checkRecovered(t, path)
}

// publish publishes a change and records its time.
func (w *checkedSimulation) publish(key, value string) {
	w.simulation.publish(key, value)
	w.publishedAt = append(w.publishedAt, w.now)
}

// restart stops a box if it is running, and starts it again.
func (w *checkedSimulation) restart(name, domain string, strength uint32) {
	delete(w.maxCounts, name)
	w.start(name, domain, strength, false)
}

// runChecked runs the simulation and checks the invariants that hold at all times.
func (w *checkedSimulation) runChecked(t *testing.T, path []int, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end; {
		w.run(stepsPerTick * step)
		for name, b := range w.boxes {
			w.checkBox(t, path, name, b)
		}
	}
}

func (w *checkedSimulation) checkBox(t *testing.T, path []int, name string, b *testBox) {
	t.Helper()
	if !slices.IsSorted(b.documentRevisions) {
		t.Fatalf("%s: %s applied document revisions %v", actionNames(path), name, b.documentRevisions)
	}
	if b.node.BoxCount() < w.maxCounts[name] {
		t.Fatalf("%s: %s counts %d boxes after %d", actionNames(path), name, b.node.BoxCount(), w.maxCounts[name])
	}
	w.maxCounts[name] = b.node.BoxCount()
	next := int(b.mirror.Revision()) + 1 // the first revision it lacks
	if b.mirror.Revision() > 0 && next < len(w.publishedAt) && b.node.ConfirmedAt() > w.publishedAt[next] {
		t.Fatalf("%s: %s has revision %d and claims that it was current at %v, revision %d was published at %v",
			actionNames(path), name, b.mirror.Revision(), b.node.ConfirmedAt(), next, w.publishedAt[next])
	}
}

// checkShares checks the sum of the shares of boxes that started before the schedule. Those that
// started later have no share during the retry window.
func (w *checkedSimulation) checkShares(t *testing.T, path []int, before map[*testBox]bool) {
	t.Helper()
	sum := 0.0
	for _, b := range w.boxes {
		if before[b] {
			sum += 1 / float64(b.node.Divisor())
		}
	}
	if sum > 1.0001 {
		t.Fatalf("%s: the shares add up to %f", actionNames(path), sum)
	}
}

// checkRecovered checks what must hold once all faults have ended.
func (w *checkedSimulation) checkRecovered(t *testing.T, path []int) {
	t.Helper()
	if stale := w.staleBoxes(); len(stale) > 0 {
		t.Fatalf("%s: %v do not have the newest published data", actionNames(path), stale)
	}
	w.setOwnLanes()
	w.runChecked(t, path, 2*time.Second)
	leaders := make(map[string]string) // by domain
	want := w.reservedUpstreams(otherLeader)
	for name, b := range w.boxes {
		leader := b.node.LeaderName()
		if other, ok := leaders[b.self.Domain]; ok && other != leader {
			t.Fatalf("%s: %s and %s are both followed as leader", actionNames(path), leader, other)
		}
		leaders[b.self.Domain] = leader
		if got := w.reservedUpstreams(name); got != want {
			t.Fatalf("%s: %s reserves %d upstreams, another box %d", actionNames(path), name, got, want)
		}
	}
}

// actionNames returns a schedule in readable form.
func actionNames(path []int) []string {
	var names []string
	for _, i := range path {
		names = append(names, actions[i].name)
	}
	return names
}
