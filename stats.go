package doormast

// This file defines the metrics: counters and histograms by class and tier, in a
// go-metrics registry, and their text format for scrapers.

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/control"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
	"github.com/doormast/doormast/wire"
)

// stats holds a box's metrics. It is safe for concurrent use.
type stats struct {
	registry metrics.Registry
	mu       sync.Mutex
	classes  map[string]*classStats
}

// classStats holds the metrics of one class.
type classStats struct {
	tier     int
	offered  metrics.Counter
	waiting  metrics.Counter
	running  metrics.Counter
	answered metrics.Counter
	inTarget metrics.Counter
	wasted   metrics.Counter // tokens generated but not needed by a caller
	tokens   metrics.Counter
	first    metrics.Histogram // microseconds to the first token
	whole    metrics.Histogram // microseconds to the complete answer
	refused  map[string]metrics.Counter
	state    map[uint64]timeline.Kind // requests in progress
}

const sampleSize = 1028 // of the histograms, as go-metrics recommends

func newStats() *stats {
	return &stats{registry: metrics.NewRegistry(), classes: make(map[string]*classStats)}
}

func (s *stats) class(name string, tier int) *classStats {
	c := s.classes[name]
	if c == nil {
		counter := func(metric string) metrics.Counter {
			return metrics.GetOrRegisterCounter(metric+"{class="+name+"}", s.registry)
		}
		histogram := func(metric string) metrics.Histogram {
			return metrics.GetOrRegisterHistogram(metric+"{class="+name+"}", s.registry, metrics.NewExpDecaySample(sampleSize, 0.015))
		}
		c = &classStats{
			offered: counter("offered"), waiting: counter("waiting"), running: counter("running"),
			answered: counter("answered"), inTarget: counter("in_target"), wasted: counter("wasted_tokens"),
			tokens: counter("tokens"), first: histogram("first_token_us"), whole: histogram("whole_answer_us"),
			refused: make(map[string]metrics.Counter), state: make(map[uint64]timeline.Kind),
		}
		s.classes[name] = c
	}
	if tier > 0 {
		c.tier = tier
	}
	return c
}

