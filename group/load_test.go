package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// Each box receives the loads of all others in all domains but not its own. The loads of a box
// that has stopped are forgotten.
func TestBoxesKnowOtherLoads(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 20)
	w.startFleet(3, 4)
	w.run(5 * time.Second)
	key := balance.LoadKey{Upstream: 7, Urgency: 2}
	sum := 0
	for i, name := range w.names {
		tokens := tokenUnit * (i + 1)
		sum += tokens
		w.boxes[name].node.SetLoads(Loads{key: {Unread: tokens, Requests: 1}})
	}
	w.run(time.Second)
	for i, name := range w.names {
		others := w.boxes[name].node.OtherLoads()[key]
		is.Equal(others.Unread, sum-tokenUnit*(i+1))
		is.Equal(others.Requests, len(w.names)-1)
	}
	stopped := w.boxes[boxName(1, 2)]
	stopped.dead = true
	w.run(2 * DefaultTiming.MemberTimeout)
	for i, name := range w.names {
		if w.boxes[name].dead {
			continue
		}
		others := w.boxes[name].node.OtherLoads()[key]
		is.Equal(others.Requests, len(w.names)-2)
		is.Equal(others.Unread, sum-tokenUnit*(i+1)-tokenUnit*7)
	}
	for _, name := range w.names {
		w.boxes[name].node.SetLoads(nil)
	}
	w.run(2 * time.Second)
	for _, name := range w.names {
		if !w.boxes[name].dead {
			is.Equal(len(w.boxes[name].node.OtherLoads()), 0)
		}
	}
}

// A leader builds one message of loads for all its members, from which each subtracts its own.
func TestLeaderBuildsOneLoadsMessage(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 21)
	w.startFleet(2, 6)
	w.run(5 * time.Second)
	leader := w.boxes[boxName(0, 0)].node
	leader.SetLoads(Loads{{Upstream: 7, Urgency: 2}: {Unread: tokenUnit, Requests: 1}})
	leader.Tick(w.now)
	out, _ := leader.Drain()
	receivers := make(map[*wire.GroupMessage]int)
	for _, o := range out {
		if o.Message.HasLoads && o.Message.Whole {
			receivers[o.Message]++
		}
	}
	is.Equal(len(receivers), 1)
	for _, count := range receivers {
		is.Equal(count, 5)
	}
}

func TestSubtractLoads(t *testing.T) {
	is := is.New(t)
	a, b := balance.LoadKey{Upstream: 1}, balance.LoadKey{Upstream: 2, Urgency: 3}
	all := Loads{a: {Unread: 640, Requests: 5, Tight: 2}, b: {Unread: 64, Requests: 1}}
	is.Equal(subtractLoads(all, nil), all)
	is.Equal(subtractLoads(all, Loads{a: {Unread: 640, Requests: 2, Tight: 2}, b: {Unread: 64, Requests: 1}}), Loads{a: {Requests: 3}})
	// The received total may be older than the box's own loads: no result is negative.
	is.Equal(subtractLoads(all, Loads{a: {Unread: 9999, Requests: 9, Tight: 9}}), Loads{b: {Unread: 64, Requests: 1}})
}

// After its leader has restarted, a member must not subtract loads that the leader does not know
// of yet.
func TestRestartedLeaderIsSentLoadsAgain(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 22)
	w.startFleet(1, 3)
	w.run(5 * time.Second)
	key := balance.LoadKey{Upstream: 7, Urgency: 2}
	for _, name := range w.names {
		w.boxes[name].node.SetLoads(Loads{key: {Unread: tokenUnit, Requests: 1}})
	}
	w.run(time.Second)
	b := w.boxes[boxName(0, 1)].node
	is.True(b.peers[boxName(0, 0)].loadsSent)
	w.start(boxName(0, 0), domainName(0), 100, false)
	b.Handle(w.now, &wire.GroupMessage{Sender: w.boxes[boxName(0, 0)].self, Leads: true})
	is.True(!b.peers[boxName(0, 0)].loadsSent)
	w.run(3 * time.Second)
	is.Equal(b.OtherLoads()[key].Requests, 1) // of the third box; the leader has none any more
}

