package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/mirror"
)

// A leader that has restarted and read all data does not know which items were deleted, so boxes
// with older copies must pull instead of receiving changes.
func TestRestartedLeaderSendsNoChanges(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 58)
	w.startFleet(1, 3)
	w.run(4 * time.Second)
	leader := w.boxes[boxName(0, 0)]
	w.start(boxName(0, 0), domainName(0), leader.self.Strength, false)
	leader = w.boxes[boxName(0, 0)]
	leader.node.recordPeer(w.boxes[boxName(0, 1)].self)
	leader.node.Drain()
	items, revision := w.published.Items(), w.published.Revision()
	leader.node.HandleRead(w.now, w.now, items, revision, true)
	out, _ := leader.node.Drain()
	messages := 0
	for _, o := range out {
		if o.Message.Revision == revision && !o.Message.HasLoads {
			is.Equal(len(o.Message.Items), 0)
			messages++
		}
	}
	is.True(messages > 0)
}

// A box that runs on while its leader and others restart drops a deleted item at the latest with
// the revision of the deletion. When changes from revision 0 were applied, 3 of 30 runs kept a
// deleted item.
func TestDeletionIsAppliedAfterLeaderRestart(t *testing.T) {
	for range 40 { // the order of messages to boxes differs between runs
		is := is.New(t)
		w := newSimulation(t, 5)
		w.startFleet(2, 8)
		w.run(5 * time.Second)
		add := w.published.Revision() + 1
		w.published.Apply(add-1, add, []mirror.Item{{Key: "wish", Revision: add}})
		w.run(4 * time.Second)
		for i := range 4 {
			w.start(boxName(1, i), domainName(1), uint32(100-i), false)
		}
		w.published.Apply(add, add+1, []mirror.Item{{Key: "wish", Revision: add + 1, Deleted: true}})
		w.run(2 * time.Second)
		for _, name := range w.names {
			copied := w.boxes[name].mirror
			for _, it := range copied.Items() {
				is.True(it.Key != "wish" || copied.Revision() <= add)
			}
		}
	}
}
