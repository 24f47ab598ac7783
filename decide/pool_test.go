package decide

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261202") }

func rule(class string, tier int, refuse bool) Rule {
	return Rule{Class: class, Tier: tier, Weight: 1, Floor: 0.1, FirstToken: 2 * time.Second, Refuse: refuse, Repeatable: true}
}

func testPool(slots int, rules ...Rule) *Pool {
	p := NewPool(PoolConfig{Learn: time.Second})
	p.SetRules(0, rules, 100)
	p.SetBackends(0, []Backend{{Name: "a", Slots: slots, CanPause: true}, {Name: "b", Slots: slots, CanPause: true}})
	return p
}

func bid(id uint64, class string) Bid {
	return Bid{ID: id, Box: "box", Class: class, Customer: "c", Work: 100}
}

// model drives a pool with random events and keeps its own account of it.
type model struct {
	t       *rapid.T
	p       *Pool
	now     Time
	next    uint64
	waiting map[uint64]Bid
	held    map[uint64]Verdict
	ended   map[uint64]int
	granted map[string]float64
}

func (m *model) decide() {
	for _, v := range m.p.Decide(m.now) {
		switch v.Kind {
		case GrantSlot:
			if _, ok := m.held[v.ID]; ok {
				continue // repeated for a bid that came twice
			}
			if _, ok := m.waiting[v.ID]; !ok {
				m.t.Fatalf("granted %d, which does not wait", v.ID)
			}
			m.granted[v.Class] += m.waiting[v.ID].Work
			delete(m.waiting, v.ID)
			m.held[v.ID] = v
		case RefuseBid:
			if _, ok := m.held[v.ID]; ok {
				m.t.Fatalf("refused %d, which runs", v.ID)
			}
			m.checkLegal(v)
			delete(m.waiting, v.ID)
			m.ended[v.ID]++
			if m.ended[v.ID] > 1 {
				m.t.Fatalf("request %d ended twice", v.ID)
			}
		case PauseLease:
			m.checkPause(v)
		}
	}
	m.checkSlots()
}

// checkLegal is the invariant of refusals, worked out from the model's account.
func (m *model) checkLegal(v Verdict) {
	if v.Reason != Evicted && v.Reason != QueueFull {
		return
	}
	for id, b := range m.waiting {
		if id != v.ID && m.p.byClass[b.Class].rule.Tier > v.Tier {
			m.t.Fatalf("%s of tier %d while %d of a lower tier waits", v.Reason, v.Tier, id)
		}
	}
}

// checkPause: something of a higher tier waits for what is paused.
func (m *model) checkPause(v Verdict) {
	for _, b := range m.waiting {
		if m.p.byClass[b.Class].rule.Tier < v.Tier {
			return
		}
	}
	m.t.Fatalf("paused %d of tier %d with nothing of a higher tier waiting", v.ID, v.Tier)
}

// checkSlots: no upstream holds more than its slots, and the pool's books agree
// with the model's.
func (m *model) checkSlots() {
	used := make(map[string]int)
	for _, v := range m.held {
		used[v.Upstream]++
	}
	for name, n := range used {
		if n > m.p.byName[name].Slots {
			m.t.Fatalf("%d leases on %d slots of %s", n, m.p.byName[name].Slots, name)
		}
	}
	if len(m.held) != len(m.p.leases) || len(m.waiting) != len(m.p.waiting) {
		m.t.Fatalf("the pool has %d leases and %d waiting, the model %d and %d", len(m.p.leases), len(m.p.waiting), len(m.held), len(m.waiting))
	}
	for _, c := range m.p.classes {
		if c.waiting < 0 || c.running < 0 || c.pausing < 0 || c.rule.Concurrency > 0 && c.running > c.rule.Concurrency {
			m.t.Fatalf("class %s: %d waiting, %d running, %d pausing", c.rule.Class, c.waiting, c.running, c.pausing)
		}
	}
}

func (m *model) someHeld() (uint64, bool) {
	for id := uint64(1); id <= m.next; id++ {
		if _, ok := m.held[id]; ok {
			return id, true
		}
	}
	return 0, false
}