// A load that starts or ends is known to all other boxes within a few flush intervals, in its
// domain and in others, while other loads stay unchanged.
func TestLoadChangesArePropagated(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 23)
	w.startFleet(3, 20)
	w.run(5 * time.Second)
	for i, name := range w.names {
		loads := make(Loads)
		for u := range uint32(10) {
			loads[balance.LoadKey{Upstream: 1000*uint32(i) + u}] = balance.Load{Unread: tokenUnit, Requests: 1}
		}
		w.boxes[name].node.SetLoads(loads)
	}
	w.run(5 * time.Second)
	key := balance.LoadKey{Upstream: 7, Urgency: 2}
	sender := w.boxes[boxName(1, 13)].node
	for _, load := range []balance.Load{{Unread: 4 * tokenUnit, Requests: 2}, {Requests: 1}, {}} {
		loads := make(Loads)
		addLoads(loads, sender.loads)
		setLoad(loads, key, load)
		sender.SetLoads(loads)
		w.run(4*minFlushInterval + 8*step)
		for _, name := range w.names {
			if name != boxName(1, 13) {
				is.Equal(w.boxes[name].node.OtherLoads()[key], load)
			}
		}
	}
}

// Lost messages, with changes or complete lists, are compensated. Loads reported by a box that
// was taken for a leader meanwhile count until it has not been heard for the member timeout.
func TestLoadsRecoverFromLostMessages(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 24)
	w.startFleet(3, 6)
	w.run(5 * time.Second)
	w.lossRate = 0.3
	for s := range 20 {
		w.shuffleLoads(s)
		w.run(100 * time.Millisecond)
	}
	w.lossRate = 0
	w.run(DefaultTiming.MemberTimeout + time.Second)
	for _, name := range w.names {
		want := make(Loads)
		for _, other := range w.names {
			if other != name {
				addLoads(want, w.boxes[other].node.loads)
			}
		}
		is.Equal(w.boxes[name].node.OtherLoads(), want)
	}
}

// The drained changes add up to the loads of all other boxes.
func TestLoadChangesAddUpToOtherLoads(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 25)
	w.startFleet(2, 5)
	w.run(5 * time.Second)
	n := w.boxes[boxName(1, 3)].node
	n.DrainLoadChanges()
	received := make(Loads)
	addLoads(received, n.OtherLoads())
	for s := range 10 {
		w.shuffleLoads(s)
		w.run(2 * minFlushInterval)
		for key, load := range n.DrainLoadChanges() {
			setLoad(received, key, load)
		}
	}
	w.run(300 * time.Millisecond)
	for key, load := range n.DrainLoadChanges() {
		setLoad(received, key, load)
	}
	is.Equal(received, n.OtherLoads())
	is.Equal(n.DrainLoadChanges(), nil)
}

// A leader restarted and its first messages were lost. A member kept sending its loads, so the
// leader's next complete list included them. From that list the member learned of the restart,
// discarded the record of what it had sent, and counted its own loads as those of others for half
// a second.
func TestMemberIgnoresItsOwnLoadsFromRestartedLeader(t *testing.T) {
	is := is.New(t)
	member := NewNode(Config{Self: &wire.GroupBox{Name: "b", Domain: "d", Address: "b", Boot: 1, Strength: 1}, Timing: DefaultTiming, Mirror: mirror.New()}, 0)
	leader := func(boot uint64) *wire.GroupBox {
		return &wire.GroupBox{Name: "a", Domain: "d", Address: "a", Boot: boot, Strength: 2}
	}
	key := balance.LoadKey{Upstream: 7, Urgency: 2}
	own := Loads{key: {Requests: 3}}
	fullList := &wire.GroupMessage{Sender: leader(2), Leads: true, HasLoads: true, Whole: true, Columns: packColumns(own)}
	changes := &wire.GroupMessage{Sender: leader(2), Partial: true, HasLoads: true, Columns: packColumns(own)}
	now := 100 * time.Millisecond
	member.Handle(now, &wire.GroupMessage{Sender: leader(1), Leads: true})
	member.SetLoads(own)
	member.Tick(now)
	is.True(member.peers["a"].loadsSent)
	now += 50 * time.Millisecond
	member.Handle(now, fullList) // the first message after the restart that it receives
	is.Equal(len(member.OtherLoads()), 0)
	member.Handle(now, changes)
	is.Equal(len(member.OtherLoads()), 0)
	now += DefaultTiming.HeartbeatInterval + 50*time.Millisecond
	member.Tick(now) // it sends its loads to the restarted leader
	is.True(member.peers["a"].loadsSent)
	others := Loads{key: {Requests: 5}}
	member.Handle(now, &wire.GroupMessage{Sender: leader(2), Leads: true, HasLoads: true, Whole: true, Columns: packColumns(others)})
	is.Equal(member.OtherLoads()[key].Requests, 2)
}
