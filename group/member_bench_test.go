package group

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// BenchmarkMember tells what a member and a lead of a domain of 117 boxes do ten times a second, part by part.
func BenchmarkMember(b *testing.B) {
	l := layout{5, 1}
	t := newTraffic(across(b, 1, l, 585), l)
	t.perSecond, t.upstreams, t.home, t.partsShare = 1, 5850, 0.2, 1
	t.pass(2 * time.Second)
	for _, name := range []string{boxName(0, 50), boxName(0, 0)} {
		n := t.boxes[name].node
		b.Logf("%s leads %v peers %d others %d", name, n.IsLeader(), len(n.peers), len(n.others))
		run := func(what string, f func()) {
			b.Run(name+"/"+what, func(b *testing.B) {
				for b.Loop() {
					f()
				}
			})
		}
		run("sharers", func() { n.Sharers(t.now) })
		run("classes", func() { n.Classes(t.now) })
		run("reads", func() { n.ShouldRead(t.now) })
		run("watch", func() { n.WatchTimeout(t.now) })
		run("lanes", func() { n.Lanes(t.now) })
		run("informed", func() { n.KnowsOtherLoads(t.now) })
		run("confirmed", func() { n.ConfirmedAt() })
		run("tick", func() { t.now += 100 * time.Millisecond; n.confirmed = t.now; n.Tick(t.now); n.Drain() })
		run("flush", func() { n.FlushLoads(t.now) })
	}
}

// BenchmarkHails tells what a seed takes to answer a box that asks who is there, and how long its answer is.
func BenchmarkHails(b *testing.B) {
	l := layout{5, 1}
	w := across(b, 1, l, 585)
	n := w.boxes[w.seeds[0]].node
	i := 0
	bytes, msgs := 0, 0
	for b.Loop() {
		o := w.boxes[w.names[i%len(w.names)]]
		i++
		if o.node == n {
			continue
		}
		m := o.node.message(w.now)
		m.Hello = true
		n.Handle(w.now, m)
		out, _ := n.Drain()
		for _, x := range out {
			bytes += proto.Size(x.Message)
			msgs++
		}
	}
	b.ReportMetric(float64(bytes)/float64(i), "B/hail")
	b.ReportMetric(float64(msgs)/float64(i), "msg/hail")
	b.ReportMetric(float64(len(n.peers)), "peers")
}
