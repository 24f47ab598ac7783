package experiment

// This file defines the setup of a run: the engines, boxes and table that a policy needs.

import (
	"fmt"
	"slices"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/table"
)

// newLoop returns a run without arrivals.
func newLoop(s *Spec, sc *Scenario, policy string, seed uint64) *loop {
	l := &loop{spec: s, scenario: sc, policy: policy, byName: make(map[string]*box), byEngine: make(map[string]*engine),
		requests: make(map[uint64]*request), lag: s.Lag.Std(), delay: s.Delay.Std()}
	if sc.Lag > 0 {
		l.lag = sc.Lag.Std()
	}
	if policy == Bound {
		l.lag, l.delay = 0, 0
	}
	l.makeEngines()
	l.makeBoxes(seed)
	return l
}

// domains returns the number of failure domains; Bound has one.
func (l *loop) domains() int {
	if l.policy == Bound {
		return 1
	}
	return l.spec.Domains
}

// makeEngines creates the engines, distributed over the domains in turn, and schedules
// their reports.
func (l *loop) makeEngines() {
	slow := int(l.scenario.Slow * float64(l.spec.Engines))
	for i := range l.spec.Engines {
		e := &engine{name: fmt.Sprintf("e%d", i), domain: i % l.domains(), slots: l.spec.Slots, timePerToken: l.spec.Pace.Std(),
			prefill: l.spec.Prefill.Std(), cacheSize: l.spec.Cache, priority: l.policy != FIFO && l.policy != LeastLoad}
		if i < slow {
			e.timePerToken = time.Duration(float64(e.timePerToken) * l.scenario.Slower)
		}
		l.engines = append(l.engines, e)
		l.byEngine[e.name] = e
	}
	l.every(reportEvery, l.sendReports)
}

// nodeConfig returns a policy's configuration of a box's node, or nil for a policy
// without nodes.
func (l *loop) nodeConfig(name string, domain int, seed uint64) *cell.Config {
	cfg := &cell.Config{Box: name, Domain: fmt.Sprintf("d%d", domain), Boot: 1, Seed: seed, Timing: cell.DefaultTiming()}
	switch l.policy {
	case NoPause:
		cfg.Pool.NoPause = true
	case Independent:
		cfg.Standalone = true
	case Split:
		cfg.Standalone, cfg.StaticSplit = true, true
	case FIFO, LeastLoad:
		return nil
	}
	return cfg
}

// makeBoxes creates the boxes, their roster and the table; Bound has one box.
func (l *loop) makeBoxes(seed uint64) {
	n := l.spec.Boxes
	if l.policy == Bound {
		n = 1
	}
	roster := cell.Roster{Revision: 1}
	for i := range n {
		b := &box{name: fmt.Sprintf("b%d", i), domain: i % l.domains(), sent: make(map[string]int), outbox: make(map[string][]cell.Message)}
		l.boxes = append(l.boxes, b)
		l.byName[b.name] = b
		roster.Boxes = append(roster.Boxes, cell.BoxEntry{Name: b.name, Domain: fmt.Sprintf("d%d", b.domain)})
	}
	t := l.table()
	l.initialTable = t
	for i, b := range l.boxes {
		cfg := l.nodeConfig(b.name, b.domain, seed+uint64(i))
		if cfg == nil {
			continue
		}
		cfg.Peers = slices.DeleteFunc(slices.Clone(roster.Boxes), func(e cell.BoxEntry) bool { return e.Name == b.name })
		b.node = cell.NewNode(*cfg)
		l.tick(b)
		b.node.SetRoster(roster)
		b.node.SetTable(t)
		l.perform(b)
		l.every(tickEvery, func() { l.tick(b) })
	}
}

// table returns the boxes' initial table.
func (l *loop) table() *table.Table {
	t := new(table.Table)
	for _, c := range l.spec.Classes {
		row := table.Class{Name: c.Name, Tier: c.Tier, FirstToken: c.FirstToken, Weight: c.Weight, Floor: c.Floor,
			Repeatable: true, OnLate: table.Wait, Set: setName(c.Set), Scope: table.ScopeDomain}
		if c.Refuse {
			row.OnLate = table.Refuse
		}
		t.Classes = append(t.Classes, row)
	}
	sets := max(1, l.spec.Sets)
	for i := range sets {
		t.Sets = append(t.Sets, table.Set{Name: setName(i), Queue: l.spec.Queue * l.spec.Domains / l.domains()})
	}
	for i, e := range l.engines {
		t.Upstreams = append(t.Upstreams, table.Upstream{Name: e.name, Domain: fmt.Sprintf("d%d", e.domain), Kind: table.Engine, Set: setName(i / l.domains() % sets), Slots: e.slots})
	}
	return t.WithRevision(1)
}

func setName(i int) string { return fmt.Sprintf("set%d", i) }