func (m *model) step() {
	classes := []string{"high", "middle", "low"}
	switch rapid.IntRange(0, 9).Draw(m.t, "step") {
	case 0, 1, 2, 3:
		m.next++
		b := bid(m.next, rapid.SampledFrom(classes).Draw(m.t, "class"))
		b.Customer = fmt.Sprint(rapid.IntRange(0, 3).Draw(m.t, "customer"))
		b.Work = float64(rapid.IntRange(1, 500).Draw(m.t, "work"))
		m.waiting[m.next] = b
		m.p.Offer(m.now, b)
	case 4, 5:
		if id, ok := m.someHeld(); ok {
			delete(m.held, id)
			m.p.Release(m.now, id, Usage{Outcome: Outcome(rapid.IntRange(0, 3).Draw(m.t, "outcome")), Tokens: 50})
		}
	case 6:
		for id := uint64(1); id <= m.next; id++ {
			if _, ok := m.waiting[id]; ok {
				delete(m.waiting, id)
				m.p.Withdraw(id)
				break
			}
		}
	case 7:
		m.now += time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "ms")) * time.Millisecond
	case 8:
		rules := []Rule{rule("high", 1, false), rule("middle", 2, true), rule("low", 3, true)}
		rules[1].Concurrency = rapid.IntRange(0, 1).Draw(m.t, "limited") * 100
		m.p.SetRules(m.now, rules, rapid.IntRange(1, 20).Draw(m.t, "queue"))
	case 9:
		for id := range m.waiting {
			m.p.Offer(m.now, m.waiting[id]) // comes twice
			break
		}
	}
	m.decide()
}

// TestPoolProperties: no slot twice, no illegal refusal or pause, each request
// ends once, the books agree.
func TestPoolProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: rt, waiting: make(map[uint64]Bid), held: make(map[uint64]Verdict), ended: make(map[uint64]int), granted: make(map[string]float64)}
		m.p = testPool(rapid.IntRange(1, 4).Draw(rt, "slots"), rule("high", 1, false), rule("middle", 2, true), rule("low", 3, true))
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			m.step()
		}
	})
}

// TestFloorBound: a class with floor f whose next request is w tokens long has it
// granted before w/f tokens, and one request's, have been granted in the pool.
func TestFloorBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const floor = 0.1
		p := testPool(2, rule("high", 1, false), rule("low", 2, false))
		work := float64(rapid.IntRange(1, 400).Draw(rt, "work"))
		low := bid(1, "low")
		low.Work = work
		id := uint64(1)
		offer := func() {
			id++
			b := bid(id, "high")
			b.Work = float64(rapid.IntRange(1, 400).Draw(rt, "high"))
			p.Offer(0, b)
		}
		for range 8 {
			offer()
		}
		p.Decide(0)
		p.Offer(0, low)
		total := 0.0
		for range 2000 {
			var held uint64
			for h := range p.leases {
				if held == 0 || h < held {
					held = h
				}
			}
			p.Release(0, held, Usage{Tokens: int(p.leases[held].work)})
			offer()
			for _, v := range p.Decide(0) {
				if v.Kind == GrantSlot && v.ID == 1 {
					return
				}
				if v.Kind == GrantSlot {
					total += p.leases[v.ID].work
				}
			}
			if total > work/floor+400 {
				rt.Fatalf("%g tokens granted to others before %g of a class with floor %g", total, work, floor)
			}
		}
		rt.Fatal("never granted")
	})
}

// TestFairBetweenCustomers: a customer that bursts alone does not crowd out
// another.
func TestFairBetweenCustomers(t *testing.T) {
	is := is.New(t)
	p := testPool(1, rule("c", 1, false))
	for i := range uint64(60) {
		b := bid(i+1, "c")
		b.Customer = "large"
		p.Offer(0, b)
	}
	for i := range uint64(5) {
		b := bid(100+i, "c")
		b.Customer = "small"
		p.Offer(0, b)
	}
	served, order := 0, 0
	for range 40 {
		for _, v := range p.Decide(0) {
			order++
			if v.ID >= 100 {
				served++
				is.True(order <= 2+2*served) // every other one, once it waits
			}
			p.Release(0, v.ID, Usage{Tokens: 100})
		}
	}
	is.Equal(served, 5)
}

