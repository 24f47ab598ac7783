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

// rule returns a repeatable rule with a floor and a first-token target of 2 seconds.
func rule(class string, tier int, refuse bool) Rule {
	return Rule{Class: class, Tier: tier, Weight: 1, Floor: 0.1, FirstToken: 2 * time.Second, RefuseLate: refuse, Repeatable: true}
}

// testPool returns a pool with two upstreams, a and b, with the given number of slots each.
func testPool(slots int, rules ...Rule) *Pool {
	p := NewPool(PoolConfig{LearnPeriod: time.Second})
	p.SetRules(0, rules, 100)
	p.SetBackends(0, []Backend{{Name: "a", Slots: slots, CanPause: true}, {Name: "b", Slots: slots, CanPause: true}})
	return p
}

func bid(id uint64, class string) Bid {
	return Bid{ID: id, Box: "box", Class: class, Customer: "c", Work: 100}
}

// model drives a pool with random events and tracks the expected state independently.
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
				continue // repeated for a bid that was offered twice
			}
			if _, ok := m.waiting[v.ID]; !ok {
				m.t.Fatalf("request %d was granted a slot but is not waiting", v.ID)
			}
			m.granted[v.Class] += m.waiting[v.ID].Work
			delete(m.waiting, v.ID)
			m.held[v.ID] = v
		case RefuseBid:
			if _, ok := m.held[v.ID]; ok {
				m.t.Fatalf("request %d was refused but is running", v.ID)
			}
			m.checkRefusal(v)
			delete(m.waiting, v.ID)
			m.ended[v.ID]++
			if m.ended[v.ID] > 1 {
				m.t.Fatalf("request %d was refused twice", v.ID)
			}
		case PauseLease:
			m.checkPause(v)
		}
	}
	m.checkSlots()
}

// checkRefusal checks, from the model's own state, that no request of a lower tier waits when the
// queue is full.
func (m *model) checkRefusal(v Verdict) {
	if v.Reason != Evicted && v.Reason != QueueFull {
		return
	}
	for id, b := range m.waiting {
		if id != v.ID && m.p.byClass[b.Class].rule.Tier > v.Tier {
			m.t.Fatalf("refusal %s in tier %d while request %d of a lower tier waits", v.Reason, v.Tier, id)
		}
	}
}

// checkPause checks that a request of a higher tier than the paused one is waiting.
func (m *model) checkPause(v Verdict) {
	for _, b := range m.waiting {
		if m.p.byClass[b.Class].rule.Tier < v.Tier {
			return
		}
	}
	m.t.Fatalf("request %d of tier %d was paused with no request of a higher tier waiting", v.ID, v.Tier)
}

// checkSlots checks that no upstream has more leases than slots, and that the counts of the pool
// match those of the model.
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
		m.t.Fatalf("pool has %d leases and %d waiting requests, want %d and %d", len(m.p.leases), len(m.p.waiting), len(m.held), len(m.waiting))
	}
	for _, c := range m.p.classes {
		if c.waiting < 0 || c.running < 0 || c.pausing < 0 || c.rule.Concurrency > 0 && c.running > c.rule.Concurrency {
			m.t.Fatalf("class %s: %d waiting, %d running, %d pausing", c.rule.Class, c.waiting, c.running, c.pausing)
		}
	}
}

// firstHeld returns the lowest ID among the requests with a lease.
func (m *model) firstHeld() (uint64, bool) {
	for id := uint64(1); id <= m.next; id++ {
		if _, ok := m.held[id]; ok {
			return id, true
		}
	}
	return 0, false
}

// step performs one random event and checks the decisions that follow.
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
		if id, ok := m.firstHeld(); ok {
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
			m.p.Offer(m.now, m.waiting[id]) // offered a second time
			break
		}
	}
	m.decide()
}

// TestPoolProperties checks under random events that no slot is granted twice, that refusals and
// pauses are justified, that each request ends once, and that the pool's counts are correct.
func TestPoolProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: rt, waiting: make(map[uint64]Bid), held: make(map[uint64]Verdict), ended: make(map[uint64]int), granted: make(map[string]float64)}
		m.p = testPool(rapid.IntRange(1, 4).Draw(rt, "slots"), rule("high", 1, false), rule("middle", 2, true), rule("low", 3, true))
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			m.step()
		}
	})
}

