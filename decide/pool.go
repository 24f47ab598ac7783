package decide

// This file defines a pool: the waiting requests and the slots of one upstream set
// in one failure domain, as seen by the box that owns it. The invariants: one owner
// never grants a slot twice; grants follow the tiers except for the guaranteed
// floors; every bid ends in exactly one grant, refusal or withdrawal.

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Queue is the maximum number of waiting requests over all classes.
	Queue int
	// LearnPeriod is how long a new owner waits for the boxes to list their leases.
	LearnPeriod time.Duration
	// NoPause disables pausing of lower tiers, to measure its benefit.
	NoPause bool
	// RetainAbove is the number of leases from which on holders may retain slots
	// for their next requests while the pool has spare slots; 0 disables it.
	RetainAbove int
	// Seed makes the jitter of RetryAfter reproducible.
	Seed uint64
}

const (
	// maxLeadTokens is how far, in tokens divided by weight, a class may run ahead
	// of the others of its tier because its requests are more urgent.
	maxLeadTokens = 4000
	// refreshInterval is the maximum age of the derived state of the upstreams.
	refreshInterval = 50 * time.Millisecond
	// adoptGrace is how long a lease is kept although its holder does not list it:
	// the grant may have been in transit when the list was made.
	adoptGrace = 2 * time.Second
	// maxPausesPerClass is the maximum number of concurrent pauses for one class.
	maxPausesPerClass = 64
	// maxRetainUtilization is the share of slots in use above which none is retained.
	maxRetainUtilization = 0.85
	// retainTime is how long a holder retains a slot for its next request.
	retainTime = 3 * time.Second
	// recallInterval is the minimum time between recalls. After a recall, holders
	// stop retaining slots for a period longer than this interval.
	recallInterval = 900 * time.Millisecond
	// preemptTime is how long it takes a request of a lower tier to give way.
	preemptTime = pauseRepeatInterval
	// firstTokenSampleWeight is the weight of a new sample of the time to first token.
	firstTokenSampleWeight = 0.05
	// pauseRepeatInterval is how long a pause order may take before it is repeated.
	pauseRepeatInterval = 300 * time.Millisecond
	// never is later than any other time.
	never = Time(1<<63 - 1)
)

// lease is a granted slot.
type lease struct {
	id          uint64
	box         string
	class       *classQueue
	customer    string
	backend     *backend
	work        float64
	granted     Time
	queued      time.Duration // how long the bid waited in this pool
	retainFor   time.Duration
	attempt     uint32
	pausing     bool
	pausedAt    Time // when the pause was first ordered
	lastOrdered Time // when the pause was last ordered
	ended       bool // no longer valid, but possibly still in classQueue.leases
}

// Pool schedules the requests for one upstream set.
type Pool struct {
	cfg              PoolConfig
	random           *rand.Rand
	classes          []*classQueue // by tier, then in the order of the table
	byClass          map[string]*classQueue
	backends         []*backend
	byName           map[string]*backend
	prefixHolders    map[uint64][]*backend // upstreams that have a prefix cached
	waiting          map[uint64]*waiter
	expiry           expiryHeap
	leases           map[uint64]*lease
	ledgers          map[string]*ledger // by box
	verdicts         []Verdict          // not returned by Decide yet
	freeSlots        []int              // free slots of each backend, by index
	waiterSlab       []waiter
	leaseSlab        []lease
	timesPerToken    []float64       // scratch buffer for updateMedian
	median           float64         // median time per token of the upstreams, in seconds
	slots            int             // usable slots over all upstreams
	rate             float64         // tokens per second with all slots in use
	timeToFirstToken time.Duration   // moving average, from sending a request to its first token
	refreshed        Time            // last call of refresh
	pausing          []*lease        // leases with a pause order
	retainedUntil    Time            // until when holders may retain slots
	lastRecall       Time            // when retained slots were last recalled
	recallPending    bool            // an upstream stopped taking requests
	learnUntil       Time            // end of the learning period of a new owner
	lastAdopted      Time            // when a lease granted by another owner was last adopted
	pendingBoxes     map[string]bool // boxes that have not listed their leases yet
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{
		cfg:           cfg,
		random:        rand.New(rand.NewPCG(cfg.Seed, 1)),
		byClass:       make(map[string]*classQueue),
		byName:        make(map[string]*backend),
		prefixHolders: make(map[uint64][]*backend),
		waiting:       make(map[uint64]*waiter),
		leases:        make(map[uint64]*lease),
		ledgers:       make(map[string]*ledger),
		pendingBoxes:  make(map[string]bool),
		median:        defaultTimePerToken,
		rate:          1,
		refreshed:     -refreshInterval,
	}
}

// SetRules applies the rows of the table, also to requests that wait already. queue
// is the maximum number of waiting requests over all classes.
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
	for _, w := range p.sortedWaiters("") {
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

// SetBackends replaces the upstreams of the pool. The state of those that stay is
// kept.
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
	p.freeSlots = make([]int, len(p.backends))
	for name, b := range old {
		if p.byName[name] == nil {
			p.clearPrefixes(b)
		}
	}
	p.refreshed = now - refreshInterval
}

