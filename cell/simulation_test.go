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

// simulation connects real nodes through a simulated network on a virtual
// clock. It loses, delays, duplicates and cuts their messages, pauses and
// crashes boxes, and runs requests on simulated upstreams that count
// executions.
type simulation struct {
	t             testing.TB
	now           time.Duration
	random        *rand.Rand
	queue         eventQueue
	order         int
	boxes         map[string]*testBox
	names         []string
	table         *table.Table
	roster        Roster
	platformDown  bool
	platformCut   map[string]bool // domains that are cut off from the platform
	oldTable      *table.Table
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration // upper bound of the random delay
	cutLinks      map[[2]string]bool
	engines       map[string]*testEngine
	recorded      []timeline.Event
	finals        map[uint64]Final
	finalCounts   map[uint64]int
	executed      map[string]int // by idempotency key
	answered      int
	disabled      DisabledSafeguards
	dispatchDelay time.Duration // between a dispatch and its first byte
	platformCalls int           // reads of the platform
	requests      uint64
	engineCrashes int
}

// testBox is a box of a simulation, across its incarnations.
type testBox struct {
	name, domain string
	node         *Node
	boot         uint64
	paused       bool
	dead         bool
	clockSkew    time.Duration // offset of the wall clock
	pending      []func()      // events during a pause, handled when the box resumes
	runs         map[uint64]*testRun
}

type testRun struct {
	engine  *testEngine
	tokens  int
	total   int
	started bool
	ended   bool
}

type testEngine struct {
	name         string
	slots        int
	running      int
	maxRunning   int
	dead         bool
	leaving      bool
	tokenTime    time.Duration
	starts       int
	notListening bool // dead, and its address accepts no connections
	// announcesLeaving makes its answers report that it is leaving, while it
	// still serves.
	announcesLeaving bool
}

type event struct {
	at    time.Duration
	order int
	fn    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const testTick = 50 * time.Millisecond

// newSimulation creates domains with the given numbers of boxes and of
// engines, each engine with four slots.
func newSimulation(t testing.TB, seed uint64, domains, boxes, engines int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), boxes: make(map[string]*testBox), cutLinks: make(map[[2]string]bool), platformCut: make(map[string]bool),
		engines: make(map[string]*testEngine), finals: make(map[uint64]Final), finalCounts: make(map[uint64]int),
		executed: make(map[string]int), maxDelay: 2 * time.Millisecond, dispatchDelay: time.Millisecond}
	s.table = testTable()
	s.roster.Revision = 1
	for d := range domains {
		domain := fmt.Sprintf("d%d", d)
		for i := range engines {
			s.addEngine(fmt.Sprintf("e%d.%d", d, i), domain, "chat", table.Engine)
		}
		s.addEngine("p"+domain, domain, "pay", table.Plain)
		for i := range boxes {
			name := fmt.Sprintf("b%d.%d", d, i)
			s.roster.Boxes = append(s.roster.Boxes, BoxEntry{Name: name, Domain: domain})
			s.boxes[name] = &testBox{name: name, domain: domain}
			s.names = append(s.names, name)
		}
	}
	s.table = s.table.WithRevision(1)
	return s
}