// event updates the metrics for a timeline event of a request.
func (s *stats) event(e timeline.Event) {
	if e.Request == 0 || e.Class == "" || e.Kind == timeline.Granted || e.Kind == timeline.PauseOrdered {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.class(e.Class, e.Tier)
	switch e.Kind {
	case timeline.Received:
		c.offered.Inc(1)
		c.enter(e.Request, timeline.Waiting)
	case timeline.Waiting, timeline.Paused, timeline.Redirected:
		c.enter(e.Request, timeline.Waiting)
	case timeline.Leased, timeline.Fallback, timeline.Sending, timeline.Running:
		c.enter(e.Request, timeline.Running)
	case timeline.Answered, timeline.Disconnected:
		c.leave(e.Request)
	case timeline.Refused, timeline.Unknown:
		c.leave(e.Request)
		s.refusal(c, e.Class, e.Reason).Inc(1)
	}
}

func (c *classStats) enter(id uint64, state timeline.Kind) {
	c.leave(id)
	c.state[id] = state
	c.gauge(state).Inc(1)
}

func (c *classStats) leave(id uint64) {
	if state, ok := c.state[id]; ok {
		c.gauge(state).Dec(1)
		delete(c.state, id)
	}
}

func (c *classStats) gauge(state timeline.Kind) metrics.Counter {
	if state == timeline.Running {
		return c.running
	}
	return c.waiting
}

func (s *stats) refusal(c *classStats, class, reason string) metrics.Counter {
	counter := c.refused[reason]
	if counter == nil {
		counter = metrics.GetOrRegisterCounter("refused{class="+class+",reason="+reason+"}", s.registry)
		c.refused[reason] = counter
	}
	return counter
}

func (s *stats) refusedAtEdge(reason decide.Reason) {
	metrics.GetOrRegisterCounter("refused_at_edge{reason="+reason.String()+"}", s.registry).Inc(1)
}

func (s *stats) dropped(d control.Drop) {
	metrics.GetOrRegisterCounter("datagrams_dropped{reason="+string(d)+"}", s.registry).Inc(1)
}

func (s *stats) sent(bytes int) {
	metrics.GetOrRegisterCounter("control_bytes_sent", s.registry).Inc(int64(bytes))
	metrics.GetOrRegisterCounter("control_datagrams_sent", s.registry).Inc(1)
}

func (s *stats) firstToken(row *table.Class, after time.Duration) {
	if row == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.class(row.Name, row.Tier)
	c.first.Update(int64(after / time.Microsecond))
	if after <= row.FirstToken.Std() {
		c.inTarget.Inc(1)
	}
}

func (s *stats) answered(row *table.Class, after time.Duration, tokens int) {
	if row == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.class(row.Name, row.Tier)
	c.answered.Inc(1)
	c.tokens.Inc(int64(tokens))
	c.whole.Update(int64(after / time.Microsecond))
}

// wastedTokens counts the tokens of an abandoned or failed run as wasted, except the first
// delivered tokens, which earlier runs had sent to the caller.
func (s *stats) wastedTokens(row *table.Class, r cell.Result, delivered int) {
	if row == nil || r.Outcome != decide.Abandoned && (r.Outcome != decide.Failed || !r.Ran) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.class(row.Name, row.Tier).wasted.Inc(int64(max(0, r.Tokens-delivered)))
}

// status returns the counters of all classes for operators, ordered by tier and name.
func (s *stats) status() []*wire.ClassStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.ClassStatus
	for name, c := range s.classes {
		row := &wire.ClassStatus{
			Class: name, Tier: uint32(c.tier), Offered: uint64(c.offered.Count()), Waiting: uint64(c.waiting.Count()),
			Running: uint64(c.running.Count()), Answered: uint64(c.answered.Count()), InTarget: uint64(c.inTarget.Count()),
			WastedTokens: uint64(c.wasted.Count()), Refused: make(map[string]uint64),
		}
		for reason, n := range c.refused {
			row.Refused[reason] = uint64(n.Count())
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b *wire.ClassStatus) int {
		if a.Tier != b.Tier {
			return int(a.Tier) - int(b.Tier)
		}
		return strings.Compare(a.Class, b.Class)
	})
	return out
}

// text returns all metrics in the text format for scrapers.
func (s *stats) text() []byte {
	s.mu.Lock()
	tiers := make(map[string]int)
	for name, c := range s.classes {
		tiers[name] = c.tier
	}
	s.mu.Unlock()
	var lines []string
	s.registry.Each(func(name string, m any) {
		base, labels := splitName(name, tiers)
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("doormast_%s%s %d", base, join(labels), m.Count()))
		case metrics.Histogram:
			snapshot := m.Snapshot()
			for _, q := range []float64{0.5, 0.95, 0.99} {
				quantile := append(slices.Clone(labels), fmt.Sprintf("quantile=%q", fmt.Sprint(q)))
				lines = append(lines, fmt.Sprintf("doormast_%s%s %g", base, join(quantile), snapshot.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("doormast_%s_count%s %d", base, join(labels), snapshot.Count()))
		}
	})
	slices.Sort(lines)
	var b bytes.Buffer
	for _, l := range lines {
		b.WriteString(l)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// splitName splits a metric's name into base name and labels, and adds the tier of its class.
func splitName(name string, tiers map[string]int) (base string, labels []string) {
	base, list, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	if list == "" {
		return base, nil
	}
	for _, l := range strings.Split(list, ",") {
		key, value, _ := strings.Cut(l, "=")
		labels = append(labels, fmt.Sprintf("%s=%q", key, value))
		if key == "class" {
			labels = append(labels, fmt.Sprintf("tier=%q", fmt.Sprint(tiers[value])))
		}
	}
	return base, labels
}

func join(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}