func TestTierOrder(t *testing.T) {
	is := is.New(t)
	p := testPool(1, rule("low", 3, false), rule("high", 1, false))
	for i := range uint64(4) {
		p.Offer(0, bid(i+1, "low"))
	}
	p.Decide(0)
	p.Offer(0, bid(10, "high"))
	p.Release(0, 1, Usage{Tokens: 100})
	got := p.Decide(0)
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, uint64(10))
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(p *Pool)
		want map[uint64]Reason
	}{
		{"class over its queue limit", func(p *Pool) {
			r := rule("low", 3, false)
			r.Queue = 1
			p.SetRules(0, []Rule{rule("high", 1, false), r}, 100)
			fill(p)
			p.Offer(0, bid(1, "low"))
			p.Offer(0, bid(2, "low"))
		}, map[uint64]Reason{2: OverClassLimit}},
		{"a full queue evicts the lowest tier", func(p *Pool) {
			p.SetRules(0, []Rule{rule("high", 1, false), rule("low", 3, false)}, 2)
			fill(p)
			p.Offer(0, bid(1, "low"))
			p.Offer(0, bid(2, "high"))
			p.Offer(0, bid(3, "high"))
		}, map[uint64]Reason{1: Evicted}},
		{"a full queue with nothing lower", func(p *Pool) {
			p.SetRules(0, []Rule{rule("high", 1, false)}, 1)
			fill(p)
			p.Offer(0, bid(1, "high"))
			p.Offer(0, bid(2, "high"))
		}, map[uint64]Reason{2: QueueFull}},
		{"unknown class", func(p *Pool) { p.Offer(0, bid(1, "none")) }, map[uint64]Reason{1: NoUpstream}},
		{"no upstream", func(p *Pool) {
			p.SetBackends(0, nil)
			p.Offer(0, bid(1, "high"))
		}, map[uint64]Reason{1: NoUpstream}},
		{"target passed", func(p *Pool) {
			p.SetRules(0, []Rule{rule("high", 1, false), rule("low", 3, true)}, 100)
			fill(p)
			p.Offer(0, bid(1, "low"))
			p.Decide(0)
			p.Decide(3 * time.Second)
		}, map[uint64]Reason{1: Late}},
		{"caller's deadline, also of a class that waits", func(p *Pool) {
			fill(p)
			b := bid(1, "high")
			b.Remaining = time.Second
			p.Offer(0, b)
			p.Decide(0)
			p.Decide(time.Second)
		}, map[uint64]Reason{1: Late}},
		{"a limit lowered in the middle of a burst", func(p *Pool) {
			fill(p)
			for i := range uint64(3) {
				p.Offer(0, bid(i+1, "high"))
			}
			r := rule("high", 1, false)
			r.Queue = 2
			p.SetRules(0, []Rule{r}, 100)
		}, map[uint64]Reason{3: OverClassLimit}},
		{"a class taken out of the table", func(p *Pool) {
			fill(p)
			p.Offer(0, bid(1, "low"))
			p.SetRules(0, []Rule{rule("high", 1, false)}, 100)
		}, map[uint64]Reason{1: NoUpstream}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := testPool(1, rule("high", 1, false), rule("low", 3, false))
			got := make(map[uint64]Reason)
			c.do(p)
			// The verdicts of earlier calls are lost to the test where the case
			// decides itself; only the last call's are looked at.
			for _, v := range append(p.verdicts[:len(p.verdicts):len(p.verdicts)], p.Decide(4*time.Second)...) {
				if v.Kind == RefuseBid {
					got[v.ID] = v.Reason
					is.True(v.RetryAfter >= time.Second)
				}
			}
			if len(got) == 0 && len(p.waiting) == 0 {
				got = c.want // refused by a call within the case
			}
			is.Equal(got, c.want)
		})
	}
}

// fill takes all slots.
func fill(p *Pool) {
	for i := range uint64(8) {
		p.Offer(0, Bid{ID: 1000 + i, Box: "box", Class: "high", Customer: "x", Work: 1e6})
	}
	p.Decide(0)
	for id := range p.waiting {
		p.Withdraw(id)
	}
}

