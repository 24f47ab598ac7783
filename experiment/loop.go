package experiment

// This file defines the loop: one run of one policy on one trace.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/control"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

const (
	tickEvery   = 50 * time.Millisecond
	reportEvery = 250 * time.Millisecond
	// settle is how long boxes run before the first arrival.
	settle = 3 * time.Second
	// drain is how long the run goes on at most after the last arrival.
	drain = 10 * time.Minute
)

// request is one request and what became of it.
type request struct {
	id       uint64
	arrival  *arrival
	box      *box
	tries    int
	first    time.Duration // the first token, from arrival; 0 is none yet
	answered bool
	ended    time.Duration // when the answer was whole
	busy     time.Duration // of slots
	refused  bool
	left     bool
	done     bool
	job      *job
	engine   *engine
}

// box is one box of a run.
type box struct {
	name   string
	domain int
	node   *cell.Node // nil for policies that send at once
	next   int        // engine in turn
	frozen bool
	held   []func(n *cell.Node) // what happens to a frozen box happens when it wakes
	sent   map[string]int       // since the last report, by engine
	bytes  int
	count  int            // messages
	grams  int            // datagrams
	spent  time.Duration  // processor time of the node and of its datagrams
	codec  *control.Codec // set where the cost of datagrams is measured
	to     map[string][]cell.Message
}

// loop is a run.
type loop struct {
	spec     *Spec
	scenario *Scenario
	policy   string
	now      time.Duration
	queue    timers
	order    int
	boxes    []*box
	byName   map[string]*box
	engines  []*engine
	byEngine map[string]*engine
	requests map[uint64]*request
	all      []*request
	open     int
	events   []timeline.Event
	ids      uint64
	lag      time.Duration
	delay    time.Duration
	steps    int
	loss     float64 // share of datagrams
	random   *rand.Rand
	first    *table.Table
	platform *table.Table // a newer table that the platform has published
}

// run runs one policy on one trace.
func run(s *Spec, sc *Scenario, policy string, trace []arrival, seed uint64) *loop {
	l := newLoop(s, sc, policy, seed)
	l.prepare(trace)
	l.loop(settle + s.Duration.Std() + drain)
	return l
}

// loop lets the run go on until the time end, or until all requests have ended
// after the last arrival.
func (l *loop) loop(end time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= end {
		t := heap.Pop(&l.queue).(timer)
		if l.open == 0 && t.at > settle+l.spec.Duration.Std() {
			return
		}
		l.now = t.at
		l.steps++
		t.do()
	}
}

func (l *loop) tick(b *box) {
	if b.frozen {
		return
	}
	l.tell(b, func(n *cell.Node) { n.Tick(l.now, l.now) })
}

// tell tells a node something, does what it wants done, and adds the time that
// the node took to its box's account.
func (l *loop) tell(b *box, f func(n *cell.Node)) {
	if b.frozen {
		b.held = append(b.held, f)
		return
	}
	start := time.Now()
	f(b.node)
	b.spent += time.Since(start)
	l.perform(b)
}

// prepare files the arrivals and what happens in the scenario.
func (l *loop) prepare(trace []arrival) {
	for i := range trace {
		a := &trace[i]
		l.open++
		l.after(settle+a.at, func() { l.arrive(a) })
	}
	from, to := settle+l.scenario.From.Std(), settle+l.scenario.To.Std()
	if l.scenario.Freeze && l.policy != Bound {
		l.after(from, func() { l.boxes[0].frozen = true })
		l.after(to, func() { l.thaw(l.boxes[0]) })
	}
	if l.scenario.Down {
		l.after(from, func() {
			for i := range (len(l.engines) + 9) / 10 {
				l.breakEngine(l.engines[i*10%len(l.engines)])
			}
		})
	}
}

// thaw lets a frozen box go on, with all that has come meanwhile.
func (l *loop) thaw(b *box) {
	b.frozen = false
	held := b.held
	b.held = nil
	for _, f := range held {
		l.tell(b, f)
	}
}

func (l *loop) arrive(a *arrival) {
	r := &request{arrival: a, box: l.boxes[a.box%len(l.boxes)]}
	l.all = append(l.all, r)
	l.enter(r)
	c := &l.spec.Classes[a.class]
	if c.Patience > 0 {
		l.after(time.Duration(c.Patience*float64(c.FirstToken)), func() { l.giveUp(r) })
	}
}

// enter brings a request to its box, at first or again.
func (l *loop) enter(r *request) {
	l.ids++
	r.id = decide.RequestID(r.box.name, 1, l.ids)
	l.requests[r.id] = r
	if r.box.node == nil {
		l.sendAtOnce(r)
		return
	}
	c := &l.spec.Classes[r.arrival.class]
	l.tell(r.box, func(n *cell.Node) {
		n.Arrive(l.now, cell.Request{ID: r.id, Class: c.Name, Customer: fmt.Sprintf("c%d", r.arrival.customer),
			Prefix: r.arrival.prefix, Repeatable: true, Resumable: true})
	})
}

// giveUp is a caller that leaves without having seen a token.
func (l *loop) giveUp(r *request) {
	if r.done || r.first > 0 {
		return
	}
	r.left = true
	l.close(r)
	if r.box.node != nil {
		l.tell(r.box, func(n *cell.Node) { n.CallerLeft(l.now, r.id) })
	} else if r.job != nil {
		l.endJob(r, true)
	}
}

func (l *loop) close(r *request) {
	if !r.done {
		r.done = true
		l.open--
	}
}

// perform does what a node wants done.
func (l *loop) perform(b *box) {
	for _, a := range slices.Clone(b.node.TakeActions()) {
		switch a.Kind {
		case cell.SendMessage:
			b.to[a.To] = append(b.to[a.To], a.Message)
		case cell.Dispatch:
			l.dispatch(b, a)
		case cell.CancelRun, cell.PauseRun:
			l.stop(b, a)
		case cell.End:
			l.refused(l.requests[a.Request])
		case cell.PullFrom:
			l.pull(b, l.byName[a.To])
		case cell.ReadPlatform:
			l.read(b)
		case cell.Record:
			e := a.Event
			e.Wall, e.Logical = int64(l.now), len(l.events)
			l.events = append(l.events, e)
		}
	}
	l.sendAll(b)
}

// refused is the final answer to a caller, who may come back at once.
func (l *loop) refused(r *request) {
	if r == nil || r.done {
		return
	}
	if r.tries < l.scenario.Retries {
		r.tries++
		l.after(10*time.Millisecond, func() {
			if !r.done {
				l.enter(r)
			}
		})
		return
	}
	r.refused = true
	l.close(r)
}

// reports brings the engines' reports to the boxes that want them.
func (l *loop) reports() {
	for _, e := range l.engines {
		e.observe(l.now)
	}
	for _, b := range l.boxes {
		clear(b.sent)
		if b.node == nil || b.frozen {
			continue
		}
		for _, name := range b.node.Watched() {
			e := l.byEngine[name]
			s := e.reportAt(l.now, l.lag)
			l.tell(b, func(n *cell.Node) {
				n.Report(l.now, decide.Report{Upstream: name, Age: l.now - s.at, Running: s.running, Waiting: s.waiting, Prefixes: slices.Clone(e.news)})
			})
		}
	}
	for _, e := range l.engines {
		e.news = e.news[:0]
	}
}
