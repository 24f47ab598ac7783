package capacity

// This file defines the page's section on boxes that forward traffic: the results of the users'
// sweep at several fleet sizes, extrapolated to the target size. The invariant: a figure is
// extrapolated as a power of the number of boxes, with the exponent that the smallest and the
// largest measured size give, bounded to 0 to 2.

import (
	_ "embed" // relay.md
	"fmt"
	"math"
	"strings"
)

// Sweep holds the results of a sweep over the sizes of one deployment, smallest size first.
type Sweep struct {
	Site string       `json:"site"`
	Rows []SweepPoint `json:"rows"`
}

// SweepPoint holds the results at one size, for the median box or for the busiest.
type SweepPoint struct {
	Boxes           int     `json:"boxes"`
	Upstreams       int     `json:"upstreams"`
	Broken          string  `json:"broken"` // the rules that were violated; empty if none was
	Worth           float64 `json:"worth"`
	Served          float64 `json:"served"`         // share of the requests served, 0 to 1
	Core            float64 `json:"core"`           // processor use of the busiest box, percent
	CoreMedian      float64 `json:"core_middle"`    // processor use of the median box, percent
	Memory          float64 `json:"memory"`         // memory of the busiest box, MB
	Bytes           float64 `json:"bytes"`          // traffic of the busiest box, KB/s
	BytesMedian     float64 `json:"bytes_middle"`   // traffic of the median box, KB/s
	InForce         float64 `json:"in_force"`       // longest time until a published document was in force, ms
	AfterKill       float64 `json:"after_kill"`     // time until boxes served again after all were killed, ms
	AfterDomainLoss float64 `json:"after_zone_out"` // time until boxes served again after a failure domain was lost, ms; 0 if not measured
}

// maxExponent bounds the exponent of an extrapolation.
const maxExponent = 2

// extrapolate returns a figure of the sweep at the target size. A figure that falls with the
// size, or that is 0 at the smallest size, keeps its value at the largest size.
func (s Sweep) extrapolate(figure func(SweepPoint) float64) float64 {
	first, last := s.Rows[0], s.Rows[len(s.Rows)-1]
	from, to := figure(first), figure(last)
	if from <= 0 {
		return to
	}
	exponent := math.Log(to/from) / math.Log(float64(last.Boxes)/float64(first.Boxes))
	exponent = min(max(exponent, 0), maxExponent)
	return to * math.Pow(daemons/float64(last.Boxes), exponent)
}

// sweepMetrics are the rows of each sweep's table after the first.
var sweepMetrics = []struct {
	name   string
	figure func(SweepPoint) float64
}{
	{"processor of the box in the middle, %", func(a SweepPoint) float64 { return a.CoreMedian }},
	{"of the busiest, %", func(a SweepPoint) float64 { return a.Core }},
	{"memory of the busiest, MB", func(a SweepPoint) float64 { return a.Memory }},
	{"KB a second, the box in the middle", func(a SweepPoint) float64 { return a.BytesMedian }},
	{"the busiest", func(a SweepPoint) float64 { return a.Bytes }},
	{"a document in force, ms", func(a SweepPoint) float64 { return a.InForce }},
	{"serving after all were killed, ms", func(a SweepPoint) float64 { return a.AfterKill }},
	{"after a domain was lost, ms", func(a SweepPoint) float64 { return a.AfterDomainLoss }},
}

// relay is the rest of the section: other measurements of boxes that forward traffic, each with
// the command or the record that it comes from.
//
//go:embed relay.md
var relay string

// sweeps writes the section.
func (f *figures) sweeps(b *strings.Builder) {
	fmt.Fprintf(b, "## Boxes that relay, by the users' sweep\n\n")
	fmt.Fprintf(b, "All traffic is in these figures, that of callers and upstreams too, and each box has a share of a core of\n")
	fmt.Fprintf(b, "its own. What is carried on to %d boxes grows by the power between the smallest and the largest fleet\n", daemons)
	fmt.Fprintf(b, "played, %d at the most. What carries each, and what breaks first, stands below.\n", maxExponent)
	for _, s := range f.Sweeps {
		fmt.Fprintf(b, "\n| %s |", s.Site)
		for _, at := range s.Rows {
			fmt.Fprintf(b, " %d boxes, %d upstreams |", at.Boxes, at.Upstreams)
		}
		fmt.Fprintf(b, " carried on to %d |\n|---|%s---|\n", daemons, strings.Repeat("---|", len(s.Rows)))
		s.verdicts(b)
		for _, c := range sweepMetrics {
			fmt.Fprintf(b, "| %s |", c.name)
			for _, at := range s.Rows {
				fmt.Fprintf(b, " %s |", shortNumber(c.figure(at)))
			}
			fmt.Fprintf(b, " %s |\n", shortNumber(s.extrapolate(c.figure)))
		}
	}
	fmt.Fprintf(b, "\n%s\n", relay)
}

// verdicts writes the row with the violated rules, the worth and the share served at each size.
func (s Sweep) verdicts(b *strings.Builder) {
	fmt.Fprintf(b, "| rules broken; worth; served |")
	for _, at := range s.Rows {
		broken := at.Broken
		if broken == "" {
			broken = "none"
		}
		fmt.Fprintf(b, " %s; %.3f; %.3f |", broken, at.Worth, at.Served)
	}
	fmt.Fprintf(b, " not played |\n")
}

// shortNumber formats a figure without decimals from 100 on, else with one; 0, which means not
// measured, becomes a dash.
func shortNumber(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v == 0:
		return "-"
	}
	return fmt.Sprintf("%.1f", v)
}
