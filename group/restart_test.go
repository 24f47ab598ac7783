package group

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// publishUpstreams publishes a list of upstreams of 250 bytes each. The publisher serves it in
// pages of 50, 310 per second; boxes have links of 10 Mbit/s.
func (w *simulation) publishUpstreams(count int) {
	items := w.published.Items()
	for i := range count {
		hash := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		value := fmt.Sprintf("%-186s%s", `{"service":"a","state":"ready","domain":"domain"}`, hex.EncodeToString(hash[:]))
		items = append(items, mirror.Item{Key: fmt.Sprintf("upstream/%04d", i), Value: []byte(value), Revision: 1})
	}
	w.published.Load(items, 1)
	const page = 50
	w.pages = pagedPublisher{perSecond: 310, pages: len(items)/page + 1, timeout: 900 * time.Millisecond}
	w.linkRate = 10e6 / 8
}

// restartAll stops all boxes and starts them again within 100 ms.
func (w *simulation) restartAll() {
	for _, name := range w.names {
		w.boxes[name].dead = true
	}
	w.run(500 * time.Millisecond)
	order := slices.Clone(w.names)
	w.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for i, name := range order {
		b := w.boxes[name]
		w.start(name, b.self.Domain, b.self.Strength, false)
		if i%(len(order)/10+1) == 0 {
			w.run(2 * step)
		}
	}
}

// dataDelays returns, in ascending order, how long after a moment each running box received the
// published data.
func (w *simulation) dataDelays(from time.Duration) []time.Duration {
	var list []time.Duration
	for _, b := range w.boxes {
		switch {
		case b.dead:
		case b.dataKnownAt == 0:
			list = append(list, time.Hour)
		default:
			list = append(list, b.dataKnownAt-from)
		}
	}
	slices.Sort(list)
	return list
}

// BenchmarkRestartAll measures, after a restart of all boxes at once, when half of them and all
// of them hold the published data, in ms, and how many pages they requested from the publisher.
func BenchmarkRestartAll(b *testing.B) {
	for _, upstreams := range []int{345, 3000} {
		for _, boxes := range []int{30, 100, 300} {
			b.Run(fmt.Sprintf("upstreams=%d/boxes=%d", upstreams, boxes), func(b *testing.B) {
				for range b.N {
					w := startRegions(b, 1, layout{6, 3}, boxes)
					w.publishUpstreams(upstreams)
					start := w.now + 500*time.Millisecond
					w.restartAll()
					w.run(30 * time.Second)
					known := w.dataDelays(start)
					b.ReportMetric(float64(known[len(known)/2].Milliseconds()), "half-ms")
					b.ReportMetric(float64(known[len(known)-1].Milliseconds()), "all-ms")
					b.ReportMetric(float64(w.pages.calls), "pages")
				}
			})
		}
	}
}

// After a restart of all boxes, all hold the published data within 5 s, however many there are
// and whatever happens to the seeds. The publisher is asked for the list a few times and not by
// each box.
func TestDataIsKnownSoonAfterFullRestart(t *testing.T) {
	tests := []struct {
		name   string
		boxes  int
		fault  func(w *simulation)
		within time.Duration
		pages  int // pages requested from the publisher, at most
	}{
		{"300 boxes", 300, func(*simulation) {}, 3 * time.Second, 400},
		{"a third of the messages are lost", 60, func(w *simulation) { w.lossRate = 0.3 }, 5 * time.Second, 400},
		{"the seeds do not return", 60, func(w *simulation) { w.stopSeeds() }, 5 * time.Second, 600},
		{"the publisher refuses the seeds", 60, func(w *simulation) { w.refuseSeeds() }, 5 * time.Second, 400},
		{"a region is cut off", 60, func(w *simulation) {
			w.linkCut = func(a, b *wire.GroupBox) bool { return (a.Region == "region1") != (b.Region == "region1") }
		}, 5 * time.Second, 600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := startRegions(t, 3, layout{6, 3}, tt.boxes)
			w.publishUpstreams(345)
			start := w.now + 500*time.Millisecond
			w.restartAll()
			tt.fault(w)
			w.run(tt.within)
			known := w.dataDelays(start)
			t.Logf("half of the boxes after %v, all after %v, %d pages", known[len(known)/2], known[len(known)-1], w.pages.calls)
			is.Equal(w.staleBoxes(), nil)
			is.True(w.pages.calls <= tt.pages)
		})
	}
}

// After a restart of all boxes at once, some heard a leader of another domain before any box of
// their own, took over the lead of their domain, and contacted no further box. For up to 3.25 s a
// domain had two leaders, one of which knew no other box and shared upstream capacity with none.
func TestOneLeaderPerDomainAfterFullRestart(t *testing.T) {
	const within = 2 * time.Second
	for seed := range uint64(12) {
		w := startRegions(t, seed, layout{3, 1}, 60)
		w.publishUpstreams(345)
		w.restartAll()
		w.run(within)
		leaders := 0
		for _, name := range w.names {
			if w.boxes[name].node.IsLeader() {
				leaders++
			}
		}
		if leaders != 3 {
			t.Errorf("seed %d: %d boxes lead, want 3", seed, leaders)
		}
	}
}

