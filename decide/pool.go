package decide

// This file defines a pool: the waiting requests and the slots of one upstream
// set in one failure domain, as its owner sees them. The invariants: a slot is
// never granted twice by one owner; grants go by tier, but for what floors take
// openly; every bid ends in exactly one grant, refusal or withdrawal.

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Queue is how many requests may wait, over all classes.
	Queue int
	// Learn is how long a new owner waits for the boxes to say what they hold.
	Learn time.Duration
	// NoPause turns the pausing of lower tiers off, to measure what it is worth.
	NoPause bool
	// RetainAbove is the number of slots held from which on holders may keep slots
	// for their next requests, while the pool has slots to spare; 0 is never.
	RetainAbove int
	// Seed makes the jitter of RetryAfter repeatable.
	Seed uint64
}

const (
	// leadTokens is how far, in tokens over weight, a class may run ahead of
	// the others of its tier because its requests are more urgent.
	leadTokens = 4000
	// refreshEvery bounds how old the pool's picture of its upstreams is.
	refreshEvery = 50 * time.Millisecond
	// settleTime is how long a lease is kept that its holder does not list: the
	// grant may have been on its way when the list was made.
	settleTime = 2 * time.Second
	// pausesAtOnce bounds how many leases are being paused for one class.
	pausesAtOnce = 64
	// keepBusy is the share of the slots in use from which on none is kept.
	keepBusy = 0.85
	// keepTime is how long a holder keeps a slot for its next request.
	keepTime = 3 * time.Second
	// recallEvery bounds the recalls. After one, holders keep nothing for longer
	// than this.
	recallEvery = 900 * time.Millisecond
	// giveWayTime is how long it takes until a lower tier has given way.
	giveWayTime = pauseRepeat
	// firstMemory is the weight of a new sample of the time to the first token.
	firstMemory = 0.05
	// pauseRepeat is how long an order to pause is given to take effect.
	pauseRepeat = 300 * time.Millisecond
	// never is later than any moment.
	never = Time(1<<63 - 1)
)

// lease is a granted slot.
type lease struct {
	id       uint64
	box      string
	class    *classQueue
	customer string
	backend  *backend
	work     float64
	granted  Time
	queued   time.Duration
	keep     time.Duration
	attempt  uint32
	pausing  bool
	pausedAt Time // when its pause was first ordered
	ordered  Time // when it was last ordered
	gone     bool
}

// Pool decides for one upstream set.
type Pool struct {
	cfg        PoolConfig
	random     *rand.Rand
	classes    []*classQueue // by tier, then in the table's order
	byClass    map[string]*classQueue
	backends   []*backend
	byName     map[string]*backend
	cached     map[uint64][]*backend // prefix to the upstreams that hold it
	waiting    map[uint64]*waiter
	expiry     expiryHeap
	leases     map[uint64]*lease
	ledgers    map[string]*ledger // by box
	verdicts   []Verdict          // not yet taken
	frees      []int              // free slots of each backend
	waiterSlab []waiter
	leaseSlab  []lease
	paces      []float64       // a buffer for the median
	median     float64         // pace of the upstreams, in seconds a token
	slots      int             // usable now, over all upstreams
	rate       float64         // tokens a second when full
	first      time.Duration   // from sending to the first token, the recent mean
	refreshed  Time            // when limits, median and rate were last worked out
	pausing    []*lease        // whose pause is ordered
	keptUntil  Time            // until then slots may be kept by holders
	recalled   Time            // when kept slots were last recalled
	recallNow  bool            // an upstream began to leave
	learnEnd   Time            // of the time for the boxes to say what they hold
	learnt     Time            // when a lease granted by another owner was last learnt of
	unheard    map[string]bool // boxes that have not said it yet
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		byClass:   make(map[string]*classQueue),
		byName:    make(map[string]*backend),
		cached:    make(map[uint64][]*backend),
		waiting:   make(map[uint64]*waiter),
		leases:    make(map[uint64]*lease),
		ledgers:   make(map[string]*ledger),
		unheard:   make(map[string]bool),
		median:    defaultPace,
		rate:      1,
		refreshed: -refreshEvery,
	}
}

// SetRules puts the table's rows in force, also for what waits already.
func (p *Pool) SetRules(now Time, rules []Rule, queue int) {
	p.cfg.Queue = queue
	old := p.byClass
	p.byClass = make(map[string]*classQueue, len(rules))
	p.classes = p.classes[:0]
	for _, r := range rules {
		c := old[r.Class]
		if c == nil {
			c = newClassQueue(r)
		}
		c.rule = r
		p.byClass[r.Class] = c
		p.classes = append(p.classes, c)
	}
	slices.SortStableFunc(p.classes, func(a, b *classQueue) int { return a.rule.Tier - b.rule.Tier })
	for _, w := range p.sortedWaiting("") {
		if p.byClass[w.bid.Class] != w.class {
			p.refuse(now, w, NoUpstream)
			continue
		}
		p.schedule(w)
	}
	for _, c := range p.classes {
		heap.Init(&c.targets)
	}
	p.fitQueues(now)
}

// SetBackends says which upstreams the pool has.
func (p *Pool) SetBackends(now Time, list []Backend) {
	old := p.byName
	p.byName = make(map[string]*backend, len(list))
	p.backends = p.backends[:0]
	for _, d := range list {
		b := old[d.Name]
		if b == nil {
			b = newBackend(now, d)
		}
		b.Backend, b.index = d, len(p.backends)
		p.byName[d.Name] = b
		p.backends = append(p.backends, b)
	}
	p.frees = make([]int, len(p.backends))
	for name, b := range old {
		if p.byName[name] == nil {
			p.forgetPrefixes(b)
		}
	}
	p.refreshed = now - refreshEvery
}

