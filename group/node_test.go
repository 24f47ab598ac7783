package group

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/doormast/doormast/wire"
)

func TestOneBoxReadsForDomain(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.startFleet(3, 20)
	w.run(5 * time.Second)
	is.Equal(len(w.staleBoxes()), 0)
	for _, name := range w.names {
		b := w.boxes[name]
		is.Equal(b.node.LeaderName(), boxName(int(b.self.Domain[6]-'0'), 0))
		is.Equal(b.node.BoxCount(), 60)
	}
	w.publisherCalls = 0
	w.run(10 * time.Second)
	is.True(w.publisherCalls <= 3*11) // the calls of three leaders, each waiting for one second
}

func TestChangeReachesAllBoxesAtOnce(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 2)
	w.startFleet(3, 20)
	w.run(5 * time.Second)
	w.publish(documentKey, strings.Repeat("compressible text ", 500))
	w.run(100 * time.Millisecond)
	is.Equal(len(w.staleBoxes()), 0)
}

func TestLargeChangeIsPulled(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 3)
	w.startFleet(2, 5)
	w.run(5 * time.Second)
	noise := make([]byte, 100<<10)
	for i := range noise {
		noise[i] = byte(w.random.Uint32())
	}
	w.publish(documentKey, string(noise))
	w.run(200 * time.Millisecond)
	is.Equal(len(w.staleBoxes()), 0)
}

// Each fault occurs at the worst moment for a change: just before it.
func TestChangeIsKnownWithinBound(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		name  string
		fault func(*simulation)
	}{
		{"the leader stops", func(w *simulation) { w.boxes[boxName(0, 0)].dead = true }},
		{"the leader and the next two boxes stop", func(w *simulation) {
			for i := range 3 {
				w.boxes[boxName(0, i)].dead = true
			}
		}},
		{"the leader freezes", func(w *simulation) { w.boxes[boxName(1, 0)].frozen = true }},
		{"the publisher refuses the leader", func(w *simulation) { w.refusedBoxes[boxName(0, 0)] = true }},
		{"the publisher refuses all leaders", func(w *simulation) {
			for d := range 3 {
				w.refusedBoxes[boxName(d, 0)] = true
			}
		}},
		{"a domain is cut off from the others", func(w *simulation) { w.cutDomains[domainName(2)] = true }},
		{"datagrams are lost", func(w *simulation) { w.lossRate = 0.1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 4)
			w.startFleet(3, 8)
			w.run(6 * time.Second)
			c.fault(w)
			w.publish(documentKey, "2")
			w.run(bound)
			is.Equal(w.staleBoxes(), nil)
			w.run(3 * time.Second) // and again once other boxes have taken over
			w.publish(documentKey, "3")
			w.run(bound)
			is.Equal(w.staleBoxes(), nil)
		})
	}
}

func TestRestartedBoxIsCurrentAtOnce(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 5)
	w.startFleet(2, 6)
	w.run(5 * time.Second)
	w.publish(documentKey, "2")
	w.start(boxName(1, 3), domainName(1), 97, false)
	w.run(100 * time.Millisecond)
	is.Equal(w.staleBoxes(), nil)
	w.run(2 * time.Second)
	is.Equal(w.boxes[boxName(1, 3)].node.BoxCount(), 12)
}

func TestLoneBoxReadsForItself(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 6)
	w.seeds = []string{"nobody", "alone"}
	w.start("alone", "domain0", 1, true)
	w.run(2 * time.Second)
	is.Equal(w.staleBoxes(), nil)
	is.True(w.boxes["alone"].node.IsLeader())
}

func TestBoxWithClockSetBackIsAccepted(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 7)
	w.startFleet(1, 3)
	w.run(5 * time.Second)
	b := w.start(boxName(0, 0), domainName(0), 100, false)
	b.self.Boot = 1 // before its own earlier start
	w.run(5 * time.Second)
	is.Equal(w.boxes[boxName(0, 2)].node.LeaderName(), boxName(0, 0))
}

func TestLeavingLeaderIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 8)
	w.startFleet(1, 4)
	w.run(5 * time.Second)
	w.boxes[boxName(0, 0)].node.Leave(w.now)
	w.run(100 * time.Millisecond)
	is.Equal(w.boxes[boxName(0, 3)].node.LeaderName(), boxName(0, 1))
}

// The last boxes of a domain, all of them about to stop, answered each other's messages without end.
func TestLeavingBoxesAnswerEachOtherWithoutEnd(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 8)
	w.startFleet(1, 3)
	w.run(5 * time.Second)
	count := func() (sum int) {
		for _, n := range w.messagesByKind {
			sum += n
		}
		return sum
	}
	before := count()
	w.run(2 * time.Second)
	calm := count() - before
	for _, name := range w.names {
		w.boxes[name].node.Leave(w.now)
	}
	before = count()
	w.run(2 * time.Second)
	leaving := count() - before
	t.Logf("%d messages while all serve, %d while all leave", calm, leaving)
	is.True(leaving <= 3*calm)
}

