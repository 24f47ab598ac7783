package cell

// This file defines the owner's side of slot leases: which box decides for
// which upstream set, and how verdicts reach the holders. Invariant: a box
// decides for a set only while it is the owner in its own view, and a new
// owner grants only what the upstreams report as free until it knows what
// the other boxes hold.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// keepSlotsAbove is the number of held slots of a set above which holders
// keep slots. Below it, asking for each slot costs little and places
// requests better. The number of grants is no measure of this: it falls
// because slots are kept.
const keepSlotsAbove = 500

// sets returns the upstream sets of the table, sorted.
func (n *Node) sets() []string {
	if n.table == nil {
		return nil
	}
	var out []string
	for _, c := range n.table.Classes {
		if !slices.Contains(out, c.Set) {
			out = append(out, c.Set)
		}
	}
	slices.Sort(out)
	return out
}

// updateOwners computes the owner of each set and acts on changes.
func (n *Node) updateOwners() {
	if !n.joined || n.table == nil {
		return
	}
	candidates := []string{n.cfg.Box}
	if !n.cfg.Standalone {
		candidates = n.members.candidates(n.draining)
	}
	if slices.Equal(candidates, n.candidates) && n.table == n.ownersTable {
		return
	}
	n.candidates, n.ownersTable = candidates, n.table
	sets := n.sets()
	for _, set := range sets {
		owner := decide.Owner("set/"+set, candidates)
		if owner != n.owners[set] {
			n.owners[set] = owner
			n.ownerChanged(set, owner)
		}
	}
	for set := range n.pools {
		if !slices.Contains(sets, set) {
			n.dropOwnership(set)
		}
	}
}

func (n *Node) ownerChanged(set, owner string) {
	if owner == n.cfg.Box {
		n.takeOwnership(set)
	} else if n.pools[set] != nil {
		n.dropOwnership(set)
	}
	n.rebidSet(set)
}

func (n *Node) takeOwnership(set string) {
	cfg := n.cfg.Pool
	cfg.LearnPeriod = n.timing.OwnerLearnTime
	if cfg.RetainAbove == 0 {
		cfg.RetainAbove = keepSlotsAbove
	}
	cfg.Seed = n.cfg.Seed ^ n.cfg.Boot
	p := decide.NewPool(cfg)
	n.pools[set] = p
	n.configurePool(set)
	live := n.members.live()
	if !n.cfg.Standalone && !n.cfg.Disabled.OwnerLearning && len(live) > 0 {
		p.StartLearning(n.now, live)
	}
	p.Adopt(n.now, n.cfg.Box, n.heldIn(set, n.cfg.Box), nil)
	n.orders[set] = decide.NewOrders(n.now, n.timing.LeaseLife)
	n.dirty[set] = true
	n.record(timeline.Event{Kind: timeline.Owning, Set: set, Value: int64(len(live))})
}

func (n *Node) dropOwnership(set string) {
	delete(n.pools, set)
	delete(n.orders, set)
	delete(n.dirty, set)
	n.record(timeline.Event{Kind: timeline.OwnershipLost, Set: set})
}

// configurePool applies the rules and upstreams of the table to a pool.
func (n *Node) configurePool(set string) {
	if n.table == nil {
		return
	}
	p := n.pools[set]
	p.SetRules(n.now, n.rules(set), n.table.QueueLimit(set))
	p.SetBackends(n.now, n.backends(set))
	n.dirty[set] = true
}

func (n *Node) rules(set string) []decide.Rule {
	var out []decide.Rule
	for i := range n.table.Classes {
		if c := &n.table.Classes[i]; c.Set == set {
			out = append(out, n.rule(c))
		}
	}
	return out
}

func (n *Node) rule(c *table.Class) decide.Rule {
	r := decide.Rule{
		Class:       c.Name,
		Tier:        c.Tier,
		Weight:      c.Weight,
		Floor:       c.Floor,
		FirstToken:  c.FirstToken.Std(),
		Queue:       c.Queue,
		Concurrency: c.Concurrency,
		RefuseLate:  c.OnLate == table.Refuse,
		Repeatable:  c.Repeatable,
	}
	if c.Scope == table.ScopeAll && c.Concurrency > 0 {
		r.Concurrency = n.domainPart("class/"+c.Name, c.Concurrency)
	}
	return r
}