// Report takes in what an upstream said of itself.
func (p *Pool) Report(now Time, r Report) {
	if b := p.byName[r.Upstream]; b != nil {
		p.takeReport(now, b, r)
		p.refreshed = now - refreshEvery
	}
}

// Offer takes in a bid. It may come twice: a holder that hears nothing asks again.
func (p *Pool) Offer(now Time, bid Bid) {
	if l := p.leases[bid.ID]; l != nil {
		if bid.Attempt < l.attempt {
			return
		}
		if bid.Attempt == l.attempt {
			if !l.pausing {
				p.emitGrant(l)
			}
			return
		}
		// The holder has given this slot back, and its word of that is still on
		// its way: a grant repeated now would be used after the slot was freed.
		p.end(l)
	}
	if w := p.waiting[bid.ID]; w != nil {
		if bid.Attempt <= w.bid.Attempt {
			return
		}
		w.class.forget(w)
		p.drop(w)
	}
	class := p.byClass[bid.Class]
	w := p.newWaiter()
	*w = waiter{bid: bid, class: class, arrived: now - bid.Waited, offered: now, index: -1}
	if class != nil {
		w.target = w.arrived + p.waitLimit(class)
	}
	if class == nil || len(p.backends) == 0 {
		p.refuseNew(now, w, NoUpstream)
		return
	}
	if reason := p.admit(now, w); reason != NoReason {
		p.refuseNew(now, w, reason)
		return
	}
	p.waiting[bid.ID] = w
	g := p.ledger(bid.Box)
	g.waiting++
	g.waitingDigest ^= bid.ID
	g.heard = now
	class.push(w)
	if class.waiting == 1 {
		class.vtime = max(class.vtime, p.leastVtime(class))
	}
	if bid.FromOtherDomain {
		class.visitors++
	}
	p.schedule(w)
}

// slab is how many waiters or leases are made at once, which spares the allocator
// and the collector a call for each.
const slab = 128

func (p *Pool) newWaiter() *waiter {
	if len(p.waiterSlab) == 0 {
		p.waiterSlab = make([]waiter, slab)
	}
	w := &p.waiterSlab[0]
	p.waiterSlab = p.waiterSlab[1:]
	return w
}

func (p *Pool) newLease() *lease {
	if len(p.leaseSlab) == 0 {
		p.leaseSlab = make([]lease, slab)
	}
	l := &p.leaseSlab[0]
	p.leaseSlab = p.leaseSlab[1:]
	return l
}

// Withdraw takes a bid back: the caller left, or another owner granted first.
func (p *Pool) Withdraw(id uint64) {
	if w := p.waiting[id]; w != nil {
		w.class.forget(w)
		p.drop(w)
	}
}

// drop takes a waiter off the pool's own lists.
func (p *Pool) drop(w *waiter) {
	delete(p.waiting, w.bid.ID)
	g := p.ledger(w.bid.Box)
	g.waiting--
	g.waitingDigest ^= w.bid.ID
	if w.index >= 0 {
		heap.Remove(&p.expiry, w.index)
	}
	if w.bid.FromOtherDomain {
		w.class.visitors--
	}
}

// Usage is how a lease was used.
type Usage struct {
	Outcome          Outcome
	Tokens           int           // generated
	TimePerToken     time.Duration // for one token; 0 if unknown
	TimeToFirstToken time.Duration // from sending to the first token; 0 if unknown
	Attempt          uint32        // of the bid that the slot was granted for
}

// Release gives a slot back.
func (p *Pool) Release(now Time, id uint64, u Usage) {
	l := p.leases[id]
	if l == nil || u.Attempt != l.attempt {
		return // it speaks of a slot that was taken back already
	}
	b := l.backend
	switch u.Outcome {
	case Answered, Paused, Abandoned:
		b.succeeded()
		if u.TimePerToken > 0 {
			b.sample(u.TimePerToken.Seconds())
		}
		if u.TimeToFirstToken > 0 {
			p.first += time.Duration(firstMemory * float64(u.TimeToFirstToken-p.first))
		}
	case Failed:
		b.failed(now)
		p.refreshed = now - refreshEvery
	case Draining:
		p.saysLeaving(b, now)
		p.refreshed = now - refreshEvery
	}
	l.class.settle(l.customer, float64(u.Tokens)-l.work)
	p.end(l)
}

// end frees the slot of a lease.
func (p *Pool) end(l *lease) {
	l.gone = true
	l.backend.held--
	p.countFree(l.backend)
	l.class.running--
	if l.pausing {
		p.pausing = slices.DeleteFunc(p.pausing, func(m *lease) bool { return m == l })
		l.class.pausing--
	}
	delete(p.leases, l.id)
	p.ledger(l.box).remove(l.id)
}

// hold enters a lease into the books.
func (p *Pool) hold(now Time, l *lease) {
	p.leases[l.id] = l
	g := p.ledger(l.box)
	g.add(l.id)
	g.heard = now
	l.backend.held++
	p.countFree(l.backend)
	l.backend.fresh++
	l.backend.note(now)
	l.class.remember(l)
}

// remember keeps the newest leases last, for pausing; ended ones are dropped as
// they are met.
func (c *classQueue) remember(l *lease) {
	if len(c.leases) > 64 && len(c.leases) > 2*c.running {
		c.leases = slices.DeleteFunc(c.leases, func(l *lease) bool { return l.gone })
	}
	c.leases = append(c.leases, l)
}

func (p *Pool) freshen(now Time) {
	if now-p.refreshed >= refreshEvery {
		p.refresh(now)
	}
}