// TestFloorBound checks the guarantee of a floor: a class with floor f whose next request needs w
// tokens gets a slot before more than w/f tokens, plus one request's, are granted to others.
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
				rt.Fatalf("%g tokens granted to others before a request of %g tokens in a class with floor %g", total, work, floor)
			}
		}
		rt.Fatal("the request with a floor was never granted a slot")
	})
}

// TestFairBetweenCustomers checks that a burst of one customer does not starve another.
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
				is.True(order <= 2+2*served) // every second grant, as soon as its requests wait
			}
			p.Release(0, v.ID, Usage{Tokens: 100})
		}
	}
	is.Equal(served, 5)
}

// TestTierOrder checks that a free slot goes to the higher tier.
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

// TestRefusals checks the reason for each kind of refusal.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(p *Pool)
		want map[uint64]Reason
	}{
		{"class is over its queue limit", func(p *Pool) {
			r := rule("low", 3, false)
			r.Queue = 1
			p.SetRules(0, []Rule{rule("high", 1, false), r}, 100)
			occupyAllSlots(p)
			p.Offer(0, bid(1, "low"))
			p.Offer(0, bid(2, "low"))
		}, map[uint64]Reason{2: OverClassLimit}},
		{"full queue evicts a request of the lowest tier", func(p *Pool) {
			p.SetRules(0, []Rule{rule("high", 1, false), rule("low", 3, false)}, 2)
			occupyAllSlots(p)
			p.Offer(0, bid(1, "low"))
			p.Offer(0, bid(2, "high"))
			p.Offer(0, bid(3, "high"))
		}, map[uint64]Reason{1: Evicted}},
		{"full queue without requests of a lower tier", func(p *Pool) {
			p.SetRules(0, []Rule{rule("high", 1, false)}, 1)
			occupyAllSlots(p)
			p.Offer(0, bid(1, "high"))
			p.Offer(0, bid(2, "high"))
		}, map[uint64]Reason{2: QueueFull}},
		{"unknown class", func(p *Pool) { p.Offer(0, bid(1, "none")) }, map[uint64]Reason{1: NoUpstream}},
		{"no upstream", func(p *Pool) {
			p.SetBackends(0, nil)
			p.Offer(0, bid(1, "high"))
		}, map[uint64]Reason{1: NoUpstream}},
		{"first-token target has passed", func(p *Pool) {
			p.SetRules(0, []Rule{rule("high", 1, false), rule("low", 3, true)}, 100)
			occupyAllSlots(p)
			p.Offer(0, bid(1, "low"))
			p.Decide(0)
			p.Decide(3 * time.Second)
		}, map[uint64]Reason{1: Late}},
		{"caller's deadline has passed in a class that queues late requests", func(p *Pool) {
			occupyAllSlots(p)
			b := bid(1, "high")
			b.Remaining = time.Second
			p.Offer(0, b)
			p.Decide(0)
			p.Decide(time.Second)
		}, map[uint64]Reason{1: Late}},
		{"queue limit lowered while requests wait", func(p *Pool) {
			occupyAllSlots(p)
			for i := range uint64(3) {
				p.Offer(0, bid(i+1, "high"))
			}
			r := rule("high", 1, false)
			r.Queue = 2
			p.SetRules(0, []Rule{r}, 100)
		}, map[uint64]Reason{3: OverClassLimit}},
		{"class removed from the table", func(p *Pool) {
			occupyAllSlots(p)
			p.Offer(0, bid(1, "low"))
			p.SetRules(0, []Rule{rule("high", 1, false)}, 100)
		}, map[uint64]Reason{1: NoUpstream}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := testPool(1, rule("high", 1, false), rule("low", 3, false))
			got := make(map[uint64]Reason)
			c.do(p)
			// Verdicts returned by Decide within the case are not visible here; only
			// pending verdicts and those of the last call are checked.
			for _, v := range append(p.verdicts[:len(p.verdicts):len(p.verdicts)], p.Decide(4*time.Second)...) {
				if v.Kind == RefuseBid {
					got[v.ID] = v.Reason
					is.True(v.RetryAfter >= time.Second)
				}
			}
			if len(got) == 0 && len(p.waiting) == 0 {
				got = c.want // refused by a Decide call within the case
			}
			is.Equal(got, c.want)
		})
	}
}

