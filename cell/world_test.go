package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// world joins real nodes by a fake network on a virtual clock. It loses, delays,
// repeats and cuts what they say, pauses and crashes them, and runs their
// requests on fake upstreams that count executions.
type world struct {
	t            testing.TB
	now          time.Duration
	random       *rand.Rand
	queue        events
	order        int
	boxes        map[string]*testBox
	names        []string
	table        *table.Table
	roster       Roster
	down         bool            // the platform
	blind        map[string]bool // domains that are cut off from the platform
	old          *table.Table
	loss         float64
	repeat       float64
	delay        time.Duration // most
	cut          map[[2]string]bool
	engines      map[string]*testEngine
	line         []timeline.Event
	finals       map[uint64]Final
	ends         map[uint64]int
	executed     map[string]int // by idempotency key
	answered     int
	unfenced     Unfenced
	slow         time.Duration // between a dispatch and its first byte
	calls        int           // of the platform
	requests     uint64
	enginesEnded int
}

// testBox is one box of a world, over its incarnations.
type testBox struct {
	name, domain string
	node         *Node
	boot         uint64
	paused       bool
	dead         bool
	skew         time.Duration // of the wall clock
	held         []func()      // what happens to a paused box happens when it wakes
	runs         map[uint64]*testRun
}

type testRun struct {
	engine  *testEngine
	tokens  int
	total   int
	started bool
	over    bool
}

type testEngine struct {
	name    string
	slots   int
	running int
	most    int
	dead    bool
	leaving bool
	pace    time.Duration
	starts  int
	ended   bool // it is dead, and nobody listens at its address
	// announces says that it says in its answers that it is leaving, and serves on.
	announces bool
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const testTick = 50 * time.Millisecond

// newWorld makes domains with the given numbers of boxes, and engines of four
// slots for each.
func newWorld(t testing.TB, seed uint64, domains, boxes, engines int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 7)), boxes: make(map[string]*testBox), cut: make(map[[2]string]bool), blind: make(map[string]bool),
		engines: make(map[string]*testEngine), finals: make(map[uint64]Final), ends: make(map[uint64]int),
		executed: make(map[string]int), delay: 2 * time.Millisecond, slow: time.Millisecond}
	w.table = testTable()
	w.roster.Revision = 1
	for d := range domains {
		domain := fmt.Sprintf("d%d", d)
		for i := range engines {
			w.addEngine(fmt.Sprintf("e%d.%d", d, i), domain, "chat", table.Engine)
		}
		w.addEngine("p"+domain, domain, "pay", table.Plain)
		for i := range boxes {
			name := fmt.Sprintf("b%d.%d", d, i)
			w.roster.Boxes = append(w.roster.Boxes, BoxEntry{Name: name, Domain: domain})
			w.boxes[name] = &testBox{name: name, domain: domain}
			w.names = append(w.names, name)
		}
	}
	w.table = w.table.WithRevision(1)
	return w
}

func (w *world) addEngine(name, domain, set string, kind table.Kind) {
	w.engines[name] = &testEngine{name: name, slots: 4, pace: 10 * time.Millisecond}
	w.table.Upstreams = append(w.table.Upstreams, table.Upstream{Name: name, Domain: domain, Address: "127.0.0.1:1", Kind: kind, Set: set, Slots: 4})
}

func testTable() *table.Table {
	s := func(n float64) jsonc.Duration { return jsonc.Duration(n * float64(time.Second)) }
	return &table.Table{Classes: []table.Class{
		{Name: "review", Tier: 1, FirstToken: s(20), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Wait, Set: "chat", Scope: table.ScopeDomain},
		{Name: "letter", Tier: 2, FirstToken: s(5), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Refuse, Set: "chat", Scope: table.ScopeDomain},
		{Name: "question", Tier: 3, FirstToken: s(3), Weight: 1, Floor: 0.05, Repeatable: true, OnLate: table.Refuse, Set: "chat", Scope: table.ScopeDomain},
		{Name: "pay", Tier: 1, FirstToken: s(10), Weight: 1, Floor: 0.1, OnLate: table.Wait, Set: "pay", Scope: table.ScopeDomain},
	}, Customers: []table.Customer{{Name: "acme", DefaultClass: "question", Scope: table.ScopeDomain}},
		Sets: []table.Set{{Name: "chat", Queue: 40}, {Name: "pay", Queue: 40}}}
}

