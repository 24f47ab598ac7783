package experiment

// This file defines measurements of one failure domain of a given size: the cost of
// the control traffic between its boxes, and the time until a table change is in
// force on all of them.

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/doormast/doormast/internal/control"
	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/timeline"
)

// CellConfig is the size and the load of a failure domain.
type CellConfig struct {
	Boxes     int
	Upstreams int
	Sets      int
	Slots     int     // requests that each upstream runs at once
	Rate      float64 // requests a second for each box
	Seconds   float64 // of the measurement, after a warm-up of the same length
}

// CellResult is the cost of control in a failure domain, for one box where the field
// does not say otherwise.
type CellResult struct {
	Boxes     int     `json:"boxes"`
	Upstreams int     `json:"upstreams"`
	Sets      int     `json:"sets"`
	Rate      float64 `json:"rate"`
	Waiting   int     `json:"waiting"`    // requests in the domain, at the end
	Running   int     `json:"running"`    // requests in the domain, at the end
	Bytes     float64 `json:"bytes"`      // sent a second, mean over the boxes
	MostBytes float64 `json:"most_bytes"` // sent a second by the busiest box
	Datagrams float64 `json:"datagrams"`  // sent a second
	Messages  float64 `json:"messages"`   // sent a second
	Core      float64 `json:"core"`       // share of a core, mean over the boxes
	MostCore  float64 `json:"most_core"`  // share of a core on the busiest box
}

// answerTime is the mean time to generate an answer in a measured domain.
const answerTime = 10 * time.Second

// MeasureCell simulates a domain, with datagrams encoded and decoded as in production,
// and returns the cost of its control.
func MeasureCell(c CellConfig) CellResult {
	l := cellLoop(c)
	half := time.Duration(c.Seconds * float64(time.Second))
	l.advance(settle + half)
	before := make([]box, len(l.boxes))
	for i, b := range l.boxes {
		before[i] = *b
	}
	l.advance(settle + 2*half)
	r := CellResult{Boxes: c.Boxes, Upstreams: c.Upstreams, Sets: c.Sets, Rate: c.Rate}
	n := float64(len(l.boxes)) * half.Seconds()
	for i, b := range l.boxes {
		bytes := float64(b.bytes - before[i].bytes)
		core := (b.cpuTime - before[i].cpuTime).Seconds()
		r.Bytes += bytes / n
		r.Core += core / n
		r.Datagrams += float64(b.datagrams-before[i].datagrams) / n
		r.Messages += float64(b.messages-before[i].messages) / n
		r.MostBytes = max(r.MostBytes, bytes/half.Seconds())
		r.MostCore = max(r.MostCore, core/half.Seconds())
	}
	for i := range c.Sets {
		for _, b := range l.boxes {
			counts := b.node.Counts(setName(i))
			r.Waiting += counts.Waiting
			r.Running += counts.Running
		}
	}
	return r
}

// cellLoop prepares a run of one domain, with one class for each set.
func cellLoop(c CellConfig) *loop {
	s := &Spec{Name: "cell", Seeds: 1, Duration: jsonc.Duration(2 * time.Duration(c.Seconds*float64(time.Second))), Domains: 1,
		Boxes: c.Boxes, Engines: c.Upstreams, Sets: c.Sets, Slots: c.Slots, Pace: jsonc.Duration(answerTime / 250),
		Prefill: jsonc.Duration(100 * time.Millisecond), Cache: 32, Delay: jsonc.Duration(300 * time.Microsecond),
		Lag: jsonc.Duration(500 * time.Millisecond), Queue: 2000, Customers: 28}
	for i := range c.Sets {
		s.Classes = append(s.Classes, ClassSpec{Name: fmt.Sprintf("class%d", i), Tier: 1 + i%4, FirstToken: jsonc.Duration(620 * time.Millisecond),
			Weight: 1, Floor: 0.1, Refuse: true, Share: 1 / float64(c.Sets), Length: 250, Spread: 0.3, Prefixes: 50, Set: i})
	}
	s.Load = c.Rate * float64(c.Boxes) * 250 / s.capacity()
	var trace []arrival
	if c.Rate > 0 {
		trace = makeTrace(s, &Scenario{}, 1)
	}
	l := newLoop(s, &Scenario{Name: "cell"}, Coordinated, 1)
	l.random = rand.New(rand.NewPCG(1, 2))
	for _, b := range l.boxes {
		b.codec = control.NewCodec(b.name, 1, []byte("a key for the measurement"), func() timeline.Stamp {
			return timeline.Stamp{Wall: int64(l.now)}
		})
	}
	l.prepare(trace)
	return l
}

// SpreadResult is the time until a table change was in force in a domain.
type SpreadResult struct {
	Boxes   int     `json:"boxes"`
	Loss    float64 `json:"loss"`    // share of datagrams lost
	Dead    int     `json:"dead"`    // table readers that failed when the change was published
	Seconds float64 `json:"seconds"` // 30 or more if it was not in force by then
}

// MeasureSpread publishes a table change and measures the time until all live boxes
// of a domain have it. The given number of the boxes that read the table from the
// platform fail at that moment; other boxes take over once they detect it. The share
// of datagrams given by loss is dropped.
func MeasureSpread(boxes, dead int, loss float64) SpreadResult {
	r := SpreadResult{Boxes: boxes, Loss: loss, Dead: dead}
	l := cellLoop(CellConfig{Boxes: boxes, Upstreams: boxes, Sets: 4, Slots: 8, Seconds: 30})
	l.advance(settle + 8*time.Second)
	l.loss = loss
	t := l.initialTable.WithRevision(2)
	start := l.now
	l.platform = t
	for _, b := range l.boxes {
		if dead > 0 && b.node.Reading() {
			b.frozen = true
			dead--
		}
	}
	for l.now < start+30*time.Second && !l.allHave(2) {
		l.advance(l.now + tickEvery/5)
	}
	r.Seconds = (l.now - start).Seconds()
	return r
}

// advance runs the simulation until end and sets the clock to it, even if no timer is
// due then.
func (l *loop) advance(end time.Duration) {
	l.runUntil(end)
	l.now = max(l.now, end)
}

// allHave reports whether all boxes that are not frozen have a table revision.
func (l *loop) allHave(revision uint64) bool {
	for _, b := range l.boxes {
		if !b.frozen && b.node.Table().Revision < revision {
			return false
		}
	}
	return true
}