// domainPart returns this domain's fixed part of a limit that all domains
// share. A part of 0 would mean no limit, so a domain whose part is 0 gets a
// limit of -1, which runs no request of the class.
func (n *Node) domainPart(key string, limit int) int {
	var domains []string
	for _, u := range n.table.Upstreams {
		if !slices.Contains(domains, u.Domain) {
			domains = append(domains, u.Domain)
		}
	}
	rank := decide.Rank(key, n.cfg.Domain, domains)
	part := int(decide.ShareSize(decide.ConcurrencyLimit, float64(limit), len(domains), rank))
	if part == 0 {
		return -1
	}
	return part
}

// backends returns the upstreams of a set in this domain, each marked as
// leaving if the platform's list says so.
func (n *Node) backends(set string) []decide.Backend {
	var out []decide.Backend
	for _, u := range n.table.Upstreams {
		if u.Set != set || u.Domain != n.cfg.Domain {
			continue
		}
		b := decide.Backend{Name: u.Name, Slots: u.Slots, CanPause: u.Kind == table.Engine, Model: u.Model,
			Leaving: slices.Contains(n.roster.Leaving, u.Name)}
		if n.cfg.StaticSplit {
			b.Slots = n.fixedPart(u.Name, u.Slots)
		}
		if b.Slots > 0 {
			out = append(out, b)
		}
	}
	return out
}

// fixedPart returns this box's fixed part of an upstream's slots.
func (n *Node) fixedPart(upstream string, slots int) int {
	boxes := n.listedBoxes()
	rank := decide.Rank("split/"+upstream, n.cfg.Box, boxes)
	return int(decide.ShareSize(decide.ConcurrencyLimit, float64(slots), len(boxes), rank))
}

// Owned returns the sets that this box owns, sorted.
func (n *Node) Owned() []string {
	var out []string
	for set := range n.pools {
		out = append(out, set)
	}
	slices.Sort(out)
	return out
}

// Watched returns the upstreams whose reports this box needs: those of its
// sets.
func (n *Node) Watched() []string {
	var out []string
	for _, set := range n.Owned() {
		for _, b := range n.backends(set) {
			out = append(out, b.Name)
		}
	}
	return out
}

// Report handles an upstream's report on itself.
func (n *Node) Report(now time.Duration, r decide.Report) {
	n.advanceTo(now)
	for set, p := range n.pools {
		p.Report(now, r)
		n.dirty[set] = true
	}
	n.orderLoads(r)
	n.flush()
}

// orderLoads compares the model that an engine has loaded with the one in
// its table row, and issues the load orders that are due in its set.
func (n *Node) orderLoads(r decide.Report) {
	u := n.upstreamRow(r.Upstream)
	if u == nil || n.orders[u.Set] == nil {
		return
	}
	o := n.orders[u.Set]
	o.Observe(decide.EngineState{Upstream: u.Name, WantedModel: u.Model, ChecksFence: u.ChecksFence, Loaded: r.Loaded, Loading: r.Loading, Fence: r.Fence})
	for _, next := range o.Next(n.now) {
		n.record(timeline.Event{Kind: timeline.Ordered, Upstream: next.Upstream, Set: u.Set, Reason: next.Model, Revision: next.Fence})
		n.addAction(Action{Kind: IssueLoadOrder, Upstream: next.Upstream, Order: next})
	}
}

func (n *Node) upstreamRow(name string) *table.Upstream {
	if n.table == nil {
		return nil
	}
	for i := range n.table.Upstreams {
		if n.table.Upstreams[i].Name == name {
			return &n.table.Upstreams[i]
		}
	}
	return nil
}

// Counts returns the counts of a set that this box owns, or zero counts.
func (n *Node) Counts(set string) decide.Counts {
	if p := n.pools[set]; p != nil {
		return p.Counts(n.now)
	}
	return decide.Counts{}
}

func (n *Node) onBid(from string, m *Bid) {
	p := n.pools[m.Set]
	if p == nil {
		return // the sender finds the owner from its own view
	}
	b := m.Bid
	b.Box = from
	p.Offer(n.now, b)
	n.dirty[m.Set] = true
}

func (n *Node) onWithdraw(m *Withdraw) {
	if p := n.pools[m.Set]; p != nil {
		p.Withdraw(m.ID)
		n.dirty[m.Set] = true
	}
}

