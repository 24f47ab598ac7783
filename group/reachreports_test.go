package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// reachFleets holds the boxes' fleets, connected to the nodes as in a box.
type reachFleets struct {
	sim    *simulation
	fleets map[string]*balance.Fleet
	told   map[string]map[string]time.Duration // by box and upstream: when the box was first told that it is lost
}

// startReachFleets starts boxes by name with their domains, each with the same upstreams.
func startReachFleets(w *simulation, upstreams int) *reachFleets {
	h := &reachFleets{sim: w, fleets: make(map[string]*balance.Fleet), told: make(map[string]map[string]time.Duration)}
	for _, name := range w.names {
		f := balance.NewFleet(balance.Config{Domain: w.boxes[name].self.Domain, Tuning: balance.DefaultTuning})
		for i := range upstreams {
			f.Put(0, balance.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "d0", Slots: 8})
		}
		h.fleets[name], h.told[name] = f, make(map[string]time.Duration)
	}
	return h
}

func (h *reachFleets) run(d time.Duration) {
	for end := h.sim.now + d; h.sim.now < end; {
		h.sim.run(step)
		for _, name := range h.sim.names {
			b, f := h.sim.boxes[name], h.fleets[name]
			if b.dead || b.frozen {
				continue
			}
			for _, c := range f.MergeReachReports(h.sim.now, b.node.DrainReachReports()) {
				if _, known := h.told[name][c.ID]; !known && !c.Report.Reached {
					h.told[name][c.ID] = h.sim.now
				}
			}
			b.node.AnnounceReachReports(h.sim.now, f.TakeReachReports(h.sim.now))
			b.node.FlushReachReports(h.sim.now)
			h.sim.sendOutgoing(b)
		}
	}
}

// lose lets a box's own connection to an upstream time out.
func (h *reachFleets) lose(name, id string) {
	h.fleets[name].Open(h.sim.now-balance.DialWait, id, balance.Request{Service: "s"}).Close(h.sim.now, balance.Unreachable)
}

// toldOf counts the boxes that were told of an upstream.
func (h *reachFleets) toldOf(id string) int {
	n := 0
	for _, told := range h.told {
		if _, ok := told[id]; ok {
			n++
		}
	}
	return n
}

func TestLostUpstreamIsReportedToAllBoxes(t *testing.T) {
	all := []string{"b00", "b01", "b02", "b10", "b11", "b20"}
	for _, tt := range []struct {
		name  string
		apply func(h *reachFleets)
		want  int // boxes that are told, of those that did not find out themselves
	}{
		{"by a member", func(h *reachFleets) { h.lose("b02", "u1") }, 5},
		{"by a leader", func(h *reachFleets) { h.lose("b10", "u1") }, 5},
		{"by boxes of two domains at once", func(h *reachFleets) { h.lose("b02", "u1"); h.lose("b11", "u1") }, 4},
		{"a domain is cut off", func(h *reachFleets) { h.sim.cutDomains["d1"] = true; h.lose("b02", "u1") }, 3},
		{"the box is cut off alone", func(h *reachFleets) { h.sim.isolated["b02"] = true; h.lose("b02", "u1") }, 0},
		{"one that has restarted", func(h *reachFleets) {
			h.sim.boxes["b02"].dead = true
			h.run(100 * time.Millisecond)
			h.sim.start("b02", "d0", 8, false)
			h.run(time.Second)
			h.lose("b02", "u1")
		}, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1)
			w.seeds = []string{"b00", "b10"}
			for i, name := range all {
				w.start(name, "d"+name[1:2], uint32(10-i), true)
			}
			h := startReachFleets(w, 12)
			h.run(3 * time.Second)
			tt.apply(h)
			h.run(200 * time.Millisecond)
			is.Equal(h.toldOf("u1"), tt.want)
		})
	}
}

// A third of the upstreams of 300 boxes with links of 10 Mbit/s fall silent, and three boxes find
// out about each. The reports reach all boxes and take at most their share of a leader's link.
func TestReportsOfLostUpstreamsStayWithinShareOfLink(t *testing.T) {
	is := is.New(t)
	const boxes, upstreams, silent, linkRate = 300, 60, 20, 1.25e6
	w := newSimulation(t, 1)
	w.datagramRate = linkRate
	w.seeds = []string{"b000", "b001", "b002"}
	for i := range boxes {
		w.start(fmt.Sprintf("b%03d", i), fmt.Sprint("d", i%3), uint32(1000-i), true)
	}
	h := startReachFleets(w, upstreams)
	h.run(4 * time.Second)
	start, before := w.now, w.bytesByKind[sentKey{KindReachReports, ReachDomain}]
	for i := range silent {
		for j := range 3 {
			h.lose(fmt.Sprintf("b%03d", 30+i*9+j*3), fmt.Sprint("u", i))
		}
		h.run(20 * time.Millisecond)
	}
	h.run(600 * time.Millisecond)
	took := w.now - start
	sent := float64(w.bytesByKind[sentKey{KindReachReports, ReachDomain}] - before)
	t.Logf("%.0f KB in three domains, %v", sent/1000, took)
	is.True(sent <= 3*(listShare*linkRate*(took+listBurst).Seconds()+100*maxReachMessage))
	for i := range silent {
		is.True(h.toldOf(fmt.Sprint("u", i)) >= boxes-3) // those that found out themselves are not told
	}
}

// maxReachMessage is the size of a message with all reports of the test, in bytes.
const maxReachMessage = 1000

// A box of an older version reads a report as load changes without any loads.
func TestReachReportsHaveNoEffectOnOlderBoxes(t *testing.T) {
	is := is.New(t)
	m := &wire.GroupMessage{Sender: &wire.GroupBox{Name: "lead", Boot: 1}}
	packReachReports(m, []balance.ReachReport{{Life: 7, Age: time.Second, Box: "b"}}, 0, false)
	is.Equal(KindOf(m), KindReachReports)
	m.Reach = nil // unknown to it
	is.Equal(KindOf(m), KindLoadChanges)
	is.Equal(len(m.Loads), 0)
	is.Equal(m.Columns, nil)
}
