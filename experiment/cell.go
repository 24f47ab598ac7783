package experiment

// This file defines measurements of one failure domain at a given size: what the
// control between its boxes costs, and how fast a change of the table spreads.

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/doormast/doormast/internal/control"
	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/timeline"
)

// CellConfig is the size of a failure domain.
type CellConfig struct {
	Boxes     int
	Upstreams int
	Sets      int
	Slots     int     // of each upstream
	Rate      float64 // requests a second for each box
	Seconds   float64 // measured, after the same time to fill up
}

// CellResult is what control cost there. All but the sizes are for a box.
type CellResult struct {
	Boxes     int     `json:"boxes"`
	Upstreams int     `json:"upstreams"`
	Sets      int     `json:"sets"`
	Rate      float64 `json:"rate"`
	Waiting   int     `json:"waiting"` // requests in the domain, at the end
	Running   int     `json:"running"` // requests in the domain, at the end
	Bytes     float64 `json:"bytes"`   // sent a second, the mean
	MostBytes float64 `json:"most_bytes"`
	Datagrams float64 `json:"datagrams"` // sent a second
	Messages  float64 `json:"messages"`  // sent a second
	Core      float64 `json:"core"`      // share of a core, the mean
	MostCore  float64 `json:"most_core"`
}

// answerTime is the mean time that a request of a measured domain runs.
const answerTime = 10 * time.Second

// MeasureCell runs a domain with real datagrams and accounts for its control.
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
		core := (b.spent - before[i].spent).Seconds()
		r.Bytes += bytes / n
		r.Core += core / n
		r.Datagrams += float64(b.grams-before[i].grams) / n
		r.Messages += float64(b.count-before[i].count) / n
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

// cellLoop sets up a run of one domain, with a class for each set.
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

// SpreadResult is how fast a change of the table came into force in a domain.
type SpreadResult struct {
	Boxes   int     `json:"boxes"`
	Loss    float64 `json:"loss"` // share of datagrams lost
	Dead    int     `json:"dead"` // readers that died with the change
	Seconds float64 `json:"seconds"`
}

// MeasureSpread publishes a change to the readers of a domain and measures the
// time until all boxes have it. With dead readers, the next in line read it once
// they have noticed.
func MeasureSpread(boxes, dead int, loss float64) SpreadResult {
	r := SpreadResult{Boxes: boxes, Loss: loss, Dead: dead}
	l := cellLoop(CellConfig{Boxes: boxes, Upstreams: boxes, Sets: 4, Slots: 8, Seconds: 30})
	l.advance(settle + 8*time.Second)
	l.loss = loss
	t := l.first.WithRevision(2)
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

// advance lets the run go on until the time end, whether or not anything happens.
func (l *loop) advance(end time.Duration) {
	l.loop(end)
	l.now = max(l.now, end)
}

func (l *loop) allHave(revision uint64) bool {
	for _, b := range l.boxes {
		if !b.frozen && b.node.Table().Revision < revision {
			return false
		}
	}
	return true
}