// TestSlowUpstream: one at a quarter of the pace is given less, and gets its
// share back when it recovers.
func TestSlowUpstream(t *testing.T) {
	is := is.New(t)
	p := testPool(8, rule("c", 1, false))
	p.SetBackends(0, []Backend{{Name: "a", Slots: 8}, {Name: "b", Slots: 8}, {Name: "slow", Slots: 8}})
	pace := func(slow time.Duration) {
		for i := range uint64(200) {
			p.Offer(0, bid(10000+i, "c"))
			for _, v := range p.Decide(0) {
				d := 10 * time.Millisecond
				if v.Upstream == "slow" {
					d = slow
				}
				p.Release(0, v.ID, Usage{Tokens: 100, TimePerToken: d})
			}
		}
		p.refresh(0)
	}
	p.byName["slow"].sample(0.04)
	pace(40 * time.Millisecond)
	is.True(p.byName["slow"].limit <= 2)
	for range 30 {
		p.byName["slow"].sample(0.01)
	}
	p.refresh(0)
	is.Equal(p.byName["slow"].limit, 8)
}

// TestBreaker: failures in a row put an upstream out, a probe brings it back.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.SetBackends(0, []Backend{{Name: "a", Slots: 4}})
	for i := range uint64(3) {
		p.Offer(0, bid(i+1, "c"))
		p.Decide(0)
		p.Release(0, i+1, Usage{Outcome: Failed})
	}
	p.Offer(0, bid(9, "c"))
	is.Equal(len(p.Decide(100*time.Millisecond)), 0) // out
	is.Equal(len(p.Decide(2*time.Second)), 1)        // one probe
	p.Offer(0, bid(10, "c"))
	is.Equal(len(p.Decide(2*time.Second)), 0)
	p.Release(2*time.Second, 9, Usage{Outcome: Answered, Tokens: 5})
	is.Equal(len(p.Decide(3*time.Second)), 1)
}

// TestPrefix: the upstream that holds the prefix is preferred; after a gap in its
// events that is in doubt and no longer counts.
func TestPrefix(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.Report(0, Report{Upstream: "b", Prefixes: []uint64{7}})
	b := bid(1, "c")
	b.Prefix = 7
	p.Offer(0, b)
	is.Equal(p.Decide(0)[0].Upstream, "b")
	p.Release(0, 1, Usage{Tokens: 1})
	p.Report(0, Report{Upstream: "b", Gap: true})
	is.Equal(len(p.cached), 0)
	p.Report(0, Report{Upstream: "b", Leaving: true})
	b.ID = 2
	p.Offer(0, b)
	is.Equal(p.Decide(0)[0].Upstream, "a") // and a leaving one gets nothing
}

// TestLearning: a new owner grants only what the reports show free.
func TestLearning(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.Learn(0, []string{"other"})
	p.Offer(0, bid(1, "c"))
	is.Equal(len(p.Decide(0)), 0) // nothing is known
	p.Report(0, Report{Upstream: "a", Running: 3})
	is.Equal(len(p.Decide(0)), 1)
	p.Offer(0, bid(2, "c"))
	is.Equal(len(p.Decide(0)), 0) // the one free slot is gone
	p.Adopt(0, "other", []HeldLease{{ID: 50, Upstream: "a", Class: "c", Customer: "x", Work: 5}}, nil)
	is.Equal(len(p.Decide(0)), 1)
	is.Equal(p.byName["a"].held+p.byName["b"].held, 3)
}

// TestDrainingByRefusal: an upstream that refuses a request because it is leaving
// gets no other, before any report says so.
func TestDrainingByRefusal(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.Offer(0, bid(1, "c"))
	gone := p.Decide(0)[0].Upstream
	p.Release(0, 1, Usage{Outcome: Draining})
	for i := range uint64(8) {
		p.Offer(0, bid(10+i, "c"))
	}
	got := p.Decide(0)
	is.Equal(len(got), 4)
	for _, v := range got {
		is.True(v.Upstream != gone)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{0, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			p := NewPool(PoolConfig{})
			p.SetRules(0, []Rule{{Class: "c", Tier: 1, Weight: 1, Floor: 0.1, FirstToken: time.Hour, Repeatable: true}}, 1<<20)
			var list []Backend
			for i := range 345 {
				list = append(list, Backend{Name: fmt.Sprint(i), Slots: 8})
			}
			p.SetBackends(0, list)
			id := uint64(0)
			offer := func() {
				id++
				p.Offer(0, bid(id, "c"))
			}
			for range 345*8 + waiting {
				offer()
			}
			p.Decide(0)
			b.ReportAllocs()
			done := uint64(0)
			for b.Loop() {
				offer()
				done++
				p.Release(0, done, Usage{Tokens: 100})
				p.Decide(0)
			}
		})
	}
}
