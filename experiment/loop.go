package experiment

// This file defines the event loop of a simulation: one run of one policy on one trace of
// arrivals. The clock is virtual; only the processor time of a node is real time.

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
	// settle is how long boxes run before the first arrival, to form their domains.
	settle = 3 * time.Second
	// drain is the maximum time that a run continues after the last arrival.
	drain = 10 * time.Minute
)

// request is one request and its outcome.
type request struct {
	id         uint64 // a new one for each try
	arrival    *arrival
	box        *box
	tries      int           // retries after a refusal
	firstToken time.Duration // from arrival to the first token; 0 if there is none yet
	answered   bool
	answeredAt time.Duration // when the answer was complete
	slotTime   time.Duration // over all of its runs
	refused    bool
	abandoned  bool    // by the caller, before the first token
	done       bool    // answered, refused or abandoned
	job        *job    // the current run, or nil
	engine     *engine // of the last run
}

// box is one simulated box.
type box struct {
	name       string
	domain     int
	node       *cell.Node // nil for policies without coordination
	nextEngine int        // for policies that take the engines in turn
	frozen     bool
	deferred   []func(n *cell.Node)      // inputs of the node while the box is frozen
	sent       map[string]int            // requests since the last report, by engine
	bytes      int                       // sent
	messages   int                       // sent
	datagrams  int                       // sent
	cpuTime    time.Duration             // time spent in the node and the codec
	codec      *control.Codec            // set where the cost of datagrams is measured
	outbox     map[string][]cell.Message // messages not sent yet, by box
}

// loop is the state of a run.
type loop struct {
	spec         *Spec
	scenario     *Scenario
	policy       string
	now          time.Duration
	queue        timers
	order        int // of the last timer added
	boxes        []*box
	byName       map[string]*box
	engines      []*engine
	byEngine     map[string]*engine
	requests     map[uint64]*request // by ID
	all          []*request
	unfinished   int // requests, those that have not arrived yet included
	events       []timeline.Event
	lastID       uint64
	lag          time.Duration // age of engine reports
	delay        time.Duration // of a message, one way
	steps        int           // timers run
	loss         float64       // share of datagrams that are dropped
	random       *rand.Rand
	initialTable *table.Table
	platform     *table.Table // a newer table that the platform has published, or nil
}

// run runs one policy on one trace.
func run(s *Spec, sc *Scenario, policy string, trace []arrival, seed uint64) *loop {
	l := newLoop(s, sc, policy, seed)
	l.prepare(trace)
	l.runUntil(settle + s.Duration.Std() + drain)
	return l
}

// runUntil runs due timers until end, or until no request is unfinished once the
// arrivals are over.
func (l *loop) runUntil(end time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= end {
		t := heap.Pop(&l.queue).(timer)
		if l.unfinished == 0 && t.at > settle+l.spec.Duration.Std() {
			return
		}
		l.now = t.at
		l.steps++
		t.run()
	}
}

// tick runs the node's periodic work, unless the box is frozen.
func (l *loop) tick(b *box) {
	if b.frozen {
		return
	}
	l.call(b, func(n *cell.Node) { n.Tick(l.now, l.now) })
}

// call passes an input to a box's node, adds the time that it takes to the box's
// cpuTime, and performs the resulting actions. While the box is frozen, the input is
// deferred.
func (l *loop) call(b *box, f func(n *cell.Node)) {
	if b.frozen {
		b.deferred = append(b.deferred, f)
		return
	}
	start := time.Now()
	f(b.node)
	b.cpuTime += time.Since(start)
	l.perform(b)
}

// prepare schedules the arrivals and the events of the scenario.
func (l *loop) prepare(trace []arrival) {
	for i := range trace {
		a := &trace[i]
		l.unfinished++
		l.after(settle+a.at, func() { l.arrive(a) })
	}
	from, to := settle+l.scenario.From.Std(), settle+l.scenario.To.Std()
	if l.scenario.Freeze && l.policy != Bound {
		l.after(from, func() { l.boxes[0].frozen = true })
		l.after(to, func() { l.unfreeze(l.boxes[0]) })
	}
	if l.scenario.Down {
		l.after(from, func() {
			for i := range (len(l.engines) + 9) / 10 {
				l.breakEngine(l.engines[i*10%len(l.engines)])
			}
		})
	}
}

// unfreeze resumes a frozen box and passes it the deferred inputs in their order.
func (l *loop) unfreeze(b *box) {
	b.frozen = false
	deferred := b.deferred
	b.deferred = nil
	for _, f := range deferred {
		l.call(b, f)
	}
}

// arrive submits a request of the trace and schedules the end of its caller's patience.
func (l *loop) arrive(a *arrival) {
	r := &request{arrival: a, box: l.boxes[a.box%len(l.boxes)]}
	l.all = append(l.all, r)
	l.submit(r)
	c := &l.spec.Classes[a.class]
	if c.Patience > 0 {
		l.after(time.Duration(c.Patience*float64(c.FirstToken)), func() { l.abandon(r) })
	}
}

// submit passes a request to its box under a new ID, on arrival or as a retry.
func (l *loop) submit(r *request) {
	l.lastID++
	r.id = decide.RequestID(r.box.name, 1, l.lastID)
	l.requests[r.id] = r
	if r.box.node == nil {
		l.sendAtOnce(r)
		return
	}
	c := &l.spec.Classes[r.arrival.class]
	l.call(r.box, func(n *cell.Node) {
		n.Arrive(l.now, cell.Request{ID: r.id, Class: c.Name, Customer: fmt.Sprintf("c%d", r.arrival.customer),
			Prefix: r.arrival.prefix, Repeatable: true, Resumable: true})
	})
}

// abandon ends a request whose caller disconnects because it has received no token.
func (l *loop) abandon(r *request) {
	if r.done || r.firstToken > 0 {
		return
	}
	r.abandoned = true
	l.close(r)
	if r.box.node != nil {
		l.call(r.box, func(n *cell.Node) { n.CallerLeft(l.now, r.id) })
	} else if r.job != nil {
		l.endJob(r, true)
	}
}

// close marks a request as done.
func (l *loop) close(r *request) {
	if !r.done {
		r.done = true
		l.unfinished--
	}
}

// perform executes the actions that a box's node has requested.
func (l *loop) perform(b *box) {
	for _, a := range slices.Clone(b.node.TakeActions()) {
		switch a.Kind {
		case cell.SendMessage:
			b.outbox[a.To] = append(b.outbox[a.To], a.Message)
		case cell.Dispatch:
			l.dispatch(b, a)
		case cell.CancelRun, cell.PauseRun:
			l.stop(b, a)
		case cell.End:
			l.refuse(l.requests[a.Request])
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

// refuse tells the caller that its request is refused. The caller retries 10 ms later
// as often as the scenario says; then the request is done.
func (l *loop) refuse(r *request) {
	if r == nil || r.done {
		return
	}
	if r.tries < l.scenario.Retries {
		r.tries++
		l.after(10*time.Millisecond, func() {
			if !r.done {
				l.submit(r)
			}
		})
		return
	}
	r.refused = true
	l.close(r)
}

// sendReports samples the engines' loads and passes reports of the configured age to the
// nodes that watch an engine.
func (l *loop) sendReports() {
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
			l.call(b, func(n *cell.Node) {
				n.Report(l.now, decide.Report{Upstream: name, Age: l.now - s.at, Running: s.running, Waiting: s.waiting, Prefixes: slices.Clone(e.newPrefixes)})
			})
		}
	}
	for _, e := range l.engines {
		e.newPrefixes = e.newPrefixes[:0]
	}
}
