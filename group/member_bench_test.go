package group

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// BenchmarkMember measures the periodic work of a member and of a leader in a domain of 117
// boxes, step by step.
func BenchmarkMember(b *testing.B) {
	l := layout{5, 1}
	t := newWorkload(startRegions(b, 1, l, 585), l)
	t.perSecond, t.upstreams, t.localShare, t.newPartShare = 1, 5850, 0.2, 1
	t.advance(2 * time.Second)
	for _, name := range []string{boxName(0, 50), boxName(0, 0)} {
		n := t.boxes[name].node
		b.Logf("%s leader=%v peers=%d otherLoads=%d", name, n.IsLeader(), len(n.peers), len(n.otherLoads))
		run := func(what string, f func()) {
			b.Run(name+"/"+what, func(b *testing.B) {
				for b.Loop() {
					f()
				}
			})
		}
		run("quota-peers", func() { n.QuotaPeers(t.now) })
		run("classes", func() { n.Classes(t.now) })
		run("should-read", func() { n.ShouldRead(t.now) })
		run("watch-timeout", func() { n.WatchTimeout(t.now) })
		run("lanes", func() { n.Lanes(t.now) })
		run("knows-other-loads", func() { n.KnowsOtherLoads(t.now) })
		run("confirmed-at", func() { n.ConfirmedAt() })
		run("tick", func() { t.now += 100 * time.Millisecond; n.confirmedAt = t.now; n.Tick(t.now); n.Drain() })
		run("flush", func() { n.FlushLoads(t.now) })
	}
}

// BenchmarkHello measures the time a seed takes to answer a hello, and the size of its answer.
func BenchmarkHello(b *testing.B) {
	l := layout{5, 1}
	w := startRegions(b, 1, l, 585)
	n := w.boxes[w.seeds[0]].node
	i := 0
	bytes, msgs := 0, 0
	for b.Loop() {
		o := w.boxes[w.names[i%len(w.names)]]
		i++
		if o.node == n {
			continue
		}
		m := o.node.newMessage(w.now)
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
