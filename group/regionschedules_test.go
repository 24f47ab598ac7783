package group

import (
	"slices"
	"testing"
	"time"
)

// The boxes of the search across regions: two domains of one region, and one domain of another.
var regionBoxes = []struct {
	name, domain string
	strength     uint32
}{
	{boxName(0, 0), domainName(0), 100}, // leads its domain and its region
	{boxName(0, 1), domainName(0), 99},
	{boxName(1, 0), domainName(1), 98}, // of the same region
	{boxName(2, 0), domainName(2), 97}, // of the other region
	{boxName(2, 1), domainName(2), 96},
}

var regionActions = []action{
	{"publish", func(w *checkedSimulation) { w.publish(documentKey, "new") }},
	{"the region leader stops or returns", func(w *checkedSimulation) { w.toggleRegionBox(0) }},
	{"the box of the other domain restarts", func(w *checkedSimulation) { w.restartRegionBox(2) }},
	{"the leader of the other region restarts", func(w *checkedSimulation) { w.restartRegionBox(3) }},
	{"cut or reconnect the regions", func(w *checkedSimulation) {
		if w.linkCut == nil {
			w.linkCut = betweenRegions
		} else {
			w.linkCut = nil
		}
	}},
	{"freeze or unfreeze the region leader", func(w *checkedSimulation) { w.boxes[firstLeader].frozen = !w.boxes[firstLeader].frozen }},
	{"all boxes restart", func(w *checkedSimulation) {
		for _, b := range w.boxes {
			b.dead = true
		}
		w.run(100 * time.Millisecond)
		for i := range regionBoxes {
			w.restartRegionBox(i)
		}
	}},
	{"message loss begins or ends", func(w *checkedSimulation) { w.lossRate = 0.3 - w.lossRate }},
}

func (w *checkedSimulation) restartRegionBox(i int) {
	w.restart(regionBoxes[i].name, regionBoxes[i].domain, regionBoxes[i].strength)
}

func (w *checkedSimulation) toggleRegionBox(i int) {
	if b := w.boxes[regionBoxes[i].name]; !b.dead {
		b.dead = true
		return
	}
	w.restartRegionBox(i)
}

// TestSmallSchedulesAcrossRegions runs every schedule of two actions, and those of three that
// start with a stop or return of the region leader, a partition between the regions, or a restart
// of all boxes. At all times the invariants of TestAllSmallSchedules for documents, ages and
// counts hold, and no box assumes more requests than the others have. In the end each box knows
// all loads.
func TestSmallSchedulesAcrossRegions(t *testing.T) {
	for i := range regionActions {
		for j := range regionActions {
			searchRegionSchedule(t, []int{i, j})
			for _, k := range []int{1, 4, 6} {
				searchRegionSchedule(t, []int{k, i, j})
			}
		}
	}
}

func searchRegionSchedule(t *testing.T, path []int) {
	w := &checkedSimulation{simulation: newSimulation(t, 62), maxCounts: make(map[string]int)}
	w.regions = map[string]string{domainName(0): "region0", domainName(1): "region0", domainName(2): "region1"}
	w.regionDelay = 30 * time.Millisecond
	w.seeds = []string{firstLeader, boxName(2, 1)}
	w.publishedAt = []time.Duration{0, 0}
	for _, b := range regionBoxes {
		w.start(b.name, b.domain, b.strength, true)
	}
	w.runRegions(t, path, 4*time.Second)
	for _, i := range path {
		regionActions[i].apply(w)
		w.runRegions(t, path, searchStep)
	}
	w.linkCut, w.lossRate = nil, 0
	for i, b := range regionBoxes {
		w.boxes[b.name].frozen = false
		if w.boxes[b.name].dead {
			w.restartRegionBox(i)
		}
	}
	w.runRegions(t, path, settleTime)
	if stale := w.staleBoxes(); len(stale) > 0 {
		t.Fatalf("%s: %v do not have the newest published data", regionActionNames(path), stale)
	}
	w.checkOtherLoads(t, "at the end", hearsAll)
}

// runRegions runs the simulation with the same loads on each box after every restart, and checks
// the invariants.
func (w *checkedSimulation) runRegions(t *testing.T, path []int, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end; {
		w.setDistinctLoads()
		w.run(stepsPerTick * step)
		for name, b := range w.boxes {
			if b.dead {
				continue
			}
			w.checkBox(t, path, name, b)
			w.checkNoDoubleCount(t, path, name)
		}
	}
}

// checkNoDoubleCount checks that a box assumes no more requests than the others can have.
func (w *checkedSimulation) checkNoDoubleCount(t *testing.T, path []int, name string) {
	t.Helper()
	for key, load := range w.boxes[name].node.OtherLoads() {
		maximum := 0
		for _, other := range w.names {
			if other != name {
				maximum += w.boxes[other].node.loads[key].Requests
			}
		}
		if load.Requests > maximum {
			t.Fatalf("%s: at %v %s assumes %d requests of others on %v, they have %d",
				regionActionNames(path), w.now, name, load.Requests, key, maximum)
		}
	}
}

func regionActionNames(path []int) []string {
	var names []string
	for _, i := range path {
		names = append(names, regionActions[i].name)
	}
	return slices.Clip(names)
}
