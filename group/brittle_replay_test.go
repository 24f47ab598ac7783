package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// brittleUpstream is an upstream that falls over if it rejects more than a number of requests in a
// second.
type brittleUpstream struct {
	balance.Upstream
	running  int
	room     int // requests that it holds
	rejected []time.Duration
	downTill time.Duration
	falls    int
}

// reject rejects a request, and falls over if these are too many.
func (u *brittleUpstream) reject(now time.Duration, rejects int) {
	u.rejected = slices.DeleteFunc(append(u.rejected, now), func(at time.Duration) bool { return now-at >= time.Second })
	if len(u.rejected) > rejects {
		u.rejected, u.running = nil, 0
		u.falls++
		u.downTill = now + 3*time.Second
	}
}

// brittleReplayConfig configures a brittleReplay.
type brittleReplayConfig struct {
	seed             uint64
	boxes, upstreams int
	slots, waiting   int // of an upstream
	rejects          int
	serviceTime      time.Duration
	overload         float64 // requests, relative to what the upstreams can serve
	off              balance.Off
}

// brittleReplay replays requests at boxes before brittle upstreams, on a virtual clock.
type brittleReplay struct {
	cfg         brittleReplayConfig
	sim         *simulation
	upstreams   []*brittleUpstream
	fleets      map[string]*balance.Fleet
	events      map[time.Duration][]func() // by step
	nextArrival time.Duration
	served      int
	arrivals    int
}

func newBrittleReplay(t testing.TB, cfg brittleReplayConfig) *brittleReplay {
	w := newSimulation(t, cfg.seed)
	w.seeds = []string{"b0", "b1", "b2"}
	d := &brittleReplay{cfg: cfg, sim: w, fleets: make(map[string]*balance.Fleet), events: make(map[time.Duration][]func())}
	for i := range cfg.upstreams {
		d.upstreams = append(d.upstreams, &brittleUpstream{room: cfg.slots + cfg.waiting, Upstream: balance.Upstream{ID: fmt.Sprint("u", i), Service: "s",
			Address: fmt.Sprint("10.0.0.", i, ":1"), Domain: fmt.Sprint("d", i%3), Slots: cfg.slots}})
	}
	for i := range cfg.boxes {
		name, domain := fmt.Sprint("b", i), fmt.Sprint("d", i%3)
		w.start(name, domain, uint32(cfg.boxes-i), true)
		f := balance.NewFleet(balance.Config{Domain: domain, Regions: map[string]string{"d0": "r", "d1": "r", "d2": "r"}, Tuning: balance.DefaultTuning, Off: cfg.off})
		for _, u := range d.upstreams {
			f.Put(0, u.Upstream)
		}
		d.fleets[name] = f
	}
	for range 10 * time.Second / step {
		w.run(step)
		d.sync()
	}
	d.nextArrival = w.now
	return d
}

// run replays requests for a while.
func (d *brittleReplay) run(span time.Duration) {
	capacity := float64(d.cfg.upstreams*d.cfg.slots) / d.cfg.serviceTime.Seconds()
	gap := time.Duration(float64(time.Second) / (capacity * d.cfg.overload))
	for end := d.sim.now + span; d.sim.now < end; {
		d.sim.run(step)
		d.sync()
		for _, do := range d.events[d.sim.now] {
			do()
		}
		delete(d.events, d.sim.now)
		for ; d.sim.now >= d.nextArrival; d.nextArrival += gap {
			d.arrive()
		}
	}
}

// after runs do after a while.
func (d *brittleReplay) after(span time.Duration, do func()) {
	at := d.sim.now + max(span/step, 1)*step
	d.events[at] = append(d.events[at], do)
}