func (n *Node) onRelease(m *Release) {
	if p := n.pools[m.Set]; p != nil {
		p.ApplyNotice(n.now, m.Upstream, m.Notice)
		p.Release(n.now, m.ID, decide.Usage{Outcome: m.Outcome, Tokens: m.Tokens, TimePerToken: m.TimePerToken, TimeToFirstToken: m.TimeToFirstToken, Attempt: m.Attempt})
		n.dirty[m.Set] = true
	}
}

func (n *Node) onHolding(from string, m *Holding) {
	p := n.pools[m.Set]
	if p == nil {
		return
	}
	if m.WaitingCount > 0 && !m.Full && n.now-n.lastSent[from] >= n.timing.WaitingRenewInterval {
		n.sendHeartbeat([]string{from}) // a box with waiting bids needs to hear that the owner is alive
	}
	if m.Full {
		p.Adopt(n.now, from, m.Held, m.Waiting)
		n.dirty[m.Set] = true
		return
	}
	if p.Renew(n.now, from, decide.LeaseSummary{Count: m.Count, Digest: m.Digest, WaitingCount: m.WaitingCount, WaitingDigest: m.WaitingDigest}) {
		n.send(from, &HoldingAsk{Set: m.Set})
	}
}

// expireLeases ends the leases of boxes that have not renewed them.
func (n *Node) expireLeases() {
	for set, p := range n.pools {
		if gone := p.Expire(n.now, n.timing.LeaseLife); len(gone) > 0 {
			n.dirty[set] = true
		}
	}
}

// flush lets the dirty pools decide, and delivers their verdicts. A verdict
// for this box may make pools dirty again, so it repeats up to four times.
func (n *Node) flush() {
	for range 4 {
		decided := false
		for _, set := range n.dirtySets() {
			decided = true
			delete(n.dirty, set)
			n.decideSet(set)
		}
		if !decided {
			return
		}
	}
}

func (n *Node) dirtySets() []string {
	if len(n.dirty) == 0 {
		return nil
	}
	out := make([]string, 0, len(n.dirty))
	for set := range n.dirty {
		out = append(out, set)
	}
	slices.Sort(out)
	return out
}

func (n *Node) decideSet(set string) {
	p := n.pools[set]
	if p == nil || !n.joined && !n.cfg.Standalone {
		return
	}
	// Handling a verdict may change the pool, so the list is copied first.
	start := len(n.verdicts)
	n.verdicts = append(n.verdicts, p.Decide(n.now)...)
	for i := start; i < len(n.verdicts); i++ {
		n.deliverVerdict(set, n.verdicts[i])
	}
	n.verdicts = n.verdicts[:start]
	if p.ShouldRecall(n.now) {
		for _, box := range p.Holders() {
			n.deliver(box, &Recall{Set: set})
		}
	}
	n.overflow(set, p)
}

func (n *Node) deliverVerdict(set string, v decide.Verdict) {
	switch v.Kind {
	case decide.GrantSlot:
		n.record(timeline.Event{Kind: timeline.Granted, Request: v.ID, Class: v.Class, Tier: v.Tier, Upstream: v.Upstream, Set: set})
		n.deliver(v.Box, &Grant{Set: set, ID: v.ID, Upstream: v.Upstream, StartBy: v.Queued + n.timing.StartBy, KeepFor: v.RetainFor, Attempt: v.Attempt})
	case decide.RefuseBid:
		r := &Refusal{Set: set, ID: v.ID, Reason: v.Reason, RetryAfter: v.RetryAfter,
			LowerWaiting: v.LowerWaiting, LowerRunning: v.LowerRunning}
		r.Redirect = n.redirectTarget(set, v.Tier, v.Reason)
		n.deliver(v.Box, r)
	case decide.PauseLease:
		n.record(timeline.Event{Kind: timeline.PauseOrdered, Request: v.ID, Class: v.Class, Tier: v.Tier, Upstream: v.Upstream, Set: set})
		n.deliver(v.Box, &Preempt{Set: set, ID: v.ID})
	}
}

// deliver sends a message to a box, or handles it directly if the box is
// this one.
func (n *Node) deliver(box string, m Message) {
	if box != n.cfg.Box {
		n.send(box, m)
		return
	}
	n.handle(box, m)
}