func (s *simulation) addEngine(name, domain, set string, kind table.Kind) {
	s.engines[name] = &testEngine{name: name, slots: 4, tokenTime: 10 * time.Millisecond}
	s.table.Upstreams = append(s.table.Upstreams, table.Upstream{Name: name, Domain: domain, Address: "127.0.0.1:1", Kind: kind, Set: set, Slots: 4})
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

func (s *simulation) startAll() {
	for _, name := range s.names {
		s.startBox(name)
	}
}

// startBox starts a new incarnation of a box.
func (s *simulation) startBox(name string) {
	b := s.boxes[name]
	b.boot++
	b.dead, b.paused, b.pending = false, false, nil
	b.runs = make(map[uint64]*testRun)
	b.node = NewNode(Config{Box: name, Domain: b.domain, Boot: b.boot, Seed: s.random.Uint64(), Timing: DefaultTiming(),
		Peers: s.peersOf(name), Disabled: s.disabled})
	boot := b.boot
	s.after(time.Duration(s.random.Int64N(int64(testTick))), func() { s.tick(b, boot) })
	s.after(testReportInterval, func() { s.report(b, boot) })
}

const (
	testReportInterval = 250 * time.Millisecond
	testReportLag      = 200 * time.Millisecond
)

// report sends the engines' loads to the box that owns them, as they were
// testReportLag ago.
func (s *simulation) report(b *testBox, boot uint64) {
	if b.boot != boot || b.dead {
		return
	}
	for _, name := range b.node.Watched() {
		r := decide.Report{Upstream: name, Age: testReportLag, Running: s.engines[name].running, Leaving: s.engines[name].leaving}
		s.after(testReportLag, func() { s.on(b, boot, func() { b.node.Report(s.now, r) }) })
	}
	s.after(testReportInterval, func() { s.report(b, boot) })
}

func (s *simulation) peersOf(name string) []BoxEntry {
	var out []BoxEntry
	for _, other := range s.names {
		if other != name {
			out = append(out, BoxEntry{Name: other, Domain: s.boxes[other].domain})
		}
	}
	return out
}

func (s *simulation) after(d time.Duration, fn func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + d, s.order, fn})
}

// on calls fn on a box if the incarnation is still running. If the box is
// paused, fn is called when it resumes.
func (s *simulation) on(b *testBox, boot uint64, fn func()) {
	switch {
	case b.dead || b.boot != boot:
	case b.paused:
		b.pending = append(b.pending, func() { s.on(b, boot, fn) })
	default:
		fn()
		s.perform(b)
	}
}

func (s *simulation) tick(b *testBox, boot uint64) {
	if b.boot != boot || b.dead {
		return
	}
	if !b.paused {
		b.node.Tick(s.now, s.wall(b))
		s.perform(b)
	}
	s.after(testTick, func() { s.tick(b, boot) })
}

const epoch = 1_800_000_000 * time.Second

func (s *simulation) wall(b *testBox) time.Duration { return epoch + s.now + b.clockSkew }

// run advances the simulation by d.
func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

// runUntil advances the simulation until ok returns true, and fails the test
// after limit.
func (s *simulation) runUntil(condition string, limit time.Duration, ok func() bool) {
	s.t.Helper()
	for end := s.now + limit; !ok(); s.run(testTick) {
		if s.now > end {
			s.t.Fatalf("timed out waiting for %s after %v", condition, limit)
		}
	}
}

func (s *simulation) pause(name string) { s.boxes[name].paused = true }

// resume ends a box's pause. As in a process that was stopped, the box may
// handle queued messages before its timer shows the gap.
func (s *simulation) resume(name string) {
	b := s.boxes[name]
	b.paused = false
	pending := b.pending
	b.pending = nil
	for _, fn := range pending {
		fn()
	}
}

func (s *simulation) crash(name string) {
	b := s.boxes[name]
	b.dead = true
	for _, r := range b.runs {
		s.endRun(r)
	}
}

// setCut cuts or restores the direction from a to b only.
func (s *simulation) setCut(a, b string, on bool) { s.cutLinks[[2]string{a, b}] = on }

func (s *simulation) cutBoth(a, b string, on bool) {
	s.setCut(a, b, on)
	s.setCut(b, a, on)
}

func (s *simulation) perform(b *testBox) {
	for _, a := range slices.Clone(b.node.TakeActions()) {
		s.performAction(b, a)
	}
}

func (s *simulation) performAction(b *testBox, a Action) {
	boot := b.boot
	switch a.Kind {
	case SendMessage:
		s.send(b, a.To, a.Message)
	case Dispatch:
		s.after(s.dispatchDelay, func() { s.on(b, boot, func() { s.sendFirstByte(b, boot, a) }) })
		b.runs[a.Request] = &testRun{engine: s.engines[a.Upstream], tokens: a.Tokens}
	case CancelRun:
		s.stopRun(b, boot, a.Request, decide.Abandoned)
	case PauseRun:
		s.stopRun(b, boot, a.Request, decide.Paused)
	case End:
		s.finals[a.Request] = a.Final
		s.finalCounts[a.Request]++
	case PullFrom:
		s.pull(b, boot, a.To)
	case ReadPlatform:
		s.read(b, boot)
	case Record:
		e := a.Event
		e.Wall, e.Logical = int64(s.now), len(s.recorded)
		s.recorded = append(s.recorded, e)
	}
}

