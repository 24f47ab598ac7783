package experiment

// This file defines what a run comes to, and how it is printed: a table for
// people and JSON lines for programs.

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/doormast/doormast/timeline"
)

// ClassResult is what became of a class.
type ClassResult struct {
	Class      string  `json:"class"`
	Offered    int     `json:"offered"`
	Answered   int     `json:"answered"`
	Refused    int     `json:"refused"`
	Left       int     `json:"left"`
	Attainment float64 `json:"attainment"` // share of the offered with its first token in time and its whole answer
	FirstP95   float64 `json:"first_p95"`  // seconds, of those that got a token
	BelowFloor bool    `json:"below_floor"`
	workDone   float64
	slotTime   time.Duration
	workWanted float64
}

// Result is what one run came to.
type Result struct {
	Experiment string        `json:"experiment"`
	Scenario   string        `json:"scenario"`
	Policy     string        `json:"policy"`
	Seed       uint64        `json:"seed"`
	Classes    []ClassResult `json:"classes"`
	Goodput    float64       `json:"goodput"` // tokens a second of the answers that were whole before the last arrival
	Wasted     float64       `json:"wasted"`  // share of the engines' slot time spent on answers nobody got
	Illegal    int           `json:"illegal"` // broken promises on the time line
	Violations []string      `json:"violations,omitempty"`
	Starved    int           `json:"starved"` // classes below their floor
	Control    float64       `json:"control"` // bytes a second that a box sends, the mean
	Most       float64       `json:"most"`    // the same, of the box that sends most
	Elapsed    float64       `json:"elapsed"` // seconds of work for the run
	Steps      int           `json:"steps"`
	Attained   float64       `json:"attained"` // over all classes
}

// Run runs all policies, scenarios and seeds, on all processors, and calls done
// with each result as it comes.
func Run(s *Spec, done func(Result)) []Result {
	type task struct {
		scenario *Scenario
		policy   string
		seed     uint64
	}
	tasks := make(chan task)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []Result
	for range max(1, runtime.NumCPU()-1) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for t := range tasks {
				start := time.Now()
				l := run(s, t.scenario, t.policy, makeTrace(s, t.scenario, t.seed), t.seed)
				r := l.result(t.seed)
				r.Elapsed = time.Since(start).Seconds()
				mu.Lock()
				all = append(all, r)
				done(r)
				mu.Unlock()
			}
		}()
	}
	for i := range s.Scenarios {
		for _, p := range s.Policies {
			for seed := range s.Seeds {
				tasks <- task{&s.Scenarios[i], p, uint64(seed + 1)}
			}
		}
	}
	close(tasks)
	wg.Wait()
	return all
}

// result sums a run up.
func (l *loop) result(seed uint64) Result {
	r := Result{Experiment: l.spec.Name, Scenario: l.scenario.Name, Policy: l.policy, Seed: seed, Steps: l.steps}
	good, attained := 0.0, 0
	for i := range l.spec.Classes {
		c := l.classResult(i)
		for _, q := range l.all {
			if q.arrival.class == i && l.inTime(q) {
				attained++
			}
		}
		r.Classes = append(r.Classes, c)
		good += c.workDone
	}
	seconds := l.spec.Duration.Std().Seconds()
	l.markFloors(&r)
	r.Goodput = good / seconds
	if len(l.all) > 0 {
		r.Attained = float64(attained) / float64(len(l.all))
	}
	var busy, wasted time.Duration
	for _, e := range l.engines {
		busy += e.busy
		wasted += e.wasted
	}
	if busy > 0 {
		r.Wasted = float64(wasted) / float64(busy)
	}
	for _, v := range timeline.Check(l.events, func(string) bool { return true }) {
		r.Illegal++
		r.Violations = append(r.Violations, v.String())
	}
	total := 0
	for _, b := range l.boxes {
		total += b.bytes
		r.Most = max(r.Most, float64(b.bytes)/l.now.Seconds())
	}
	r.Control = float64(total) / l.now.Seconds() / float64(len(l.boxes))
	return r
}

func (l *loop) inTime(q *request) bool {
	return q.answered && q.first > 0 && q.first <= l.spec.Classes[q.arrival.class].FirstToken.Std()
}

