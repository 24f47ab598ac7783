package group

import (
	"testing"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// totalShare adds up the shares of a common limit that the running boxes use.
func (w *simulation) totalShare() float64 {
	sum := 0.0
	for _, b := range w.boxes {
		if n := b.node.Divisor(); !b.dead && n > 0 {
			sum += 1 / float64(n)
		}
	}
	return sum
}

func TestOnlyBoxDividesByOne(t *testing.T) {
	w := newSimulation(t, 72)
	w.seeds = []string{boxName(0, 0)}
	b := w.start(boxName(0, 0), domainName(0), 100, false)
	w.run(time.Second)
	if got := b.node.Divisor(); got != 1 {
		t.Fatalf("divisor is %d, want 1", got)
	}
}

// Boxes that restarted during a network partition counted only the boxes they heard since their
// start, and used far more than their share of the retry budget while the partition lasted. After
// a restart of all boxes the count in the lines "run: not retried" fell from 78 to 47.
func TestSharesAfterRestartDuringPartition(t *testing.T) {
	tests := []struct {
		name     string
		sever    func(w *simulation)
		restarts int // number of boxes of domain 0 that restart
	}{
		{"no partition", func(*simulation) {}, 4},
		{"a domain, from all others", func(w *simulation) { w.cutDomains[domainName(0)] = true }, 4},
		{"a leader, from other domains", func(w *simulation) {
			w.linkCut = func(a, b *wire.GroupBox) bool { return a.Name == boxName(0, 0) || b.Name == boxName(0, 0) }
		}, 1},
		{"one box, from all others", func(w *simulation) { w.isolated[boxName(0, 0)] = true }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newSimulation(t, 71)
			w.domainCount = 3
			w.startFleet(3, 4)
			w.run(4 * time.Second)
			tt.sever(w)
			for i := range tt.restarts {
				w.start(boxName(0, i), domainName(0), uint32(100-i), false)
			}
			w.run(12 * time.Second) // longer than restarted boxes have no share
			if sum := w.totalShare(); sum > 1.0001 {
				t.Fatalf("the shares add up to %f", sum)
			}
		})
	}
}

// While a deployment started, the first boxes divided the slack by the few that they had heard, and
// spent several times the whole.
func TestBoxesKeepToSlackDuringFirstStart(t *testing.T) {
	const domains, perDomain = 3, 30
	cfg := balance.BudgetConfig{Slack: 214, Window: 10 * time.Second}
	for _, gap := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} { // between two starts
		t.Run(gap.String(), func(t *testing.T) {
			w := newSimulation(t, 5)
			w.domainCount = domains
			for d := range domains {
				w.seeds = append(w.seeds, boxName(d, 0))
			}
			budgets := make(map[string]*balance.Budget)
			var spent []time.Duration
			spendAll := func() { // all upstreams fail
				for name, b := range budgets {
					for r := b.Take(w.now, w.boxes[name].node.Divisor()); r != nil; r = b.Take(w.now, w.boxes[name].node.Divisor()) {
						r.Arrived(w.now, w.now)
						spent = append(spent, w.now)
					}
				}
			}
			for i := range perDomain {
				for d := range domains {
					name := boxName(d, i)
					w.start(name, domainName(d), uint32(100-i), true)
					budgets[name] = balance.NewBudget(cfg, w.now)
					if gap > 0 {
						w.run(gap)
					}
					spendAll()
				}
			}
			for range 600 {
				w.run(50 * time.Millisecond)
				spendAll()
			}
			most, first := 0, 0
			for i, at := range spent {
				for at-spent[first] >= cfg.Window {
					first++
				}
				most = max(most, i-first+1)
			}
			if float64(most) > cfg.Slack {
				t.Fatalf("%d retries within %v; %v are allowed", most, cfg.Window, cfg.Slack)
			}
			if len(spent) < int(cfg.Slack)/2 {
				t.Fatalf("%d retries in all; the slack is not used", len(spent))
			}
		})
	}
}
