package relay

// This file defines the figures a box tells of itself. The invariant: a figure takes a
// bounded amount of memory, however long the box runs.

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// stats are counters and latencies, by name.
type stats struct {
	registry metrics.Registry
	open     *atomic.Int64 // requests under way
}

func newStats() stats { return stats{metrics.NewRegistry(), new(atomic.Int64)} }

// histogramSize is how many values a histogram keeps, drawn from all that came.
const histogramSize = 256

// quantiles are those of a histogram that are shown.
var quantiles = []float64{0.5, 0.95, 0.99}

// count adds 1 to a counter.
func (s *stats) count(name string) { metrics.GetOrRegisterCounter(name, s.registry).Inc(1) }

// latency adds a time to a histogram, in ms.
func (s *stats) latency(name string, d time.Duration) { s.observe(name, d.Milliseconds()) }

// observe adds a value to a histogram.
func (s *stats) observe(name string, value int64) {
	h := s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSize))
	})
	h.(metrics.Histogram).Update(value)
}

// write prints all figures as text, one a line.
func (s *stats) write(w io.Writer) {
	var lines []string
	s.registry.Each(func(name string, v any) {
		switch m := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Count()))
		case metrics.Histogram:
			h := m.Snapshot()
			for _, q := range quantiles {
				lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g\n", name, q, h.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("%s_count %d\n", name, h.Count()))
		}
	})
	slices.Sort(lines)
	fmt.Fprintf(w, "open_requests %d\n%s", s.open.Load(), strings.Join(lines, ""))
}

// Counters of what memory made the box do.
const (
	callersTurnedAway = "callers_turned_away"
	callersCutOff     = "callers_cut_off"
)

// counted is how often something was counted.
func (s *stats) counted(name string) uint64 {
	return uint64(metrics.GetOrRegisterCounter(name, s.registry).Count())
}

// WriteMetrics writes the box's figures as text.
func (r *Relay) WriteMetrics(w io.Writer) {
	fmt.Fprintf(w, "memory_bound_bytes %d\nmemory_used_bytes %d\nmemory_peak_bytes %d\n", r.account.Bound(), r.account.Used(), r.account.Peak())
	r.stats.write(w)
}