// After 300 boxes had started at the same moment, each asked the seeds until it heard a leader, and their
// answers, which listed 48 boxes each, filled the links of the seeds. The leaders' lists to their members
// did the same. Heartbeats were seconds late, so boxes led alone and asked again, some of them for good.
func TestFullRestartDoesNotFillLinks(t *testing.T) {
	const (
		within     = 4 * time.Second
		maxQueuing = 500 * time.Millisecond
	)
	for seed := range uint64(3) {
		w := startRegions(t, seed, layout{3, 1}, 300)
		w.publishUpstreams(64)
		w.linkRate, w.datagramRate = 10e6/8, 10e6/8/4 // the rest is for other traffic
		for _, name := range w.names {
			w.boxes[name].dead = true
		}
		w.run(500 * time.Millisecond)
		for _, name := range w.names {
			b := w.boxes[name]
			w.start(name, b.self.Domain, b.self.Strength, false)
		}
		var longest time.Duration
		for end := w.now + within; w.now < end; {
			w.run(100 * time.Millisecond)
			for _, b := range w.boxes {
				longest = max(longest, b.datagramsUntil-w.now)
			}
		}
		leaders := 0
		for _, name := range w.names {
			if w.boxes[name].node.IsLeader() {
				leaders++
			}
		}
		if leaders != 3 || longest > maxQueuing {
			t.Errorf("seed %d: %d boxes lead, want 3; datagrams waited for %v", seed, leaders, longest)
		}
	}
}

// After a restart of all boxes, a box followed one that led only for a second, and then the next
// strongest it knew, which did not lead either and did not answer. The box waited until the
// timeout and then led alone. The order of a map decided whether this happened: 9 of 250 runs
// with seed 9 of the test above.
func TestMemberRedirectsToLeader(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 1, layout{1, 1}, 4)
	leader, member, lost := w.boxes[boxName(0, 0)], w.boxes[boxName(0, 1)].node, w.boxes[boxName(0, 3)]
	member.Drain()
	heartbeat := lost.node.newMessage(w.now)
	member.Handle(w.now, heartbeat)
	out, _ := member.Drain()
	is.Equal(len(out), 1)
	is.Equal(out[0].To, lost.self.Address)
	is.Equal(out[0].Message.Boxes[0].Name, leader.self.Name)
	lost.node.Handle(w.now, out[0].Message)
	back, _ := lost.node.Drain()
	is.Equal(len(back), 0) // an answer is not answered
	leader.dead = true
	w.run(850 * time.Millisecond)
	member.Drain()
	w.now += 100 * time.Millisecond
	member.Handle(w.now, heartbeat)
	out, _ = member.Drain()
	is.Equal(len(out), 0) // it does not hear the leader any more
}

func (w *simulation) stopSeeds() {
	for _, name := range w.seeds {
		w.boxes[name].dead = true
	}
}

func (w *simulation) refuseSeeds() {
	for _, name := range w.seeds {
		w.refusedBoxes[name] = true
	}
}

// A box answers as many pulls as its link can send, and refers further ones to boxes that it
// answered.
func TestBusyBoxRefersPullsToOthers(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 4, layout{2, 1}, 4)
	w.publishUpstreams(3000)
	w.restartAll()
	w.run(4 * time.Second)
	w.now += time.Second
	n := w.boxes[boxName(0, 0)].node
	n.answeredPulls = answeredPulls{}
	ask := func(pulls, domain string) *wire.MirrorResponse {
		return n.AnswerPull(w.now, &wire.MirrorRequest{Packed: true, Pulls: pulls, Domain: domain})
	}
	first := ask("a", "domain0")
	is.True(len(first.Packed) > 0)
	busy := 0
	for i := range 10 {
		r := ask(fmt.Sprint("b", i), "domain0")
		if r.BusyLeft > 0 {
			is.Equal(len(r.Packed), 0)
			busy++
		}
	}
	is.True(busy >= 7) // more than 150 KB over 1.25 MB/s
	w.now = n.answeredPulls.linkBusyUntil
	ask("c", "domain1")
	for range 2 {
		ask("d", "domain1")
	}
	r := ask("e", "domain0")
	is.True(r.BusyLeft > 0)
	is.True(slices.Contains(r.Elsewhere, "a"))
	is.True(!slices.Contains(r.Elsewhere, "c")) // of another domain
}

// At a start, and after a restart of all boxes, the complete data crosses a domain boundary a few
// times and not once per box.
func TestPullsStayWithinADomain(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 8, layout{3, 1}, 60)
	w.publishUpstreams(1000)
	w.seeds = w.seeds[:1]
	w.restartAll()
	w.crossDomainPulls = 0
	w.run(4 * time.Second)
	is.Equal(w.staleBoxes(), nil)
	t.Logf("%d pulls crossed a domain boundary, %d pages, all boxes after %v", w.crossDomainPulls, w.pages.calls, w.dataDelays(0)[59])
	is.True(w.crossDomainPulls <= 8)
}