func TestAgeIsNeverUnderstated(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 9)
	w.startFleet(2, 4)
	w.run(5 * time.Second)
	w.publisherDown = true
	w.run(2 * time.Second) // a call in progress may have confirmed the copy until now
	for _, name := range w.names {
		is.True(w.boxes[name].node.ConfirmedAt() <= w.now-2*time.Second+DefaultTiming.WatchTimeout)
	}
	w.run(4 * time.Second)
	for _, name := range w.names {
		is.True(w.now-w.boxes[name].node.ConfirmedAt() >= 5*time.Second)
	}
	w.publisherDown = false
	w.run(2 * time.Second)
	is.Equal(w.staleBoxes(), nil)
	for _, name := range w.names {
		is.True(w.boxes[name].node.RemovalUncertainUntil("") > w.now-time.Second) // removed entries may reappear
	}
}

func TestMalformedItemsAreNotApplied(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 10)
	b := w.start("a", "domain0", 1, false)
	b.node.HandleRead(w.now, w.now, w.published.Items(), 1, true)
	b.node.Handle(w.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: "b", Domain: "domain0", Boot: 1}, From: 1, Revision: 2,
		Items: []*wire.GroupItem{{Key: documentKey, Value: []byte("not compressed"), Revision: 2, Packed: true}}})
	is.Equal(b.mirror.Revision(), uint64(1)) // the box requests the item again
	out, _ := b.node.Drain()
	is.True(slices.ContainsFunc(out, func(o Outgoing) bool { return o.Message.Ask }))
}

// Over random schedules of stops, freezes, partitions, outages, losses and changes, no box
// applies an older document after a newer one, the count of boxes never exceeds their number, and
// every box has the newest document in the end.
func TestNoScheduleRevertsDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(&testing.T{}, rapid.Uint64().Draw(t, "seed"))
		w.startFleet(2, 3)
		w.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		for range rapid.IntRange(3, 15).Draw(t, "steps") {
			b := w.boxes[rapid.SampledFrom(w.names).Draw(t, "box")]
			switch rapid.SampledFrom([]string{"stop", "start", "freeze", "unfreeze", "cut", "reconnect", "down", "up", "refuse", "publish", "publish"}).Draw(t, "action") {
			case "stop":
				b.dead = true
			case "start":
				w.start(b.self.Name, b.self.Domain, b.self.Strength, false)
			case "freeze":
				b.frozen = true
			case "unfreeze":
				b.frozen = false
			case "cut":
				w.cutDomains[b.self.Domain] = true
			case "reconnect":
				clear(w.cutDomains)
			case "down":
				w.publisherDown = true
			case "up":
				w.publisherDown = false
			case "refuse":
				w.refusedBoxes[b.self.Name] = !w.refusedBoxes[b.self.Name]
			case "publish":
				w.publish(documentKey, fmt.Sprint(w.now))
			}
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		w.publisherDown = false
		clear(w.cutDomains)
		clear(w.refusedBoxes)
		for _, b := range w.boxes {
			b.frozen = false
		}
		w.run(6 * time.Second)
		if list := w.staleBoxes(); len(list) > 0 {
			t.Fatalf("stale boxes after recovery: %v", list)
		}
		for _, b := range w.boxes {
			if !slices.IsSorted(b.documentRevisions) {
				t.Fatalf("%s applied document revisions %v", b.self.Name, b.documentRevisions)
			}
			if b.node.BoxCount() > len(w.names) {
				t.Fatalf("%s counts %d boxes", b.self.Name, b.node.BoxCount())
			}
		}
	})
}

// A box that could not reach the publisher while others could has not seen an outage: entries
// deleted meanwhile are gone, and must not be kept for a while.
func TestLocalReadFailureIsNoOutage(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 11)
	w.startFleet(2, 4)
	w.run(5 * time.Second)
	leader := w.boxes[boxName(0, 0)]
	w.refusedBoxes[leader.self.Name] = true
	w.run(5 * time.Second)
	delete(w.refusedBoxes, leader.self.Name)
	w.run(2 * time.Second)
	is.True(leader.node.lastReadAt > w.now-2*time.Second) // it reads again
	for _, name := range w.names {
		is.True(w.boxes[name].node.RemovalUncertainUntil("") < 0)
	}
}

func TestTimingForBound(t *testing.T) {
	is := is.New(t)
	is.Equal(TimingFor(3*time.Second), DefaultTiming)
	half := TimingFor(time.Second)
	is.Equal(half.HeartbeatInterval, DefaultTiming.HeartbeatInterval/2)
	is.Equal(half.StaleAfter, DefaultTiming.StaleAfter/2)
	is.Equal(half.WatchTimeout, DefaultTiming.WatchTimeout/2)
	is.Equal(half.MemberTimeout, DefaultTiming.MemberTimeout)
	is.Equal(TimingFor(0).HeartbeatInterval, DefaultTiming.HeartbeatInterval/4)
}
