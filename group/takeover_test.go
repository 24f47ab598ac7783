package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// otherRequests returns how many requests a box assumes the others have in progress.
func (w *simulation) otherRequests(name string) int {
	sum := 0
	for _, l := range w.boxes[name].node.OtherLoads() {
		sum += l.Requests
	}
	return sum
}

// setLoads gives each box four requests, one of them on an upstream that all use.
func (w *simulation) setLoads() {
	for i, name := range w.names {
		w.boxes[name].node.SetLoads(Loads{{Upstream: uint32(1000 + i)}: {Unread: 6400, Requests: 3}, {Upstream: 7, Urgency: 2}: {Unread: 6400, Requests: 1}})
	}
}

// A new leader and the boxes that follow it never assume fewer requests than the running boxes
// have.
func TestNewLeaderInheritsLoads(t *testing.T) {
	fleets := map[string]func() *simulation{
		"one region": func() *simulation {
			w := newSimulation(t, 1)
			w.startFleet(3, 26)
			w.run(6 * time.Second)
			return w
		},
		"three regions": func() *simulation { return startRegions(t, 1, layout{6, 3}, 78) },
	}
	for name, start := range fleets {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := start()
			w.setLoads()
			w.run(14 * time.Second)
			next, member := boxName(0, 1), boxName(0, 5)
			before := w.otherRequests(next)
			is.Equal(before, 4*(len(w.names)-1))
			w.boxes[boxName(0, 0)].dead = true
			led := false
			for range 60 {
				w.run(50 * time.Millisecond)
				led = led || w.boxes[next].node.IsLeader()
				for _, box := range []string{next, member} {
					if got := w.otherRequests(box); got < before-4 || got > before {
						t.Errorf("%v: %s assumes %d requests, want %d to %d", w.now, box, got, before-4, before)
					}
				}
			}
			is.True(led)
			is.True(w.boxes[next].node.KnowsOtherLoads(w.now))
		})
	}
}

// A new leader does not report the loads as known until all boxes have reported theirs.
func TestNewLeaderWaitsForReports(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 2)
	w.startFleet(3, 6)
	w.run(6 * time.Second)
	n := w.boxes[boxName(0, 1)].node
	n.SetLoads(Loads{balance.LoadKey{Upstream: 7}: {Requests: 1}})
	w.run(time.Second)
	is.True(n.KnowsOtherLoads(w.now))
	w.boxes[boxName(0, 0)].dead = true
	for !n.actsAsLeader {
		w.run(step)
	}
	is.True(!n.KnowsOtherLoads(w.now))
	w.run(DefaultTiming.MemberTimeout)
	is.True(n.KnowsOtherLoads(w.now))
}

// Boxes that receive the loads of a domain or region from its leader use the former leader's
// report until the new one has sent a complete list.
func TestFormerSumIsKeptUntilNewLeaderReports(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 1, layout{6, 3}, 78)
	w.setLoads()
	w.run(14 * time.Second)
	w.boxes[boxName(0, 0)].dead = true // of region 0, the strongest of all
	before := 4 * (len(w.names) - 1)
	for range 80 {
		w.run(50 * time.Millisecond)
		for _, box := range []string{boxName(3, 0), boxName(3, 4), boxName(1, 0), boxName(1, 4), boxName(4, 4)} {
			if got := w.otherRequests(box); got < before-4 || got > before {
				t.Errorf("%v: %s assumes %d requests, want %d to %d", w.now, box, got, before-4, before)
			}
		}
	}
	is.Equal(w.otherRequests(boxName(1, 4)), before-4)
}

// The first changes from a leader that has sent no complete list do not replace an existing sum.
func TestLoadChangesDoNotReplaceSum(t *testing.T) {
	is := is.New(t)
	n := nodeWithItems(3)
	n.cfg.Self.Region, n.cfg.Self.Boot = "here", 1
	leaderMessage := func(name string, strength uint32) *wire.GroupMessage {
		box := &wire.GroupBox{Name: name, Domain: "x", Region: "there", Strength: strength, Boot: 1, Address: name}
		return &wire.GroupMessage{Sender: box, Leads: true}
	}
	now := 10 * time.Second
	for range 40 {
		now += stepsPerTick * step
		n.Tick(now)
	}
	first := leaderMessage("a", 10)
	first.HasLoads, first.Scope, first.Columns = true, scopeRegion, packColumns(Loads{{Upstream: 1}: {Requests: 10}, {Upstream: 2}: {Requests: 500}})
	n.Handle(now, first)
	n.Tick(now)
	is.Equal(n.OtherLoads()[balance.LoadKey{Upstream: 2}].Requests, 500)
	n.Handle(now, leaderMessage("b", 20))
	n.Handle(now, &wire.GroupMessage{Sender: &wire.GroupBox{Name: "b", Boot: 1}, HasLoads: true, Partial: true, Scope: scopeRegion,
		Columns: packColumns(Loads{{Upstream: 1}: {Requests: 11}})})
	n.Tick(now)
	is.Equal(n.OtherLoads()[balance.LoadKey{Upstream: 2}].Requests, 500)
}

// A leader sends no changes to boxes that it has not sent a complete list yet.
func TestFullListIsSentBeforeChanges(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 3, layout{6, 3}, 18)
	w.setLoads()
	w.run(5 * time.Second)
	n := w.boxes[boxName(0, 0)].node
	n.recipients = recipientGroups{}
	n.SetLoads(Loads{{Upstream: 1}: {Requests: 1}})
	n.FlushLoads(w.now + time.Second)
	out, _ := n.Drain()
	is.Equal(len(out), 0)
	n.Tick(w.now + time.Second)
	out, _ = n.Drain()
	fullLists := 0
	for _, o := range out {
		is.True(!o.Message.Partial)
		if o.Message.HasLoads {
			fullLists++
		}
	}
	is.True(fullLists > 0)
}
