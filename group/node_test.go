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

func TestOneBoxOfADomainReadsForTheOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.fleet(3, 20)
	w.run(5 * time.Second)
	is.Equal(len(w.behind()), 0)
	for _, name := range w.names {
		b := w.boxes[name]
		is.Equal(b.node.LeaderName(), boxName(int(b.self.Domain[6]-'0'), 0))
		is.Equal(b.node.BoxCount(), 60)
	}
	w.calls = 0
	w.run(10 * time.Second)
	is.True(w.calls <= 3*11) // the watches of three leads, a second each
}

func TestAChangeIsEverywhereAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.fleet(3, 20)
	w.run(5 * time.Second)
	w.publish(documentKey, strings.Repeat("large and alike ", 500))
	w.run(100 * time.Millisecond)
	is.Equal(len(w.behind()), 0)
}

func TestAChangeTooLargeForADatagramIsPulled(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.fleet(2, 5)
	w.run(5 * time.Second)
	noise := make([]byte, 100<<10)
	for i := range noise {
		noise[i] = byte(w.random.Uint32())
	}
	w.publish(documentKey, string(noise))
	w.run(200 * time.Millisecond)
	is.Equal(len(w.behind()), 0)
}

// The failures that a change meets, each at the worst moment: just before it.
func TestAChangeIsKnownWithinTheBound(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		name  string
		fault func(*world)
	}{
		{"the lead dies", func(w *world) { w.boxes[boxName(0, 0)].dead = true }},
		{"the lead and the next two die", func(w *world) {
			for i := range 3 {
				w.boxes[boxName(0, i)].dead = true
			}
		}},
		{"the lead freezes", func(w *world) { w.boxes[boxName(1, 0)].frozen = true }},
		{"the publisher turns the lead away", func(w *world) { w.refused[boxName(0, 0)] = true }},
		{"the publisher turns all leads away", func(w *world) {
			for d := range 3 {
				w.refused[boxName(d, 0)] = true
			}
		}},
		{"a domain is cut off from the others", func(w *world) { w.cut[domainName(2)] = true }},
		{"datagrams are lost", func(w *world) { w.loss = 0.1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 4)
			w.fleet(3, 8)
			w.run(6 * time.Second)
			c.fault(w)
			w.publish(documentKey, "2")
			w.run(bound)
			is.Equal(w.behind(), nil)
			w.run(3 * time.Second) // and again once the others have taken over
			w.publish(documentKey, "3")
			w.run(bound)
			is.Equal(w.behind(), nil)
		})
	}
}

func TestABoxThatStartsAgainIsUpToDateAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 5)
	w.fleet(2, 6)
	w.run(5 * time.Second)
	w.publish(documentKey, "2")
	w.start(boxName(1, 3), domainName(1), 97, false)
	w.run(100 * time.Millisecond)
	is.Equal(w.behind(), nil)
	w.run(2 * time.Second)
	is.Equal(w.boxes[boxName(1, 3)].node.BoxCount(), 12)
}

func TestABoxWithoutAnyOtherReadsForItself(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 6)
	w.seeds = []string{"nobody", "alone"}
	w.start("alone", "domain0", 1, true)
	w.run(2 * time.Second)
	is.Equal(w.behind(), nil)
	is.True(w.boxes["alone"].node.IsLeader())
}

func TestABoxWhoseClockWasSetBackIsHeardAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 7)
	w.fleet(1, 3)
	w.run(5 * time.Second)
	b := w.start(boxName(0, 0), domainName(0), 100, false)
	b.self.Boot = 1 // before its own earlier start
	w.run(5 * time.Second)
	is.Equal(w.boxes[boxName(0, 2)].node.LeaderName(), boxName(0, 0))
}

func TestALeadThatLeavesIsFollowedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 8)
	w.fleet(1, 4)
	w.run(5 * time.Second)
	w.boxes[boxName(0, 0)].node.Leave(w.now)
	w.run(100 * time.Millisecond)
	is.Equal(w.boxes[boxName(0, 3)].node.LeaderName(), boxName(0, 1))
}