// Report applies an upstream's report. Reports of unknown upstreams are ignored.
func (p *Pool) Report(now Time, r Report) {
	if b := p.byName[r.Upstream]; b != nil {
		p.applyReport(now, b, r)
		p.refreshed = now - refreshInterval
	}
}

// Offer adds a bid. A holder that gets no answer sends its bid again, so a bid may
// arrive more than once.
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
		// The holder has released this slot and its message is in transit. A grant
		// repeated now would be used after the slot was freed.
		p.endLease(l)
	}
	if w := p.waiting[bid.ID]; w != nil {
		if bid.Attempt <= w.bid.Attempt {
			return
		}
		w.class.removeWaiter(w)
		p.removeWaiter(w)
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
	g.lastRenewed = now
	class.push(w)
	if class.waiting == 1 {
		class.virtualTime = max(class.virtualTime, p.minVirtualTimeOfPeers(class))
	}
	if bid.FromOtherDomain {
		class.waitingFromOtherDomains++
	}
	p.schedule(w)
}

// slabSize is how many waiters or leases are allocated at once, which reduces the
// load on the allocator and the garbage collector.
const slabSize = 128

func (p *Pool) newWaiter() *waiter {
	if len(p.waiterSlab) == 0 {
		p.waiterSlab = make([]waiter, slabSize)
	}
	w := &p.waiterSlab[0]
	p.waiterSlab = p.waiterSlab[1:]
	return w
}

func (p *Pool) newLease() *lease {
	if len(p.leaseSlab) == 0 {
		p.leaseSlab = make([]lease, slabSize)
	}
	l := &p.leaseSlab[0]
	p.leaseSlab = p.leaseSlab[1:]
	return l
}

// Withdraw removes a bid, because the caller disconnected or another owner granted
// it first.
func (p *Pool) Withdraw(id uint64) {
	if w := p.waiting[id]; w != nil {
		w.class.removeWaiter(w)
		p.removeWaiter(w)
	}
}

// removeWaiter removes a waiter from the pool's own indexes, but not from its class.
func (p *Pool) removeWaiter(w *waiter) {
	delete(p.waiting, w.bid.ID)
	g := p.ledger(w.bid.Box)
	g.waiting--
	g.waitingDigest ^= w.bid.ID
	if w.index >= 0 {
		heap.Remove(&p.expiry, w.index)
	}
	if w.bid.FromOtherDomain {
		w.class.waitingFromOtherDomains--
	}
}

// Usage describes how a lease was used.
type Usage struct {
	Outcome          Outcome
	Tokens           int           // number of generated tokens
	TimePerToken     time.Duration // 0 if unknown
	TimeToFirstToken time.Duration // from sending the request; 0 if unknown
	Attempt          uint32        // of the bid that the slot was granted for
}

// Release ends the lease of a request and records how it was used.
func (p *Pool) Release(now Time, id uint64, u Usage) {
	l := p.leases[id]
	if l == nil || u.Attempt != l.attempt {
		return // the slot was freed already
	}
	b := l.backend
	switch u.Outcome {
	case Answered, Paused, Abandoned:
		b.succeeded()
		if u.TimePerToken > 0 {
			b.sample(u.TimePerToken.Seconds())
		}
		if u.TimeToFirstToken > 0 {
			p.timeToFirstToken += time.Duration(firstTokenSampleWeight * float64(u.TimeToFirstToken-p.timeToFirstToken))
		}
	case Failed:
		b.failed(now)
		p.refreshed = now - refreshInterval
	case Draining:
		p.noteLeaving(b, now)
		p.refreshed = now - refreshInterval
	}
	l.class.adjustCharge(l.customer, float64(u.Tokens)-l.work)
	p.endLease(l)
}

// endLease removes a lease and frees its slot.
func (p *Pool) endLease(l *lease) {
	l.ended = true
	l.backend.held--
	p.updateFreeSlots(l.backend)
	l.class.running--
	if l.pausing {
		p.pausing = slices.DeleteFunc(p.pausing, func(m *lease) bool { return m == l })
		l.class.pausing--
	}
	delete(p.leases, l.id)
	p.ledger(l.box).remove(l.id)
}

// addLease records a lease in all indexes.
func (p *Pool) addLease(now Time, l *lease) {
	p.leases[l.id] = l
	g := p.ledger(l.box)
	g.add(l.id)
	g.lastRenewed = now
	l.backend.held++
	p.updateFreeSlots(l.backend)
	l.backend.grantedSinceReport++
	l.backend.recordHeld(now)
	l.class.addLease(l)
}

// addLease appends a lease to the list that pauses search from the newest one. Ended
// leases are removed now and then.
func (c *classQueue) addLease(l *lease) {
	if len(c.leases) > 64 && len(c.leases) > 2*c.running {
		c.leases = slices.DeleteFunc(c.leases, func(l *lease) bool { return l.ended })
	}
	c.leases = append(c.leases, l)
}

// refreshIfStale calls refresh if the last call is refreshInterval ago or more.
func (p *Pool) refreshIfStale(now Time) {
	if now-p.refreshed >= refreshInterval {
		p.refresh(now)
	}
}
