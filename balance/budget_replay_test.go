package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// These tests check the bound as operators state it: in each window, the retries that reach a
// service are at most the ratio times its requests, plus the slack, summed over all boxes. The
// number of requests is that of the window, of the previous one, or of the one half a window
// earlier, whichever is greatest.

// replayStep is the time step of replays.
const replayStep = 50 * time.Millisecond

// budgetReplay simulates boxes whose upstreams fail, and records the requests that callers send and
// the retries that arrive at the service.
type budgetReplay struct {
	cfg      BudgetConfig
	now      time.Duration
	random   *rand.Rand
	budgets  []*Budget
	requests []int // by step in which the caller sends
	retries  []int // by step of the arrival
	due      map[int][]func()
}

func newBudgetReplay(cfg BudgetConfig, boxes int, seed uint64) *budgetReplay {
	r := &budgetReplay{cfg: cfg, random: rand.New(rand.NewPCG(seed, 1)), due: make(map[int][]func())}
	for range boxes {
		r.budgets = append(r.budgets, NewBudget(cfg, -uptime))
	}
	return r
}

// budgetPhase is a period of a replay with constant conditions.
type budgetPhase struct {
	Steps   int
	Rate    int     // requests per step
	From    int     // first of the boxes that get requests
	Boxes   int     // number of boxes that get requests
	Fail    float64 // share of runs that fail
	Restart int     // number of the boxes with requests that restart before the phase
	Before  int     // longest time in steps from a caller to a box
	After   int     // longest time in steps from a box to an upstream
	Answer  int     // longest time in steps from an arrival to the answer
	Lost    float64 // share of retries whose run ends before they arrive, up to a window later
	Unsent  float64 // share of retries that are taken for a move, which is given up
}

// run simulates a phase.
func (r *budgetReplay) run(p budgetPhase) {
	for i := range p.Restart {
		r.budgets[(p.From+i)%len(r.budgets)] = NewBudget(r.cfg, r.now)
	}
	for range p.Steps {
		r.now += replayStep
		r.requests = append(r.requests, p.Rate)
		for range p.Rate {
			b := r.budgets[(p.From+r.random.IntN(p.Boxes))%len(r.budgets)]
			r.after(r.upTo(p.Before), func() { r.receive(b, p) })
		}
		r.runDue()
	}
}

// receive simulates a request that reaches a box and is retried while its runs fail.
func (r *budgetReplay) receive(b *Budget, p budgetPhase) {
	b.CountRequest(r.now)
	for tries := 0; tries < 2 && r.random.Float64() < p.Fail; tries++ {
		retry := b.Take(r.now, len(r.budgets))
		if retry == nil {
			return
		}
		r.send(retry, p)
	}
}

// send simulates a retry that was taken: it arrives and is answered later, or its run ends before it
// arrives, or it is not sent.
func (r *budgetReplay) send(retry *Retry, p budgetPhase) {
	way := r.upTo(p.After)
	switch kind := r.random.Float64(); {
	case kind < p.Unsent:
		r.after(way, retry.Cancel)
	case kind < p.Unsent+p.Lost:
		r.after(way, func() {
			retry.Arrived(r.now, r.now+r.cfg.Window)
			r.after(r.upTo(int(r.cfg.Window/replayStep)), r.arrive)
		})
	default:
		r.after(way, func() {
			r.arrive()
			r.after(r.upTo(p.Answer), func() { retry.Arrived(r.now, r.now) })
		})
	}
}

// arrive records a retry that arrives now.
func (r *budgetReplay) arrive() {
	step := r.step()
	for len(r.retries) <= step {
		r.retries = append(r.retries, 0)
	}
	r.retries[step]++
}

// step returns the number of the current step.
func (r *budgetReplay) step() int { return int(r.now/replayStep) - 1 }

// upTo draws a number of steps.
func (r *budgetReplay) upTo(most int) int { return r.random.IntN(most + 1) }

// after calls do in a number of steps; 0: now.
func (r *budgetReplay) after(steps int, do func()) {
	if steps == 0 {
		do()
		return
	}
	at := r.step() + steps
	r.due[at] = append(r.due[at], do)
}

// runDue calls what is due in this step.
func (r *budgetReplay) runDue() {
	list := r.due[r.step()]
	delete(r.due, r.step())
	for _, do := range list {
		do()
	}
}

// drain goes on without requests until nothing is due.
func (r *budgetReplay) drain() {
	for len(r.due) > 0 {
		r.now += replayStep
		r.requests = append(r.requests, 0)
		r.runDue()
	}
}

