package group

import (
	"slices"
	"testing"
	"time"
)

// The boxes of the search across regions: two domains of one region, and one of another.
var regionBoxes = []struct {
	name, domain string
	strength     uint32
}{
	{boxName(0, 0), domainName(0), 100}, // leads its domain and its region
	{boxName(0, 1), domainName(0), 99},
	{boxName(1, 0), domainName(1), 98}, // of the same region
	{boxName(2, 0), domainName(2), 97}, // of the other one
	{boxName(2, 1), domainName(2), 96},
}

var regionMoves = []move{
	{"publish", func(w *searched) { w.publish(documentKey, "new") }},
	{"the region's lead ends or comes back", func(w *searched) { w.endOrStart(0) }},
	{"the other domain's box starts again", func(w *searched) { w.again(2) }},
	{"the far lead starts again", func(w *searched) { w.again(3) }},
	{"cut or heal the regions", func(w *searched) {
		if w.severs == nil {
			w.severs = regionsCut
		} else {
			w.severs = nil
		}
	}},
	{"pause or wake the region's lead", func(w *searched) { w.boxes[firstLead].frozen = !w.boxes[firstLead].frozen }},
	{"all are killed and start again", func(w *searched) {
		for _, b := range w.boxes {
			b.dead = true
		}
		w.run(100 * time.Millisecond)
		for i := range regionBoxes {
			w.again(i)
		}
	}},
	{"messages are lost or not", func(w *searched) { w.loss = 0.3 - w.loss }},
}

func (w *searched) again(i int) {
	w.replace(regionBoxes[i].name, regionBoxes[i].domain, regionBoxes[i].strength)
}

func (w *searched) endOrStart(i int) {
	if b := w.boxes[regionBoxes[i].name]; !b.dead {
		b.dead = true
		return
	}
	w.again(i)
}

// TestSmallSchedulesAcrossRegions walks every schedule of two of the moves, and those of three
// that hold the end of a region's lead or a cut. Whatever happens, what TestAllSmallSchedules
// states of documents, ages and counts holds, and no box believes of more work than the others
// have; in the end each knows all.
func TestSmallSchedulesAcrossRegions(t *testing.T) {
	for i := range regionMoves {
		for j := range regionMoves {
			searchRegions(t, []int{i, j})
			for _, k := range []int{1, 4, 6} {
				searchRegions(t, []int{k, i, j})
			}
		}
	}
}

func searchRegions(t *testing.T, path []int) {
	w := &searched{world: newWorld(t, 62), counts: make(map[string]int)}
	w.regions = map[string]string{domainName(0): "region0", domainName(1): "region0", domainName(2): "region1"}
	w.far = 30 * time.Millisecond
	w.seeds = []string{firstLead, boxName(2, 1)}
	w.changes = []time.Duration{0, 0}
	for _, b := range regionBoxes {
		w.start(b.name, b.domain, b.strength, true)
	}
	w.passRegions(t, path, 4*time.Second)
	for _, i := range path {
		regionMoves[i].do(w)
		w.passRegions(t, path, searchStep)
	}
	w.severs, w.loss = nil, 0
	for i, b := range regionBoxes {
		w.boxes[b.name].frozen = false
		if w.boxes[b.name].dead {
			w.again(i)
		}
	}
	w.passRegions(t, path, settle)
	if late := w.behind(); len(late) > 0 {
		t.Fatalf("%s: %v do not know what is published", regionNames(path), late)
	}
	w.checkOthers(t, "at the end", everyone)
}

// passRegions lets time pass, with the same work on each box in each of its lives.
func (w *searched) passRegions(t *testing.T, path []int, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end; {
		w.loadAll()
		w.run(tickStep * step)
		for name, b := range w.boxes {
			if b.dead {
				continue
			}
			w.checkBox(t, path, name, b)
			w.checkNotTwice(t, path, name)
		}
	}
}

// checkNotTwice checks that a box believes of no more requests than the others can have.
func (w *searched) checkNotTwice(t *testing.T, path []int, name string) {
	t.Helper()
	for key, load := range w.boxes[name].node.OtherLoads() {
		most := 0
		for _, other := range w.names {
			if other != name {
				most += w.boxes[other].node.loads[key].Open
			}
		}
		if load.Open > most {
			t.Fatalf("%s: at %v %s believes of %d requests on %v, the others have %d",
				regionNames(path), w.now, name, load.Open, key, most)
		}
	}
}

func regionNames(path []int) []string {
	var names []string
	for _, i := range path {
		names = append(names, regionMoves[i].name)
	}
	return slices.Clip(names)
}
