package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/mirror"
)

// A lead that has started again and reads everything has boxes with older copies pull: what it
// has learned does not say what went.
func TestABoxThatReadAnewTellsNoChanges(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 58)
	w.fleet(1, 3)
	w.run(4 * time.Second)
	lead := w.boxes[boxName(0, 0)]
	w.start(boxName(0, 0), domainName(0), lead.self.Strength, false)
	lead = w.boxes[boxName(0, 0)]
	lead.node.note(w.boxes[boxName(0, 1)].self)
	lead.node.Drain()
	items, revision := w.published.Items(), w.published.Revision()
	lead.node.HandleRead(w.now, w.now, items, revision, true)
	out, _ := lead.node.Drain()
	told := 0
	for _, o := range out {
		if o.Message.Revision == revision && !o.Message.HasLoads {
			is.Equal(len(o.Message.Items), 0)
			told++
		}
	}
	is.True(told > 0)
}

// A box that goes on while its lead and others start again drops what went, at the latest with the
// revision at which it did. With changes from revision 0 taken, 3 of 30 runs left an item that had gone.
func TestWhatWentIsGoneWhereTheLeadStartedAgain(t *testing.T) {
	for range 40 { // the order in which boxes are told differs from run to run
		is := is.New(t)
		w := newWorld(t, 5)
		w.fleet(2, 8)
		w.run(5 * time.Second)
		add := w.published.Revision() + 1
		w.published.Apply(add-1, add, []mirror.Item{{Key: "wish", Revision: add}})
		w.run(4 * time.Second)
		for i := range 4 {
			w.start(boxName(1, i), domainName(1), uint32(100-i), false)
		}
		w.published.Apply(add, add+1, []mirror.Item{{Key: "wish", Revision: add + 1, Gone: true}})
		w.run(2 * time.Second)
		for _, name := range w.names {
			copied := w.boxes[name].copy
			for _, it := range copied.Items() {
				is.True(it.Key != "wish" || copied.Revision() <= add)
			}
		}
	}
}
