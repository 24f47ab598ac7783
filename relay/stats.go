package relay

// This file defines the box's metrics. The invariant: each metric uses a bounded amount of
// memory, however long the box runs.

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// stats are counters and histograms, by name.
type stats struct {
	registry     metrics.Registry
	openRequests *atomic.Int64 // requests in progress
}

func newStats() stats { return stats{metrics.NewRegistry(), new(atomic.Int64)} }

// histogramSize is the number of values that a histogram keeps, a uniform sample of all
// observed.
const histogramSize = 256

// quantiles are the quantiles that are written for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// count adds 1 to a counter.
func (s *stats) count(name string) { metrics.GetOrRegisterCounter(name, s.registry).Inc(1) }

// latency adds a duration to a histogram, in ms.
func (s *stats) latency(name string, d time.Duration) { s.observe(name, d.Milliseconds()) }

// observe adds a value to a histogram.
func (s *stats) observe(name string, value int64) {
	h := s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSize))
	})
	h.(metrics.Histogram).Update(value)
}

// write writes all metrics as text, one per line.
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
	fmt.Fprintf(w, "open_requests %d\n%s", s.openRequests.Load(), strings.Join(lines, ""))
}

// Counters of what the box did for lack of memory.
const (
	callersTurnedAway = "callers_turned_away"
	callersCutOff     = "callers_cut_off"
)

// counterValue returns the value of a counter.
func (s *stats) counterValue(name string) uint64 {
	return uint64(metrics.GetOrRegisterCounter(name, s.registry).Count())
}

// WriteMetrics writes the box's metrics as text.
func (r *Relay) WriteMetrics(w io.Writer) {
	fmt.Fprintf(w, "memory_bound_bytes %d\nmemory_used_bytes %d\nmemory_peak_bytes %d\n", r.account.Bound(), r.account.Used(), r.account.Peak())
	r.mu.Lock()
	paths, wait := r.fleet.Paths(r.now(), ""), r.fleet.TunnelWait(r.now())
	r.mu.Unlock()
	fmt.Fprintf(w, "upstreams_listed %d\nupstreams_unreachable %d\nupstreams_reached_by_others_only %d\ntunnels_wait_ms %d\n",
		paths.Listed, paths.Unreachable, paths.ReachedByOthers, wait.Milliseconds())
	r.stats.write(w)
}
