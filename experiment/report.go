package experiment

// This file defines the results of a run, and their output as a table or as JSON lines.

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

// ClassResult is the outcome of one class's requests.
type ClassResult struct {
	Class      string  `json:"class"`
	Offered    int     `json:"offered"`
	Answered   int     `json:"answered"`
	Refused    int     `json:"refused"`
	Left       int     `json:"left"`
	Attainment float64 `json:"attainment"` // share of the offered requests with the first token in time and a complete answer
	FirstP95   float64 `json:"first_p95"`  // seconds to the first token, 95th percentile of the requests that got one
	BelowFloor bool    `json:"below_floor"`
	workDone   float64 // tokens of the answers that were complete before the last arrival
	slotTime   time.Duration
	workWanted float64 // tokens of all offered requests
}

// Result is the result of one run.
type Result struct {
	Experiment string        `json:"experiment"`
	Scenario   string        `json:"scenario"`
	Policy     string        `json:"policy"`
	Seed       uint64        `json:"seed"`
	Classes    []ClassResult `json:"classes"`
	Goodput    float64       `json:"goodput"` // tokens a second of the answers that were complete before the last arrival
	Wasted     float64       `json:"wasted"`  // share of the engines' slot time spent on answers that were not delivered
	Illegal    int           `json:"illegal"` // violations of invariants on the timeline
	Violations []string      `json:"violations,omitempty"`
	Starved    int           `json:"starved"`  // classes below their floor
	Control    float64       `json:"control"`  // bytes a second that a box sends for control, mean over the boxes
	Most       float64       `json:"most"`     // bytes a second that the busiest box sends for control
	Elapsed    float64       `json:"elapsed"`  // real seconds that the run took
	Steps      int           `json:"steps"`    // timers run
	Attained   float64       `json:"attained"` // attainment over all classes
}

// Run simulates all combinations of policy, scenario and seed, in parallel on all
// processors but one, and returns the results in the order of their completion. It calls
// done with each result, one call at a time.
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

// result returns the result of a finished run.
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

// inTime reports whether a request was answered with its first token within the target.
func (l *loop) inTime(q *request) bool {
	return q.answered && q.firstToken > 0 && q.firstToken <= l.spec.Classes[q.arrival.class].FirstToken.Std()
}

// classResult returns the outcome of a class's requests.
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
		c.slotTime += q.slotTime
		switch {
		case q.answered:
			c.Answered++
			if q.answeredAt <= settle+l.spec.Duration.Std() {
				c.workDone += float64(q.arrival.tokens)
			}
		case q.abandoned:
			c.Left++
		case q.refused:
			c.Refused++
		}
		if q.firstToken > 0 {
			_ = h.RecordValue(max(1, int64(q.firstToken/time.Millisecond)))
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

// floorSlack is the share of its floor that a class must have got at least. It is below
// 1 because the start and end of a run and the length of single answers make the
// measurement inexact.
const floorSlack = 0.8

// markFloors marks the classes that got less slot time than both their floor and their
// offered work, with floorSlack.
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

// WriteJSON writes a result as one line of JSON.
func WriteJSON(w io.Writer, r Result) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes one row for each scenario and policy, with the mean over the seeds
// and half the range from the least to the most.
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

// row returns the cells of one row of the table.
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

// spread formats the mean and half the range of a figure over a group of results.
func spread(group []Result, digits int, f func(Result) float64) string {
	sum, least, most := 0.0, math.Inf(1), math.Inf(-1)
	for _, r := range group {
		v := f(r)
		sum += v
		least, most = min(least, v), max(most, v)
	}
	return fmt.Sprintf("%.*f±%.*f", digits, sum/float64(len(group)), digits, (most-least)/2)
}
