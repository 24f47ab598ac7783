package decide

// This file defines a pool: the waiting requests and the slots of one upstream
// set in one failure domain, as its owner sees them. The invariants: a slot is
// never granted twice by one owner; grants go by tier, but for what floors take
// openly; every bid ends in exactly one grant, refusal or withdrawal.

import (
	"cmp"
	"container/heap"
	"math"
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
	// Arrival serves in the order of arrival, whatever the tier: a baseline.
	Arrival bool
	// KeepAbove is the number of slots held from which on holders may keep slots
	// for their next requests, while the pool has slots to spare; 0 is never.
	KeepAbove int
	// Seed makes the jitter of RetryAfter repeatable.
	Seed uint64
}

// KeptLife is how long a slot may be used again before it goes back, so that the
// owner's view of the upstreams, and not the past, decides where requests run.
const KeptLife = time.Minute

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

// ledger sums up the leases of one box, for comparison with its own count.
type ledger struct {
	count         int
	digest        uint64
	waiting       int
	waitingDigest uint64
	mismatch      int
	heard         Time // when the box last gave a sign of its leases
}

// Pool decides for one upstream set.
type Pool struct {
	cfg       PoolConfig
	random    *rand.Rand
	classes   []*classQueue // by tier, then in the table's order
	byClass   map[string]*classQueue
	backends  []*backend
	byName    map[string]*backend
	cached    map[uint64][]*backend // prefix to the upstreams that hold it
	waiting   map[uint64]*waiter
	expiry    expiryHeap
	leases    map[uint64]*lease
	ledgers   map[string]*ledger
	verdicts  []Verdict
	frees     []int // free slots of each backend
	spareW    []waiter
	spareL    []lease
	paces     []float64
	median    float64
	slots     int           // usable now, over all upstreams
	rate      float64       // tokens a second when full
	first     time.Duration // from sending to the first token, the recent mean
	refreshed Time
	pausing   []*lease // whose pause is ordered
	keptUntil Time     // until then slots may be kept by holders
	recalled  Time
	recallNow bool
	learnEnd  Time
	learnt    Time // when a lease granted by another owner was last learnt of
	unheard   map[string]bool
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

// Learn makes the pool grant only what the upstreams' own reports show free,
// until each of the boxes has said what it holds or the time for it is over. It
// is called when the ownership of the pool comes to this box.
func (p *Pool) Learn(now Time, boxes []string) {
	p.learnEnd = now + p.cfg.Learn
	clear(p.unheard)
	for _, b := range boxes {
		p.unheard[b] = true
	}
}

func (p *Pool) learning(now Time) bool {
	return len(p.unheard) > 0 && now < p.learnEnd
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

// fitQueues refuses the newest of what waits beyond limits that were lowered.
func (p *Pool) fitQueues(now Time) {
	for _, c := range p.classes {
		for c.rule.Queue > 0 && c.waiting > c.rule.Queue {
			p.refuse(now, c.tail(), OverClassLimit)
		}
	}
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
	if bid.Visitor {
		class.visitors++
	}
	p.schedule(w)
}

// slab is how many waiters or leases are made at once, which spares the allocator
// and the collector a call for each.
const slab = 128

func (p *Pool) newWaiter() *waiter {
	if len(p.spareW) == 0 {
		p.spareW = make([]waiter, slab)
	}
	w := &p.spareW[0]
	p.spareW = p.spareW[1:]
	return w
}

func (p *Pool) newLease() *lease {
	if len(p.spareL) == 0 {
		p.spareL = make([]lease, slab)
	}
	l := &p.spareL[0]
	p.spareL = p.spareL[1:]
	return l
}

// admit says why a new bid cannot wait here, or NoReason. A request that comes
// back after a pause was admitted before and is not asked again.
func (p *Pool) admit(now Time, w *waiter) Reason {
	rule := &w.class.rule
	if w.bid.Resume != "" {
		return NoReason
	}
	if rule.Queue > 0 && w.class.waiting >= rule.Queue {
		return OverClassLimit
	}
	if p.cfg.Queue > 0 && len(p.waiting) >= p.cfg.Queue && !p.evict(now, rule.Tier) {
		return QueueFull
	}
	if rule.Refuse && !p.cfg.Arrival && !p.inTime(now, w) {
		return Late
	}
	return NoReason
}

// evict refuses one request of a tier lower than tier, the lowest there is, and
// reports whether there was one.
func (p *Pool) evict(now Time, tier int) bool {
	for i := len(p.classes) - 1; i >= 0 && p.classes[i].rule.Tier > tier; i-- {
		if c := p.classes[i]; c.waiting > 0 {
			p.refuse(now, c.tail(), Evicted)
			return true
		}
	}
	return false
}

// inTime reports whether a new request can still meet its first-token target.
// While something of a lower tier runs that could be paused for it, it can.
func (p *Pool) inTime(now Time, w *waiter) bool {
	limit := p.waitLimit(w.class)
	if now-w.arrived >= limit {
		return false
	}
	ahead := 0
	for _, c := range p.classes {
		if c.rule.Tier <= w.class.rule.Tier {
			ahead += c.waiting
		}
	}
	if p.pausable(w.class.rule.Tier) > ahead {
		return true
	}
	return now-w.arrived+p.expectedWait(now, w.class) <= limit
}

// waitLimit is how long a request of the class may wait and still have its first
// token in time. An upstream's own time for that is taken off, but never more
// than half, so that a slow upstream does not close the class.
func (p *Pool) waitLimit(c *classQueue) time.Duration {
	return c.rule.FirstToken - min(p.first, c.rule.FirstToken/2)
}

// expectedWait is how long a new request of the class would wait: what is ahead
// of it in higher tiers and, by the class's share, in its own, over the pace at
// which the pool gets through work.
func (p *Pool) expectedWait(now Time, class *classQueue) time.Duration {
	p.freshen(now)
	higher, same, weights := 0.0, 0.0, 0.0
	for _, c := range p.classes {
		switch {
		case c.rule.Tier < class.rule.Tier:
			higher += c.work
		case c.rule.Tier == class.rule.Tier && (c.waiting > 0 || c == class):
			same += c.work
			weights += c.rule.Weight
		}
	}
	own := class.work * weights / class.rule.Weight
	seconds := (higher + min(same, own)) / p.rate
	if class.rule.Floor > 0 {
		// Whatever the tiers do, the floor gets through the class's own work.
		seconds = min(seconds, class.work/(class.rule.Floor*p.rate))
	}
	return time.Duration(seconds * float64(time.Second))
}

// pausable counts the running leases of tiers lower than tier, beyond what
// their floors protect.
func (p *Pool) pausable(tier int) int {
	if p.cfg.NoPause || p.cfg.Arrival {
		return 0
	}
	n := 0
	for _, c := range p.classes {
		if c.rule.Tier > tier {
			n += max(0, c.running-c.pausing-p.protected(c))
		}
	}
	return n
}

// protected is how many running leases of a class its floor keeps from being
// paused. A class that may run only once may not be paused at all.
func (p *Pool) protected(c *classQueue) int {
	if !c.rule.Repeatable {
		return c.running
	}
	return max(1, int(c.rule.Floor*float64(p.slots)))
}

// schedule files when something has to be done about a waiter: its caller's
// deadline passes, or its target does.
func (p *Pool) schedule(w *waiter) {
	w.target = w.arrived + p.waitLimit(w.class)
	w.expires = never
	if w.bid.Remaining > 0 {
		w.expires = w.offered + w.bid.Remaining
	}
	if !w.late && !p.cfg.Arrival {
		w.expires = min(w.expires, w.target)
	}
	if w.index >= 0 {
		heap.Fix(&p.expiry, w.index)
	} else if w.expires != never {
		heap.Push(&p.expiry, w)
	}
}

// expire deals with the waiters whose moment has come.
func (p *Pool) expire(now Time) {
	for len(p.expiry) > 0 && p.expiry[0].expires <= now {
		w := p.expiry[0]
		deadline := w.bid.Remaining > 0 && now >= w.arrived+w.bid.Waited+w.bid.Remaining
		if deadline || w.class.rule.Refuse && w.bid.Resume == "" {
			p.refuse(now, w, Late)
			continue
		}
		heap.Pop(&p.expiry)
		w.class.delay(w)
		p.schedule(w)
	}
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
	if w.bid.Visitor {
		w.class.visitors--
	}
}

// Usage is how a lease was used.
type Usage struct {
	Outcome Outcome
	Tokens  int           // generated
	Pace    time.Duration // for one token; 0 if unknown
	First   time.Duration // from sending to the first token; 0 if unknown
	Attempt uint32        // of the bid that the slot was granted for
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
		if u.Pace > 0 {
			b.sample(u.Pace.Seconds())
		}
		if u.First > 0 {
			p.first += time.Duration(firstMemory * float64(u.First-p.first))
		}
	case Failed:
		b.failed(now)
		p.refreshed = now - refreshEvery
	case Draining:
		p.setDraining(b, true)
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

func (p *Pool) ledger(box string) *ledger {
	g := p.ledgers[box]
	if g == nil {
		g = new(ledger)
		p.ledgers[box] = g
	}
	return g
}

// Expire ends the leases and drops the bids of boxes that have not renewed them
// for life, and returns those boxes.
func (p *Pool) Expire(now Time, life time.Duration) []string {
	var gone []string
	for box, g := range p.ledgers {
		if now-g.heard > life && !p.unheard[box] {
			gone = append(gone, box)
		}
	}
	slices.Sort(gone)
	for _, box := range gone {
		p.BoxGone(box)
	}
	return gone
}

func (g *ledger) add(id uint64) {
	g.count++
	g.digest ^= id
}

func (g *ledger) remove(id uint64) {
	g.count--
	g.digest ^= id
}

// Held is a lease as its holder lists it.
type Held struct {
	ID       uint64
	Upstream string
	Class    string
	Customer string
	Work     float64
	Attempt  uint32
}

// Sum is a holder's own account of its leases and bids in a pool.
type Sum struct {
	Count         int
	Digest        uint64 // exclusive-or of the ids
	WaitingCount  int
	WaitingDigest uint64
}

// Compare renews a holder's leases and reports whether it should send the full
// list, because its account differs from the pool's. One difference may be a
// message on its way; two are not.
func (p *Pool) Compare(now Time, box string, sum Sum) bool {
	g := p.ledger(box)
	g.heard = now
	if p.unheard[box] {
		return true
	}
	if (Sum{g.count, g.digest, g.waiting, g.waitingDigest}) == sum {
		g.mismatch = 0
		return false
	}
	g.mismatch++
	return g.mismatch >= 2
}

// Adopt takes a holder's full list as the truth about its leases.
func (p *Pool) Adopt(now Time, box string, list []Held, waiting []uint64) {
	listed := make(map[uint64]bool, len(list))
	for _, h := range list {
		listed[h.ID] = true
		p.adoptOne(now, box, h)
	}
	for _, l := range p.sortedLeases(box) {
		if !listed[l.id] && now-l.granted > settleTime {
			p.end(l)
		}
	}
	wanted := make(map[uint64]bool, len(waiting))
	for _, id := range waiting {
		wanted[id] = true
	}
	for _, w := range p.sortedWaiting(box) {
		if !wanted[w.bid.ID] && now-w.offered > settleTime {
			w.class.forget(w)
			p.drop(w)
		}
	}
	g := p.ledger(box)
	g.mismatch, g.heard = 0, now
	delete(p.unheard, box)
}

func (p *Pool) adoptOne(now Time, box string, h Held) {
	class, b := p.byClass[h.Class], p.byName[h.Upstream]
	if l := p.leases[h.ID]; l != nil && h.Attempt > l.attempt {
		p.end(l)
	}
	if p.leases[h.ID] != nil || class == nil || b == nil {
		return
	}
	if w := p.waiting[h.ID]; w != nil {
		if w.bid.Attempt > h.Attempt {
			return // the list is older than the bid
		}
		class.forget(w)
		p.drop(w)
	}
	l := &lease{id: h.ID, box: box, class: class, customer: h.Customer, backend: b, work: h.Work, granted: now, attempt: h.Attempt}
	class.running++
	p.learnt = now
	p.hold(now, l)
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

// BoxGone drops what a dead box held and waited for. Its connections to the
// upstreams died with it.
func (p *Pool) BoxGone(box string) {
	for _, l := range p.sortedLeases(box) {
		p.end(l)
	}
	for _, w := range p.sortedWaiting(box) {
		w.class.forget(w)
		p.drop(w)
	}
	delete(p.ledgers, box)
	delete(p.unheard, box)
}

// sortedLeases lists the leases of a box by their ids: sums of work come out the
// same in every run only if they are added in one order.
func (p *Pool) sortedLeases(box string) []*lease {
	var out []*lease
	for _, l := range p.leases {
		if l.box == box {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *lease) int { return cmp.Compare(a.id, b.id) })
	return out
}

// sortedWaiting lists what waits of a box, or of all if box is empty, by id.
func (p *Pool) sortedWaiting(box string) []*waiter {
	var out []*waiter
	for _, w := range p.waiting {
		if box == "" || w.bid.Box == box {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *waiter) int { return cmp.Compare(a.bid.ID, b.bid.ID) })
	return out
}

func (p *Pool) freshen(now Time) {
	if now-p.refreshed >= refreshEvery {
		p.refresh(now)
	}
}

// Decide settles all that can be settled now. The verdicts are valid until the
// next call of any method.
func (p *Pool) Decide(now Time) []Verdict {
	p.freshen(now)
	p.expire(now)
	for len(p.waiting) > 0 {
		w := p.next(now)
		if w == nil {
			break
		}
		b := p.choose(now, &w.bid)
		if b == nil {
			p.pauseFor(now)
			break
		}
		p.grant(now, w, b)
	}
	out := p.verdicts
	p.verdicts = p.verdicts[:0]
	return out
}

// next returns the request that is to have the next free slot, or nil: one that
// a floor owes its slot, or else the first of the highest tier.
func (p *Pool) next(now Time) *waiter {
	if p.cfg.Arrival {
		return p.oldest()
	}
	if w := p.owed(); w != nil {
		return w
	}
	for i := 0; i < len(p.classes); {
		j := i
		for j < len(p.classes) && p.classes[j].rule.Tier == p.classes[i].rule.Tier {
			j++
		}
		if w := mostUrgent(now, p.classes[i:j]); w != nil {
			return w
		}
		i = j
	}
	return nil
}

func (p *Pool) oldest() *waiter {
	var first *waiter
	for _, c := range p.classes {
		if w := c.head(); w != nil && c.backlogged() && (first == nil || w.arrived < first.arrived) {
			first = w
		}
	}
	return first
}

// owed returns the head of the class whose floor is furthest behind, or nil.
func (p *Pool) owed() *waiter {
	var best *waiter
	most := 0.0
	for _, c := range p.classes {
		if c.credit <= most || !c.backlogged() {
			continue
		}
		if w := c.head(); w != nil && c.credit >= w.bid.Work {
			best, most = w, c.credit
		}
	}
	return best
}

// mostUrgent picks among the classes of one tier: of those not too far ahead of
// their share, the one whose head has the least slack. Heads that have missed
// their target come after those that can still meet it. A visitor comes after
// the domain's own.
func mostUrgent(now Time, classes []*classQueue) *waiter {
	least := leastOf(classes)
	var best *waiter
	for _, c := range classes {
		if !c.backlogged() || c.vtime > least+leadTokens {
			continue
		}
		w := c.head()
		if w != nil && (best == nil || before(now, w, best)) {
			best = w
		}
	}
	return best
}

func before(now Time, a, b *waiter) bool {
	if a.bid.Visitor != b.bid.Visitor {
		return b.bid.Visitor
	}
	lateA, lateB := now >= a.target, now >= b.target
	if lateA != lateB {
		return lateB
	}
	return a.target < b.target
}

// leastOf is the least virtual time of the classes that have something to run.
func leastOf(classes []*classQueue) float64 {
	least, found := 0.0, false
	for _, c := range classes {
		if c.backlogged() && (!found || c.vtime < least) {
			least, found = c.vtime, true
		}
	}
	return least
}

// leastVtime is the least virtual time of the other classes of its tier that
// wait; a class that comes back after a while starts from there.
func (p *Pool) leastVtime(class *classQueue) float64 {
	least, found := class.vtime, false
	for _, c := range p.classes {
		if c != class && c.rule.Tier == class.rule.Tier && c.waiting > 0 && (!found || c.vtime < least) {
			least, found = c.vtime, true
		}
	}
	return least
}

// grant gives a slot of b to w.
func (p *Pool) grant(now Time, w *waiter, b *backend) {
	p.accrue(w)
	w.class.granted(w)
	p.drop(w)
	l := p.newLease()
	*l = lease{id: w.bid.ID, box: w.bid.Box, class: w.class, customer: w.bid.Customer,
		backend: b, work: w.bid.Work, granted: now, queued: now - w.offered, attempt: w.bid.Attempt}
	p.hold(now, l)
	p.cache(b, w.bid.Prefix)
	if l.keep = p.keep(w.class); l.keep > 0 {
		p.keptUntil = now + KeptLife
	}
	p.emitGrant(l)
}

// keep is how long a slot granted now may be kept after its answer. In a large
// pool asking for each costs more than the slots that lie idle; but
// what is kept is out of the tiers' reach until it is recalled, so nothing is
// kept when slots are short, nor of a class whose concurrency is limited.
func (p *Pool) keep(c *classQueue) time.Duration {
	busy := float64(len(p.leases)) > keepBusy*float64(p.slots)
	if p.cfg.KeepAbove == 0 || len(p.leases) < p.cfg.KeepAbove || busy || c.rule.Concurrency != 0 {
		return 0
	}
	return keepTime
}

// Recall reports whether kept slots are wanted back: something waits and no slot
// is free, or an upstream is leaving. It says so at most every recallEvery.
func (p *Pool) Recall(now Time) bool {
	short := len(p.waiting) > 0 && now-p.recalled >= recallEvery
	if now > p.keptUntil || !short && !p.recallNow {
		return false // nothing can be kept, or nothing is wanted
	}
	p.recallNow = false
	p.recalled = now
	return true
}

// Holders lists the boxes that hold slots, sorted.
func (p *Pool) Holders() []string {
	var out []string
	for box, g := range p.ledgers {
		if g.count > 0 {
			out = append(out, box)
		}
	}
	slices.Sort(out)
	return out
}

// accrue credits the floors of the classes that wait with their share of the
// work granted, and debits the class that got it. So a class with floor f whose
// next request is w tokens long gets it at the latest when w/f tokens have been
// granted in the pool.
func (p *Pool) accrue(w *waiter) {
	for _, c := range p.classes {
		if c.waiting == 0 {
			c.credit = 0
			continue
		}
		c.credit += c.rule.Floor * w.bid.Work
	}
	w.class.credit = max(0, w.class.credit-w.bid.Work)
}

func (p *Pool) emitGrant(l *lease) {
	p.verdicts = append(p.verdicts, Verdict{Kind: GrantSlot, ID: l.id, Box: l.box,
		Class: l.class.rule.Class, Tier: l.class.rule.Tier, Upstream: l.backend.Name, Queued: l.queued, Keep: l.keep, Attempt: l.attempt})
}

// pauseFor pauses running requests of lower tiers for waiting ones that would
// otherwise miss their target.
func (p *Pool) pauseFor(now Time) {
	if p.cfg.NoPause || p.cfg.Arrival {
		return
	}
	underWay := p.orderAgain(now)
	wanted := 0
	for _, c := range p.classes {
		if !c.backlogged() {
			continue
		}
		wanted += c.urgent(now, 0, pausesAtOnce)
		for underWay < wanted && p.pauseOne(now, c.rule.Tier) {
			underWay++
		}
	}
}

// pauseOne pauses the newest lease of the lowest tier below tier.
func (p *Pool) pauseOne(now Time, tier int) bool {
	for i := len(p.classes) - 1; i >= 0 && p.classes[i].rule.Tier > tier; i-- {
		c := p.classes[i]
		if c.running-c.pausing <= p.protected(c) {
			continue
		}
		for j := len(c.leases) - 1; j >= 0; j-- {
			if l := c.leases[j]; !l.gone && !l.pausing && l.backend.Pausing {
				l.pausing, l.pausedAt = true, now
				c.pausing++
				p.pausing = append(p.pausing, l)
				p.orderPause(now, l)
				return true
			}
		}
	}
	return false
}

// orderAgain repeats the orders to pause that may have been lost, and counts
// those that can be expected to take effect. A holder that does not answer must
// not stand in the way of others.
func (p *Pool) orderAgain(now Time) int {
	p.dropOrders()
	underWay := 0
	for _, l := range p.pausing {
		if now-l.pausedAt < 2*pauseRepeat {
			underWay++
		}
		if now-l.ordered >= pauseRepeat {
			p.orderPause(now, l)
		}
	}
	return underWay
}

// dropOrders forgets the orders to pause whose reason is gone: nothing of a higher
// tier waits any more. The holder may have paused already, which does no harm.
func (p *Pool) dropOrders() {
	highest := math.MaxInt
	for _, c := range p.classes {
		if c.backlogged() {
			highest = min(highest, c.rule.Tier)
		}
	}
	p.pausing = slices.DeleteFunc(p.pausing, func(l *lease) bool {
		if l.class.rule.Tier > highest {
			return false
		}
		l.pausing = false
		l.class.pausing--
		return true
	})
}

func (p *Pool) orderPause(now Time, l *lease) {
	l.ordered = now
	p.verdicts = append(p.verdicts, Verdict{Kind: PauseLease, ID: l.id, Box: l.box,
		Class: l.class.rule.Class, Tier: l.class.rule.Tier, Upstream: l.backend.Name})
}

// refuseNew refuses a bid that was never let in. One whose target passes before
// anything could give way for it is late by itself, so it needs no evidence.
func (p *Pool) refuseNew(now Time, w *waiter, reason Reason) {
	v := Verdict{Kind: RefuseBid, ID: w.bid.ID, Box: w.bid.Box, Class: w.bid.Class, Reason: reason}
	if w.class != nil {
		v.Tier = w.class.rule.Tier
		if now < w.target || now-max(w.offered, p.learnt) >= giveWayTime {
			p.evidence(now, &v)
		}
		v.RetryAfter = p.retryAfter(now, w.class)
	} else {
		v.RetryAfter = time.Second
	}
	p.verdicts = append(p.verdicts, v)
}

// refuse refuses a request that waits.
func (p *Pool) refuse(now Time, w *waiter, reason Reason) {
	w.class.forget(w)
	p.drop(w)
	p.refuseNew(now, w, reason)
}

// evidence counts what of a lower tier could have given way to w.
func (p *Pool) evidence(now Time, v *Verdict) {
	switch v.Reason {
	case QueueFull, Evicted:
		for _, c := range p.classes {
			if c.rule.Tier > v.Tier {
				v.LowerWaiting += c.waiting
			}
		}
	case Late:
		ahead := 0
		for _, c := range p.classes {
			if c.rule.Tier <= v.Tier {
				ahead += c.waiting
			}
		}
		v.LowerRunning = max(0, p.pausable(v.Tier)-p.recent(now, v.Tier)-ahead)
	}
}

// recent counts the leases of lower tiers that were granted so lately, by a floor
// as a rule, that they could not have given way yet.
func (p *Pool) recent(now Time, tier int) int {
	n := 0
	for _, c := range p.classes {
		if c.rule.Tier <= tier {
			continue
		}
		for i := len(c.leases) - 1; i >= 0 && now-c.leases[i].granted < giveWayTime; i-- {
			if l := c.leases[i]; !l.gone && !l.pausing {
				n++
			}
		}
	}
	return n
}

// retryAfter tells a caller when to come back: once what waits now will have
// been worked off, with jitter so that those refused together do not return
// together.
func (p *Pool) retryAfter(now Time, class *classQueue) time.Duration {
	wait := max(p.expectedWait(now, class), time.Second)
	return wait + time.Duration(p.random.Float64()*float64(wait)/2)
}

// TakeSurplus takes out the requests that are next, have waited for at least
// patience, and for whose tier there is room elsewhere, so that they can bid in
// another failure domain.
func (p *Pool) TakeSurplus(now Time, patience time.Duration, room func(tier int) bool) []Bid {
	var out []Bid
	for {
		w := p.next(now)
		if w == nil || w.bid.Visitor || w.bid.Resume != "" || now-w.offered < patience || !room(w.class.rule.Tier) {
			break
		}
		out = append(out, w.bid)
		w.class.forget(w)
		p.drop(w)
	}
	return out
}

// Counts sums up a pool for status and for the summary between domains.
type Counts struct {
	Waiting int
	Running int
	Slots   int
}

// Counts returns the pool's state.
func (p *Pool) Counts(now Time) Counts {
	p.freshen(now)
	c := Counts{Waiting: len(p.waiting), Running: len(p.leases), Slots: p.slots}
	return c
}

// SpareFor counts the slots that a request of the tier from elsewhere could have:
// free ones, and those of lower tiers beyond what their floors protect, less what
// waits of its tier and higher ones here.
func (p *Pool) SpareFor(now Time, tier int) int {
	p.freshen(now)
	n := p.slots
	for _, c := range p.classes {
		if c.rule.Tier <= tier {
			n -= c.running + c.waiting
		} else {
			n -= min(c.running, p.protected(c))
		}
	}
	return max(0, n)
}

// Tiers is the number of the lowest tier of the pool's classes.
func (p *Pool) Tiers() int {
	if len(p.classes) == 0 {
		return 0
	}
	return p.classes[len(p.classes)-1].rule.Tier
}