// startAll starts every box.
func (w *world) startAll() {
	for _, name := range w.names {
		w.startBox(name)
	}
}

// startBox starts a new incarnation of a box.
func (w *world) startBox(name string) {
	b := w.boxes[name]
	b.boot++
	b.dead, b.paused, b.held = false, false, nil
	b.runs = make(map[uint64]*testRun)
	b.node = NewNode(Config{Box: name, Domain: b.domain, Boot: b.boot, Seed: w.random.Uint64(), Timing: DefaultTiming(),
		Peers: w.peersOf(name), Unfenced: w.unfenced})
	boot := b.boot
	w.after(time.Duration(w.random.Int64N(int64(testTick))), func() { w.tick(b, boot) })
	w.after(testReport, func() { w.report(b, boot) })
}

const (
	testReport = 250 * time.Millisecond
	reportLag  = 200 * time.Millisecond
)

// report brings the engines' loads to a box that owns them, as they were a while
// ago.
func (w *world) report(b *testBox, boot uint64) {
	if b.boot != boot || b.dead {
		return
	}
	for _, name := range b.node.Watched() {
		r := decide.Report{Upstream: name, Age: reportLag, Running: w.engines[name].running, Leaving: w.engines[name].leaving}
		w.after(reportLag, func() { w.on(b, boot, func() { b.node.Report(w.now, r) }) })
	}
	w.after(testReport, func() { w.report(b, boot) })
}