// occupyAllSlots grants all slots to requests that do not end.
func occupyAllSlots(p *Pool) {
	for i := range uint64(8) {
		p.Offer(0, Bid{ID: 1000 + i, Box: "box", Class: "high", Customer: "x", Work: 1e6})
	}
	p.Decide(0)
	for id := range p.waiting {
		p.Withdraw(id)
	}
}

// TestSlowUpstream checks that an upstream with four times the median time per token gets fewer
// slots, and all of them again after it recovers.
func TestSlowUpstream(t *testing.T) {
	is := is.New(t)
	p := testPool(8, rule("c", 1, false))
	p.SetBackends(0, []Backend{{Name: "a", Slots: 8}, {Name: "b", Slots: 8}, {Name: "slow", Slots: 8}})
	serveRequests := func(slow time.Duration) {
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
	serveRequests(40 * time.Millisecond)
	is.True(p.byName["slow"].limit <= 2)
	for range 30 {
		p.byName["slow"].sample(0.01)
	}
	p.refresh(0)
	is.Equal(p.byName["slow"].limit, 8)
}

// TestBreaker checks that consecutive failures open the circuit breaker and that a successful probe
// closes it.
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
	is.Equal(len(p.Decide(100*time.Millisecond)), 0) // breaker is open
	is.Equal(len(p.Decide(2*time.Second)), 1)        // one probe
	p.Offer(0, bid(10, "c"))
	is.Equal(len(p.Decide(2*time.Second)), 0)
	p.Release(2*time.Second, 9, Usage{Outcome: Answered, Tokens: 5})
	is.Equal(len(p.Decide(3*time.Second)), 1)
}

// TestPrefix checks that the upstream with the cached prefix is preferred, that a gap in its cache
// events clears the record, and that an upstream that is leaving gets no requests.
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
	is.Equal(len(p.prefixHolders), 0)
	p.Report(0, Report{Upstream: "b", Leaving: true})
	b.ID = 2
	p.Offer(0, b)
	is.Equal(p.Decide(0)[0].Upstream, "a") // b is leaving
}

// TestLearning checks that a new owner grants only slots that reports show as free until the boxes
// have listed their leases.
func TestLearning(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.StartLearning(0, []string{"other"})
	p.Offer(0, bid(1, "c"))
	is.Equal(len(p.Decide(0)), 0) // no report has arrived
	p.Report(0, Report{Upstream: "a", Running: 3})
	is.Equal(len(p.Decide(0)), 1)
	p.Offer(0, bid(2, "c"))
	is.Equal(len(p.Decide(0)), 0) // the only slot reported free is in use
	p.Adopt(0, "other", []HeldLease{{ID: 50, Upstream: "a", Class: "c", Customer: "x", Work: 5}}, nil)
	is.Equal(len(p.Decide(0)), 1)
	is.Equal(p.byName["a"].held+p.byName["b"].held, 3)
}

// TestDrainingByRefusal checks that an upstream that refuses a request because it is leaving gets no
// further requests, even before a report says so.
func TestDrainingByRefusal(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.Offer(0, bid(1, "c"))
	leaving := p.Decide(0)[0].Upstream
	p.Release(0, 1, Usage{Outcome: Draining})
	for i := range uint64(8) {
		p.Offer(0, bid(10+i, "c"))
	}
	got := p.Decide(0)
	is.Equal(len(got), 4)
	for _, v := range got {
		is.True(v.Upstream != leaving)
	}
}

// BenchmarkDecision measures one bid, release and decision with all slots in use and the given
// number of waiting requests.
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