// send delivers a message after a random delay, or loses or duplicates it.
func (s *simulation) send(b *testBox, to string, m Message) {
	dst := s.boxes[to]
	if dst == nil || s.cutLinks[[2]string{b.name, to}] || s.random.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.random.Float64() < s.duplicateRate {
		copies = 2
	}
	from, boot := b.name, b.boot
	for range copies {
		s.after(time.Duration(s.random.Int64N(int64(s.maxDelay)+1)), func() {
			s.on(dst, dst.boot, func() { dst.node.Receive(s.now, from, boot, m) })
		})
	}
}

func (s *simulation) pull(b *testBox, boot uint64, from string) {
	src := s.boxes[from]
	s.after(s.maxDelay, func() {
		ok := src != nil && !src.dead && !src.paused && !s.cutLinks[[2]string{b.name, from}] && !s.cutLinks[[2]string{from, b.name}]
		s.on(b, boot, func() {
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

func (s *simulation) read(b *testBox, boot uint64) {
	s.platformCalls++
	s.after(20*time.Millisecond, func() {
		if s.platformDown || s.platformCut[b.domain] {
			s.on(b, boot, func() { b.node.ReadDone(false) })
			return
		}
		t, r := s.table, s.roster
		if s.oldTable != nil {
			t = s.oldTable
		}
		s.on(b, boot, func() {
			b.node.SetTable(t)
			b.node.SetRoster(r)
		})
		s.after(180*time.Millisecond, func() { s.on(b, boot, func() { b.node.ReadDone(true) }) })
	})
}

// sendFirstByte sends the first byte of a request.
func (s *simulation) sendFirstByte(b *testBox, boot uint64, a Action) {
	r := b.runs[a.Request]
	if r == nil || r.ended {
		return
	}
	if s.now > a.StartBy && !s.disabled.StartByCheck {
		s.finish(b, boot, a.Request, Result{Outcome: decide.Unused, Tokens: r.tokens})
		return
	}
	e := r.engine
	if e == nil || e.dead {
		s.finish(b, boot, a.Request, Result{Outcome: decide.Failed, Tokens: r.tokens})
		return
	}
	if e.leaving {
		s.finish(b, boot, a.Request, Result{Outcome: decide.Failed, Refused: true, Tokens: r.tokens, Notice: decide.AnswerNotice{Leaving: true}})
		return
	}
	b.node.Sending(s.now, a.Request)
	l := b.node.requests[a.Request]
	if l != nil && l.req.Key != "" {
		s.executed[l.req.Key]++
	}
	r.started = true
	e.starts++
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	r.total = 5 + int(a.Request%60)
	s.after(e.tokenTime, func() { s.generate(b, boot, a.Request, r) })
}

func (s *simulation) generate(b *testBox, boot uint64, id uint64, r *testRun) {
	if r.ended {
		return
	}
	if l := b.node.requests[id]; l != nil && l.req.Content == crashingContent && !r.engine.dead {
		s.crashUpstream(r.engine)
	}
	if r.engine.dead {
		s.endRun(r)
		s.on(b, boot, func() {
			s.finish(b, boot, id, Result{Outcome: decide.Failed, Ran: true, Tokens: r.tokens, UpstreamCrashed: r.engine.notListening})
		})
		return
	}
	r.tokens++
	s.on(b, boot, func() { b.node.FirstToken(s.now, id) })
	if r.tokens >= r.total {
		s.endRun(r)
		s.on(b, boot, func() {
			s.answered++
			s.finish(b, boot, id, Result{Outcome: decide.Answered, Ran: true, Tokens: r.total, TimePerToken: r.engine.tokenTime, Notice: decide.AnswerNotice{Leaving: r.engine.announcesLeaving}})
		})
		return
	}
	s.after(r.engine.tokenTime, func() { s.generate(b, boot, id, r) })
}

// endRun frees the engine's slot.
func (s *simulation) endRun(r *testRun) {
	if !r.ended && r.started {
		r.engine.running--
	}
	r.ended = true
}

func (s *simulation) stopRun(b *testBox, boot uint64, id uint64, o decide.Outcome) {
	r := b.runs[id]
	if r == nil || r.ended {
		return
	}
	if !r.started {
		o = decide.Unused
	}
	s.endRun(r)
	s.after(time.Millisecond, func() {
		s.on(b, boot, func() { s.finish(b, boot, id, Result{Outcome: o, Ran: r.started, Tokens: r.tokens}) })
	})
}

func (s *simulation) finish(b *testBox, _ uint64, id uint64, r Result) {
	delete(b.runs, id)
	b.node.Finished(s.now, id, r)
	s.perform(b)
}

// arrive sends a request to a box.
func (s *simulation) arrive(box, class, key string) uint64 {
	b := s.boxes[box]
	s.requests++
	id := decide.RequestID(box, b.boot, s.requests)
	s.on(b, b.boot, func() {
		b.node.Arrive(s.now, Request{ID: id, Class: class, Customer: "acme", Key: key, Repeatable: class != "pay", Resumable: true})
	})
	return id
}

// toggleListed removes a box from the platform's list, or adds it again,
// whether or not it is alive.
func (s *simulation) toggleListed(name string) {
	s.roster.Revision++
	var boxes []BoxEntry
	listed := false
	for _, b := range s.roster.Boxes {
		if b.Name == name {
			listed = true
		} else {
			boxes = append(boxes, b)
		}
	}
	if !listed {
		boxes = append(boxes, BoxEntry{Name: name, Domain: s.boxes[name].domain})
	}
	s.roster.Boxes = boxes
}

// settle ends all faults, and lets the requests in progress end.
func (s *simulation) settle() {
	s.lossRate, s.duplicateRate, s.platformDown, s.oldTable = 0, 0, false, nil
	clear(s.cutLinks)
	for _, name := range s.names {
		if b := s.boxes[name]; b.dead {
			s.startBox(name)
		} else if b.paused {
			s.resume(name)
		}
	}
	for _, e := range s.engines {
		e.dead, e.leaving = false, false
	}
	for _, name := range s.names {
		if !slices.ContainsFunc(s.roster.Boxes, func(b BoxEntry) bool { return b.Name == name }) {
			s.toggleListed(name)
		}
	}
	s.run(30 * time.Second)
}

func repeatable(class string) bool { return class != "pay" }

// violations checks the guarantees against the timeline, and those that need
// more than the timeline.
func (s *simulation) violations() []string {
	var out []string
	for _, v := range timeline.Check(s.recorded, repeatable) {
		out = append(out, v.String())
	}
	for key, n := range s.executed {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s: key %s ran %d times", timeline.InvariantAtMostOnce, key, n))
		}
	}
	for id, n := range s.finalCounts {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s: request %x got %d final answers", timeline.InvariantSingleEnd, id, n))
		}
	}
	slices.Sort(out)
	return out
}

func (s *simulation) checkGuarantees() {
	s.t.Helper()
	for _, v := range s.violations() {
		s.t.Error(v)
	}
}

// waitReady waits until all live boxes have the newest table, have ended
// their listening period and know owners, and then for two more seconds.
func (s *simulation) waitReady() {
	s.t.Helper()
	s.runUntil("all boxes ready", 20*time.Second, func() bool {
		for _, name := range s.names {
			b := s.boxes[name]
			if b.dead {
				continue
			}
			if b.node.Table() == nil || b.node.Table().Revision != s.table.Revision || !b.node.joined || len(b.node.owners) == 0 {
				return false
			}
		}
		return true
	})
	s.run(2 * time.Second)
}

// ownersOf returns the boxes of a domain that own a set in their own view.
func (s *simulation) ownersOf(domain, set string) []string {
	var out []string
	for _, name := range s.names {
		if b := s.boxes[name]; b.domain == domain && !b.dead && b.node.pools[set] != nil {
			out = append(out, name)
		}
	}
	return out
}