// excess describes the first window with more retries than the bound; it is empty if there is
// none.
func (r *budgetReplay) excess() string {
	window := int(r.cfg.Window / replayStep)
	for from := range r.retries {
		requests := max(sumOf(r.requests, from, window), sumOf(r.requests, from-window/2, window), sumOf(r.requests, from-window, window))
		allowed := r.cfg.Ratio*float64(requests) + r.cfg.Slack
		if n := sumOf(r.retries, from, window); float64(n) > allowed+1e-9 {
			return fmt.Sprintf("%d retries in the window from %v on, for %d requests; %.1f are allowed", n, time.Duration(from)*replayStep, requests, allowed)
		}
	}
	return ""
}

// sumOf adds up to count existing entries of list, starting at index from.
func sumOf(list []int, from, count int) int {
	sum := 0
	for i := max(from, 0); i < min(from+count, len(list)); i++ {
		sum += list[i]
	}
	return sum
}

// maxWay is the longest time in steps that requests and retries take in replays of any load.
const maxWay = int(time.Second / replayStep)

// replayKind says what may happen in a replay.
type replayKind struct {
	Restarts bool // boxes restart, and requests move between them
	Ways     bool // requests and retries take up to maxWay
	Steady   bool // the load does not change, and the ways of retries may be as long as two windows
}

// drawPhases draws a sequence of phases, some with enough failures to use up the budgets.
func drawPhases(t *rapid.T, boxes int, k replayKind) []budgetPhase {
	var phases []budgetPhase
	steadyRate := rapid.IntRange(1, 12).Draw(t, "steady")
	for range rapid.IntRange(1, 8).Draw(t, "phases") {
		p := budgetPhase{
			Steps: rapid.IntRange(1, 250).Draw(t, "steps"),
			Rate:  rapid.IntRange(0, 12).Draw(t, "rate"),
			Boxes: boxes,
			Fail:  rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fail"),
		}
		if k.Restarts {
			p.From = rapid.IntRange(0, boxes-1).Draw(t, "from")
			p.Boxes = rapid.IntRange(1, boxes).Draw(t, "to")
			p.Restart = rapid.SampledFrom([]int{0, 0, 1, p.Boxes}).Draw(t, "restart")
		}
		if k.Ways {
			p.Before = rapid.IntRange(0, maxWay).Draw(t, "before")
			p.After = rapid.SampledFrom([]int{0, 1, maxWay / 2, maxWay}).Draw(t, "after")
			p.Answer = rapid.SampledFrom([]int{0, 2, 40}).Draw(t, "answer")
			p.Unsent = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "unsent")
		}
		if k.Steady {
			p.Rate = steadyRate
			p.Before = 0
			p.After = rapid.SampledFrom([]int{0, 1, maxWay, 400}).Draw(t, "longWay")
			p.Lost = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost")
		}
		phases = append(phases, p)
	}
	return phases
}

// checkRetries simulates drawn phases and fails if a window has more retries than the bound.
func checkRetries(t *testing.T, cfg BudgetConfig, k replayKind) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.IntRange(1, 12).Draw(t, "boxes")
		r := newBudgetReplay(cfg, boxes, rapid.Uint64().Draw(t, "seed"))
		for _, p := range drawPhases(t, boxes, k) {
			r.run(p)
		}
		if !k.Steady {
			r.drain()
		}
		if e := r.excess(); e != "" {
			t.Fatal(e)
		}
	})
}

// withTransit is budgetConfig for replays with ways.
func withTransit() BudgetConfig {
	cfg := budgetConfig
	cfg.Transit = time.Duration(maxWay) * replayStep
	return cfg
}

// With upstreams that failed permanently, continuously running boxes sent a tenth more retries in
// a window than the ratio allows: requests were summed over the window and the bucket before it,
// as is right only for retries.
func TestRetriesStayWithinBudgetInEveryWindow(t *testing.T) {
	checkRetries(t, budgetConfig, replayKind{})
}

// When all boxes were killed while upstreams failed, the ratio was spent twice in a window: by
// the processes before the restart for the requests of the previous window, and by their
// successors for their own. The same happened when load moved between boxes. It occurred with all
// boxes killed 9 s after the failures began.
func TestRetriesStayWithinBudgetAcrossRestartsAndLoadShifts(t *testing.T) {
	checkRetries(t, budgetConfig, replayKind{Restarts: true})
}

// Retries were counted when they were sent. When they took longer to arrive at first, those of two
// windows arrived in one.
func TestRetriesStayWithinBudgetWhenTheyArrive(t *testing.T) {
	checkRetries(t, withTransit(), replayKind{Ways: true})
}

// The same with retries of processes that were killed before they arrived.
func TestRetriesStayWithinBudgetWhenTheyArriveAfterRestarts(t *testing.T) {
	checkRetries(t, withTransit(), replayKind{Restarts: true, Ways: true})
}

// Retries that arrive as much as two windows late, or after their run has ended, stay within the
// bound unless the load falls meanwhile.
func TestRetriesStayWithinBudgetHoweverLateTheyArrive(t *testing.T) {
	checkRetries(t, withTransit(), replayKind{Ways: true, Steady: true})
}