func TestAgeIsNeverUnderstated(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 9)
	w.fleet(2, 4)
	w.run(5 * time.Second)
	w.down = true
	w.run(2 * time.Second) // a call that was waiting may have confirmed until now
	for _, name := range w.names {
		is.True(w.boxes[name].node.ConfirmedAt() <= w.now-2*time.Second+DefaultTiming.Watch)
	}
	w.run(4 * time.Second)
	for _, name := range w.names {
		is.True(w.now-w.boxes[name].node.ConfirmedAt() >= 5*time.Second)
	}
	w.down = false
	w.run(2 * time.Second)
	is.Equal(w.behind(), nil)
	for _, name := range w.names {
		is.True(w.boxes[name].node.DeletionsUncertainUntil() > w.now-time.Second) // entries that lapsed may come back
	}
}

func TestBrokenItemsAreNotTaken(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 10)
	b := w.start("a", "domain0", 1, false)
	b.node.HandleRead(w.now, w.now, w.published.Items(), 1, true)
	b.node.Handle(w.now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: "b", Domain: "domain0", Boot: 1}, From: 1, Revision: 2,
		Items: []*wire.GroupItem{{Key: documentKey, Value: []byte("no flate"), Revision: 2, Packed: true}}})
	is.Equal(b.copy.Revision(), uint64(1)) // it is asked for again
	out, _ := b.node.Drain()
	is.True(slices.ContainsFunc(out, func(o Outgoing) bool { return o.Message.Ask }))
}

// Over random schedules of deaths, freezes, cuts, outages, losses and changes, no box
// ever takes an older document after a newer one, the count of boxes never exceeds
// those there are, and once all is well everybody has the newest.
func TestNoScheduleBringsAnOldDocumentBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(&testing.T{}, rapid.Uint64().Draw(t, "seed"))
		w.fleet(2, 3)
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		for range rapid.IntRange(3, 15).Draw(t, "steps") {
			b := w.boxes[rapid.SampledFrom(w.names).Draw(t, "box")]
			switch rapid.SampledFrom([]string{"die", "start", "freeze", "wake", "cut", "heal", "down", "up", "refuse", "publish", "publish"}).Draw(t, "what") {
			case "die":
				b.dead = true
			case "start":
				w.start(b.self.Name, b.self.Domain, b.self.Strength, false)
			case "freeze":
				b.frozen = true
			case "wake":
				b.frozen = false
			case "cut":
				w.cut[b.self.Domain] = true
			case "heal":
				clear(w.cut)
			case "down":
				w.down = true
			case "up":
				w.down = false
			case "refuse":
				w.refused[b.self.Name] = !w.refused[b.self.Name]
			case "publish":
				w.publish(documentKey, fmt.Sprint(w.now))
			}
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		w.down = false
		clear(w.cut)
		clear(w.refused)
		for _, b := range w.boxes {
			b.frozen = false
		}
		w.run(6 * time.Second)
		if list := w.behind(); len(list) > 0 {
			t.Fatalf("behind after all: %v", list)
		}
		for _, b := range w.boxes {
			if !slices.IsSorted(b.taken) {
				t.Fatalf("%s took %v", b.self.Name, b.taken)
			}
			if b.node.BoxCount() > len(w.names) {
				t.Fatalf("%s counts %d boxes", b.self.Name, b.node.BoxCount())
			}
		}
	})
}

// A box that could not reach the publisher while others could has missed no outage:
// what goes then has gone, and is not to be kept for a while.
func TestABoxThatWasCutOffAloneRaisesNoDoubt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 11)
	w.fleet(2, 4)
	w.run(5 * time.Second)
	lead := w.boxes[boxName(0, 0)]
	w.refused[lead.self.Name] = true
	w.run(5 * time.Second)
	delete(w.refused, lead.self.Name)
	w.run(2 * time.Second)
	is.True(lead.node.readOK > w.now-2*time.Second) // it reads again
	for _, name := range w.names {
		is.True(w.boxes[name].node.DeletionsUncertainUntil() < 0)
	}
}

func TestTimingFollowsTheBound(t *testing.T) {
	is := is.New(t)
	is.Equal(TimingFor(3*time.Second), DefaultTiming)
	half := TimingFor(time.Second)
	is.Equal(half.Beat, DefaultTiming.Beat/2)
	is.Equal(half.Stale, DefaultTiming.Stale/2)
	is.Equal(half.Watch, DefaultTiming.Watch/2)
	is.Equal(half.Member, DefaultTiming.Member)
	is.Equal(TimingFor(0).Beat, DefaultTiming.Beat/4)
}