func (w *world) peersOf(name string) []BoxEntry {
	var out []BoxEntry
	for _, other := range w.names {
		if other != name {
			out = append(out, BoxEntry{Name: other, Domain: w.boxes[other].domain})
		}
	}
	return out
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

// on does something on a box, when it is awake and still the same incarnation.
func (w *world) on(b *testBox, boot uint64, do func()) {
	switch {
	case b.dead || b.boot != boot:
	case b.paused:
		b.held = append(b.held, func() { w.on(b, boot, do) })
	default:
		do()
		w.perform(b)
	}
}

func (w *world) tick(b *testBox, boot uint64) {
	if b.boot != boot || b.dead {
		return
	}
	if !b.paused {
		b.node.Tick(w.now, w.wall(b))
		w.perform(b)
	}
	w.after(testTick, func() { w.tick(b, boot) })
}

const epoch = 1_800_000_000 * time.Second

func (w *world) wall(b *testBox) time.Duration { return epoch + w.now + b.skew }

// run lets the world go on for a while.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// runUntil lets the world go on until ok, or fails.
func (w *world) runUntil(what string, limit time.Duration, ok func() bool) {
	w.t.Helper()
	for end := w.now + limit; !ok(); w.run(testTick) {
		if w.now > end {
			w.t.Fatalf("in vain for %s in %v", what, limit)
		}
	}
}

func (w *world) pause(name string) { w.boxes[name].paused = true }

// wake lets a paused box go on. Like a process that was stopped, it may handle
// what has come before its timer shows the gap.
func (w *world) wake(name string) {
	b := w.boxes[name]
	b.paused = false
	held := b.held
	b.held = nil
	for _, do := range held {
		do()
	}
}

func (w *world) crash(name string) {
	b := w.boxes[name]
	b.dead = true
	for _, r := range b.runs {
		w.endRun(r)
	}
}

// setCut cuts or heals the way from a to b, in that direction only.
func (w *world) setCut(a, b string, on bool) { w.cut[[2]string{a, b}] = on }

func (w *world) cutBoth(a, b string, on bool) {
	w.setCut(a, b, on)
	w.setCut(b, a, on)
}

func (w *world) perform(b *testBox) {
	for _, a := range slices.Clone(b.node.TakeActions()) {
		w.act(b, a)
	}
}

func (w *world) act(b *testBox, a Action) {
	boot := b.boot
	switch a.Kind {
	case SendMessage:
		w.send(b, a.To, a.Message)
	case Dispatch:
		w.after(w.slow, func() { w.on(b, boot, func() { w.begin(b, boot, a) }) })
		b.runs[a.Request] = &testRun{engine: w.engines[a.Upstream], tokens: a.Tokens}
	case CancelRun:
		w.stop(b, boot, a.Request, decide.Abandoned)
	case PauseRun:
		w.stop(b, boot, a.Request, decide.Paused)
	case End:
		w.finals[a.Request] = a.Final
		w.ends[a.Request]++
	case PullFrom:
		w.pull(b, boot, a.To)
	case ReadPlatform:
		w.read(b, boot)
	case Record:
		e := a.Event
		e.Wall, e.Logical = int64(w.now), len(w.line)
		w.line = append(w.line, e)
	}
}

// send delivers a message, or loses, repeats or delays it.
func (w *world) send(b *testBox, to string, m Message) {
	dst := w.boxes[to]
	if dst == nil || w.cut[[2]string{b.name, to}] || w.random.Float64() < w.loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.repeat {
		copies = 2
	}
	from, boot := b.name, b.boot
	for range copies {
		w.after(time.Duration(w.random.Int64N(int64(w.delay)+1)), func() {
			w.on(dst, dst.boot, func() { dst.node.Receive(w.now, from, boot, m) })
		})
	}
}

func (w *world) pull(b *testBox, boot uint64, from string) {
	src := w.boxes[from]
	w.after(w.delay, func() {
		ok := src != nil && !src.dead && !src.paused && !w.cut[[2]string{b.name, from}] && !w.cut[[2]string{from, b.name}]
		w.on(b, boot, func() {
			if ok {
				if t := src.node.Table(); t != nil {
					b.node.SetTable(t)
				}
				b.node.SetRoster(src.node.Roster())
			}
			b.node.PullDone()
		})
	})
}

func (w *world) read(b *testBox, boot uint64) {
	w.calls++
	w.after(20*time.Millisecond, func() {
		if w.down || w.blind[b.domain] {
			w.on(b, boot, func() { b.node.ReadDone(false) })
			return
		}
		t, r := w.table, w.roster
		if w.old != nil {
			t = w.old
		}
		w.on(b, boot, func() {
			b.node.SetTable(t)
			b.node.SetRoster(r)
		})
		w.after(180*time.Millisecond, func() { w.on(b, boot, func() { b.node.ReadDone(true) }) })
	})
}

// begin sends the first byte of a request.
func (w *world) begin(b *testBox, boot uint64, a Action) {
	r := b.runs[a.Request]
	if r == nil || r.over {
		return
	}
	if w.now > a.StartBy && !w.unfenced.StartBy {
		w.finish(b, boot, a.Request, Result{Outcome: decide.Unused, Tokens: r.tokens})
		return
	}
	e := r.engine
	if e == nil || e.dead {
		w.finish(b, boot, a.Request, Result{Outcome: decide.Failed, Tokens: r.tokens})
		return
	}
	if e.leaving {
		w.finish(b, boot, a.Request, Result{Outcome: decide.Failed, Refused: true, Tokens: r.tokens, Said: decide.AnswerNotice{Leaving: true}})
		return
	}
	b.node.Sending(w.now, a.Request)
	l := b.node.locals[a.Request]
	if l != nil && l.req.Key != "" {
		w.executed[l.req.Key]++
	}
	r.started = true
	e.starts++
	e.running++
	e.most = max(e.most, e.running)
	r.total = 5 + int(a.Request%60)
	w.after(e.pace, func() { w.generate(b, boot, a.Request, r) })
}

func (w *world) generate(b *testBox, boot uint64, id uint64, r *testRun) {
	if r.over {
		return
	}
	if l := b.node.locals[id]; l != nil && l.req.Content == fatalContent && !r.engine.dead {
		w.endEngine(r.engine)
	}
	if r.engine.dead {
		w.endRun(r)
		w.on(b, boot, func() {
			w.finish(b, boot, id, Result{Outcome: decide.Failed, Ran: true, Tokens: r.tokens, Ended: r.engine.ended})
		})
		return
	}
	r.tokens++
	w.on(b, boot, func() { b.node.FirstToken(w.now, id) })
	if r.tokens >= r.total {
		w.endRun(r)
		w.on(b, boot, func() {
			w.answered++
			w.finish(b, boot, id, Result{Outcome: decide.Answered, Ran: true, Tokens: r.total, Pace: r.engine.pace, Said: decide.AnswerNotice{Leaving: r.engine.announces}})
		})
		return
	}
	w.after(r.engine.pace, func() { w.generate(b, boot, id, r) })
}

// endRun frees the engine's slot.
func (w *world) endRun(r *testRun) {
	if !r.over && r.started {
		r.engine.running--
	}
	r.over = true
}

func (w *world) stop(b *testBox, boot uint64, id uint64, o decide.Outcome) {
	r := b.runs[id]
	if r == nil || r.over {
		return
	}
	if !r.started {
		o = decide.Unused
	}
	w.endRun(r)
	w.after(time.Millisecond, func() {
		w.on(b, boot, func() { w.finish(b, boot, id, Result{Outcome: o, Ran: r.started, Tokens: r.tokens}) })
	})
}

func (w *world) finish(b *testBox, _ uint64, id uint64, r Result) {
	delete(b.runs, id)
	b.node.Finished(w.now, id, r)
	w.perform(b)
}

// arrive lets a request come to a box.
func (w *world) arrive(box, class, key string) uint64 {
	b := w.boxes[box]
	w.requests++
	id := decide.RequestID(box, b.boot, w.requests)
	w.on(b, b.boot, func() {
		b.node.Arrive(w.now, Request{ID: id, Class: class, Customer: "acme", Key: key, Repeatable: class != "pay", Resumable: true})
	})
	return id
}

// toggleListed takes a box off the platform's list, or puts it on again, whether
// or not it is alive.
func (w *world) toggleListed(name string) {
	w.roster.Revision++
	var boxes []BoxEntry
	listed := false
	for _, b := range w.roster.Boxes {
		if b.Name == name {
			listed = true
		} else {
			boxes = append(boxes, b)
		}
	}
	if !listed {
		boxes = append(boxes, BoxEntry{Name: name, Domain: w.boxes[name].domain})
	}
	w.roster.Boxes = boxes
}

// settle heals everything and lets the requests in progress end.
func (w *world) settle() {
	w.loss, w.repeat, w.down, w.old = 0, 0, false, nil
	clear(w.cut)
	for _, name := range w.names {
		if b := w.boxes[name]; b.dead {
			w.startBox(name)
		} else if b.paused {
			w.wake(name)
		}
	}
	for _, e := range w.engines {
		e.dead, e.leaving = false, false
	}
	for _, name := range w.names {
		if !slices.ContainsFunc(w.roster.Boxes, func(b BoxEntry) bool { return b.Name == name }) {
			w.toggleListed(name)
		}
	}
	w.run(30 * time.Second)
}

func repeatable(class string) bool { return class != "pay" }

// violations checks the promises over the whole time line, and those that need
// more than that.
func (w *world) violations() []string {
	var out []string
	for _, v := range timeline.Check(w.line, repeatable) {
		out = append(out, v.String())
	}
	for key, n := range w.executed {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s: key %s ran %d times", timeline.PromiseOnce, key, n))
		}
	}
	for id, n := range w.ends {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s: request %x got %d final answers", timeline.PromiseOneEnd, id, n))
		}
	}
	slices.Sort(out)
	return out
}

func (w *world) check() {
	w.t.Helper()
	for _, v := range w.violations() {
		w.t.Error(v)
	}
}

// ready waits until all live boxes have the newest table and see each other.
func (w *world) ready() {
	w.t.Helper()
	w.runUntil("all boxes ready", 20*time.Second, func() bool {
		for _, name := range w.names {
			b := w.boxes[name]
			if b.dead {
				continue
			}
			if b.node.Table() == nil || b.node.Table().Revision != w.table.Revision || !b.node.joined || len(b.node.owners) == 0 {
				return false
			}
		}
		return true
	})
	w.run(2 * time.Second)
}

// ownersOf lists the boxes of a domain that believe to own a set.
func (w *world) ownersOf(domain, set string) []string {
	var out []string
	for _, name := range w.names {
		if b := w.boxes[name]; b.domain == domain && !b.dead && b.node.pools[set] != nil {
			out = append(out, name)
		}
	}
	return out
}
