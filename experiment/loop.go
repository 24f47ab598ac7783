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

type timer struct {
	at    time.Duration
	order int
	do    func()
}

type timers []timer

func (q timers) Len() int { return len(q) }

func (q timers) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timers) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timers) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return t
}

func (l *loop) after(d time.Duration, do func()) {
	l.order++
	heap.Push(&l.queue, timer{l.now + d, l.order, do})
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

func (l *loop) every(d time.Duration, do func()) {
	l.after(d, func() {
		do()
		l.every(d, do)
	})
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
	for _, a := range slices.Clone(b.node.Take()) {
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

// dispatch brings a request to an engine.
func (l *loop) dispatch(b *box, a cell.Action) {
	r, e := l.requests[a.Request], l.byEngine[a.Upstream]
	b.node.Sending(l.now, a.Request)
	l.send(r, e, a.Tokens)
}

// send starts a run of a request on an engine.
func (l *loop) send(r *request, e *engine, from int) {
	r.engine = e
	r.job = &job{req: r, tier: l.spec.Classes[r.arrival.class].Tier, from: from, total: r.arrival.tokens}
	if e.broken {
		l.fail(r)
		return
	}
	if e.accept(l.now, r.job) {
		l.started(e, r.job)
	}
}

// started files the first token and the end of a job that got a slot.
func (l *loop) started(e *engine, j *job) {
	r := j.req
	l.after(j.prefill+e.pace, func() {
		if j.over {
			return
		}
		if r.first == 0 {
			r.first = l.now - settle - r.arrival.at
		}
		if r.box.node != nil {
			l.tell(r.box, func(n *cell.Node) { n.FirstToken(l.now, r.id) })
		}
	})
	l.after(j.lasts(e.pace), func() {
		if !j.over {
			l.finished(r, e, j)
		}
	})
}

func (l *loop) finished(r *request, e *engine, j *job) {
	l.replace(e, e.end(l.now, j, false))
	r.job = nil
	r.answered, r.ended = true, l.now
	l.close(r)
	if r.box.node != nil {
		l.tell(r.box, func(n *cell.Node) {
			n.Finished(l.now, r.id, cell.Result{Outcome: decide.Answered, Ran: true, Tokens: j.total, Pace: e.pace, First: j.prefill + e.pace})
		})
	}
}

func (l *loop) replace(e *engine, next *job) {
	if next != nil {
		l.started(e, next)
	}
}

// stop cancels or pauses a run for a node.
func (l *loop) stop(b *box, a cell.Action) {
	r := l.requests[a.Request]
	if r == nil || r.job == nil {
		return
	}
	outcome := decide.Abandoned
	if a.Kind == cell.PauseRun {
		outcome = decide.Paused
	}
	tokens := l.endJob(r, outcome == decide.Abandoned)
	l.after(0, func() {
		l.tell(b, func(n *cell.Node) {
			n.Finished(l.now, a.Request, cell.Result{Outcome: outcome, Ran: true, Tokens: tokens})
		})
	})
}

// endJob takes a request off its engine and returns its tokens so far.
func (l *loop) endJob(r *request, wasted bool) int {
	e, j := r.engine, r.job
	r.job = nil
	tokens := j.tokens(l.now, e.pace)
	l.replace(e, e.end(l.now, j, wasted))
	return tokens
}

// fail tells a node that a run broke.
func (l *loop) fail(r *request) {
	tokens := r.job.from
	if r.job.running {
		tokens = r.job.tokens(l.now, r.engine.pace)
	}
	ran := r.job.running
	r.job = nil
	if r.box.node == nil {
		l.refused(r)
		return
	}
	l.after(0, func() {
		l.tell(r.box, func(n *cell.Node) {
			n.Finished(l.now, r.id, cell.Result{Outcome: decide.Failed, Ran: ran, Tokens: tokens})
		})
	})
}

func (l *loop) breakEngine(e *engine) {
	e.broken = true
	for _, r := range l.all {
		if r.engine == e && r.job != nil && !r.job.over {
			e.end(l.now, r.job, true)
			l.fail(r)
		}
	}
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

// sendAtOnce is the baselines without coordination: a request goes to an engine
// of its domain as it arrives, and waits there.
func (l *loop) sendAtOnce(r *request) {
	var best *engine
	least := 0
	for i := range l.engines {
		e := l.engines[(r.box.next+i)%len(l.engines)]
		if e.domain != r.box.domain || e.broken {
			continue
		}
		load := 0
		if l.policy == LeastLoad && len(e.samples) > 0 {
			s := e.reportAt(l.now, l.lag)
			load = s.running + s.waiting + r.box.sent[e.name]
		}
		if best == nil || load < least {
			best, least = e, load
		}
	}
	r.box.next++
	if l.policy == FIFO {
		for i, e := range l.engines {
			if e == best {
				r.box.next = i + 1
			}
		}
	}
	r.box.sent[best.name]++
	l.send(r, best, 0)
}