// sync exchanges loads and reports between the boxes' fleets and nodes, as a box does.
func (d *brittleReplay) sync() {
	now := d.sim.now
	for i, name := range d.sim.names {
		b, f := d.sim.boxes[name], d.fleets[name]
		b.node.SetLoads(f.Loads())
		if (int(now/step)+i)%stepsPerTick == 0 {
			f.SetQuotaPeers(b.node.QuotaPeers(now))
			f.SetBoxes(b.node.BoxCount(), true)
			if f.NeedsRemoteLoads() {
				f.SetRemoteLoads(b.node.OtherLoads())
			}
		}
		b.node.FlushLoads(now)
		if changes := b.node.DrainLoadChanges(); len(changes) > 0 {
			f.UpdateRemoteLoads(changes)
		}
		f.MergeReachReports(now, b.node.DrainReachReports())
		b.node.AnnounceReachReports(now, f.TakeReachReports(now))
		b.node.FlushReachReports(now)
		d.sim.sendOutgoing(b)
	}
}

// arrive places a request at a random box.
func (d *brittleReplay) arrive() {
	d.arrivals++
	f, now := d.fleets[d.sim.names[d.sim.random.IntN(len(d.sim.names))]], d.sim.now
	r := balance.Request{Service: "s"}
	choice, ok := f.Place(now, r, nil)
	if !ok {
		return
	}
	ticket := f.Open(now, choice.Upstream.ID, r)
	u := d.upstreams[slices.IndexFunc(d.upstreams, func(u *brittleUpstream) bool { return u.ID == choice.Upstream.ID })]
	answer := func(o balance.Outcome) {
		f.NoteBrittle(d.sim.now, u.Incarnation(), balance.BrittleStatement{Stated: true, Rejects: d.cfg.rejects, Sent: now})
		ticket.Close(d.sim.now, o)
	}
	d.after(5*time.Millisecond, func() {
		switch at := d.sim.now; {
		case at < u.downTill:
			ticket.Close(at, balance.Failed)
		case u.running >= u.room:
			u.reject(at, d.cfg.rejects)
			d.after(5*time.Millisecond, func() { answer(balance.Full) })
		default:
			u.running++
			falls := u.falls
			runs := time.Duration(float64(d.cfg.serviceTime) * (0.5 + d.sim.random.Float64()))
			d.after(runs, func() {
				if u.falls != falls {
					ticket.Close(d.sim.now, balance.Failed)
					return
				}
				u.running--
				d.served++
				answer(balance.Answered)
			})
		}
	})
}

func (d *brittleReplay) falls() int {
	n := 0
	for _, u := range d.upstreams {
		n += u.falls
	}
	return n
}

// Upstreams that state how many requests they may reject in a second fell over again and again under
// more load than they can serve.
func TestBrittleUpstreamsDoNotFallOver(t *testing.T) {
	for _, test := range []struct {
		name string
		cfg  brittleReplayConfig
	}{
		{"8 boxes, plain service", brittleReplayConfig{boxes: 8, upstreams: 4, slots: 6, rejects: 4, serviceTime: 30 * time.Millisecond}},
		{"8 boxes, engines", brittleReplayConfig{boxes: 8, upstreams: 9, slots: 64, waiting: 4, rejects: 6, serviceTime: time.Second}},
		{"85 boxes, engines", brittleReplayConfig{boxes: 85, upstreams: 48, slots: 64, waiting: 4, rejects: 6, serviceTime: time.Second}},
		{"300 boxes, engines", brittleReplayConfig{boxes: 300, upstreams: 96, slots: 64, waiting: 4, rejects: 6, serviceTime: time.Second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.cfg.seed, test.cfg.overload = 1, 0.5
			d := newBrittleReplay(t, test.cfg)
			d.run(3 * time.Second) // all boxes learn it
			d.cfg.overload, d.served, d.arrivals = 1.5, 0, 0
			d.run(8 * time.Second)
			t.Logf("%d falls of %d upstreams, %d of %d served", d.falls(), test.cfg.upstreams, d.served, d.arrivals)
			is.True(d.falls() <= 2+test.cfg.upstreams/10)
		})
	}
}

// The same load makes them fall over where boxes do not heed what they state: the replay can fail.
func TestBrittleUpstreamsFallOverIfNotHeeded(t *testing.T) {
	is := is.New(t)
	d := newBrittleReplay(t, brittleReplayConfig{seed: 1, boxes: 8, upstreams: 9, slots: 64, waiting: 4, rejects: 6, serviceTime: time.Second,
		overload: 1.5, off: balance.Off{balance.Limits: true}})
	d.run(8 * time.Second)
	is.True(d.falls() > 2)
}