func (l *loop) classResult(class int) ClassResult {
	spec := &l.spec.Classes[class]
	c := ClassResult{Class: spec.Name}
	h := hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	inTime := 0
	for _, q := range l.all {
		if q.arrival.class != class {
			continue
		}
		c.Offered++
		c.workWanted += float64(q.arrival.tokens)
		c.slotTime += q.busy
		switch {
		case q.answered:
			c.Answered++
			if q.ended <= settle+l.spec.Duration.Std() {
				c.workDone += float64(q.arrival.tokens)
			}
		case q.left:
			c.Left++
		case q.refused:
			c.Refused++
		}
		if q.first > 0 {
			_ = h.RecordValue(max(1, int64(q.first/time.Millisecond)))
		}
		if l.inTime(q) {
			inTime++
		}
	}
	if c.Offered > 0 {
		c.Attainment = float64(inTime) / float64(c.Offered)
	}
	c.FirstP95 = float64(h.ValueAtQuantile(95)) / 1000
	return c
}

// floorSlack is how far below its floor a class may be measured: the run's ends
// and the length of single answers blur the count.
const floorSlack = 0.8

// markFloors finds the classes that got less than their floor although they
// wanted more.
func (l *loop) markFloors(r *Result) {
	capacity := l.spec.Duration.Std().Seconds() * float64(l.spec.Engines*l.spec.Slots)
	for i := range r.Classes {
		c := &r.Classes[i]
		wanted := c.workWanted * l.spec.Pace.Std().Seconds()
		promised := min(wanted, l.spec.Classes[i].Floor*capacity)
		if c.slotTime.Seconds() < floorSlack*promised {
			c.BelowFloor = true
			r.Starved++
		}
	}
}

// WriteJSON writes a result on a line.
func WriteJSON(w io.Writer, r Result) error { return json.NewEncoder(w).Encode(r) }

// WriteTable prints the mean over the seeds, with the spread from the least to
// the most, for each scenario and policy.
func WriteTable(w io.Writer, s *Spec, all []Result) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	header := []string{"SCENARIO", "POLICY"}
	for _, c := range s.Classes {
		header = append(header, strings.ToUpper(c.Name)+" %")
	}
	header = append(header, "GOODPUT tok/s", "WASTED %", "ILLEGAL", "STARVED", "CONTROL B/s", "MOST B/s", "")
	fmt.Fprintln(tw, strings.Join(header, "\t"))
	for i := range s.Scenarios {
		for _, p := range s.Policies {
			var group []Result
			for _, r := range all {
				if r.Scenario == s.Scenarios[i].Name && r.Policy == p {
					group = append(group, r)
				}
			}
			if len(group) > 0 {
				fmt.Fprintln(tw, strings.Join(row(s, s.Scenarios[i].Name, p, group), "\t"))
			}
		}
	}
	return tw.Flush()
}

func row(s *Spec, scenario, policy string, group []Result) []string {
	cells := []string{scenario, policy}
	for i := range s.Classes {
		cells = append(cells, spread(group, 1, func(r Result) float64 { return 100 * r.Classes[i].Attainment }))
	}
	sum := func(f func(Result) int) string {
		n := 0
		for _, r := range group {
			n += f(r)
		}
		return fmt.Sprint(n)
	}
	return append(cells,
		spread(group, 0, func(r Result) float64 { return r.Goodput }),
		spread(group, 2, func(r Result) float64 { return 100 * r.Wasted }),
		sum(func(r Result) int { return r.Illegal }),
		sum(func(r Result) int { return r.Starved }),
		spread(group, 0, func(r Result) float64 { return r.Control }),
		spread(group, 0, func(r Result) float64 { return r.Most }), "")
}

// spread writes a mean and half the distance from the least to the most.
func spread(group []Result, digits int, f func(Result) float64) string {
	sum, least, most := 0.0, math.Inf(1), math.Inf(-1)
	for _, r := range group {
		v := f(r)
		sum += v
		least, most = min(least, v), max(most, v)
	}
	return fmt.Sprintf("%.*f±%.*f", digits, sum/float64(len(group)), digits, (most-least)/2)
}
