package capacity

// This file defines the part of the page about boxes that relay: what the users' sweep shows
// at three sizes, carried on to the target. The invariant: what is carried on grows by the power
// between the first and the last size played, 0 to 2.

import (
	_ "embed" // relay.md
	"fmt"
	"math"
	"strings"
)

// Sweep is what a sweep of a deployment showed, by size.
type Sweep struct {
	Site string    `json:"site"`
	Rows []SweepAt `json:"rows"`
}

// SweepAt is what it showed at one size: of the box in the middle, or of the busiest.
type SweepAt struct {
	Boxes        int     `json:"boxes"`
	Upstreams    int     `json:"upstreams"`
	Broken       string  `json:"broken"` // rules, empty where none is
	Worth        float64 `json:"worth"`
	Served       float64 `json:"served"` // a part of 1
	Core         float64 `json:"core"`   // of the busiest box's processor, in 100
	CoreMiddle   float64 `json:"core_middle"`
	Memory       float64 `json:"memory"` // of the busiest, MB
	Bytes        float64 `json:"bytes"`  // of the busiest, KB a second
	BytesMiddle  float64 `json:"bytes_middle"`
	InForce      float64 `json:"in_force"`       // until a document is, the longest, ms
	AfterKill    float64 `json:"after_kill"`     // until boxes serve after all were killed, ms
	AfterZoneOut float64 `json:"after_zone_out"` // and after a domain was lost, ms; 0: not measured
}

// mostPower bounds the power by which a figure is carried on.
const mostPower = 2

// carriedOn is a figure of a sweep at the target's size.
func (s Sweep) carriedOn(figure func(SweepAt) float64) float64 {
	first, last := s.Rows[0], s.Rows[len(s.Rows)-1]
	from, to := figure(first), figure(last)
	if from <= 0 {
		return to
	}
	grown := math.Log(to/from) / math.Log(float64(last.Boxes)/float64(first.Boxes))
	power := min(max(grown, 0), mostPower)
	return to * math.Pow(daemons/float64(last.Boxes), power)
}

// sweepColumns are the columns of the table.
var sweepColumns = []struct {
	name   string
	figure func(SweepAt) float64
}{
	{"processor of the box in the middle, %", func(a SweepAt) float64 { return a.CoreMiddle }},
	{"of the busiest, %", func(a SweepAt) float64 { return a.Core }},
	{"memory of the busiest, MB", func(a SweepAt) float64 { return a.Memory }},
	{"KB a second, the box in the middle", func(a SweepAt) float64 { return a.BytesMiddle }},
	{"the busiest", func(a SweepAt) float64 { return a.Bytes }},
	{"a document in force, ms", func(a SweepAt) float64 { return a.InForce }},
	{"serving after all were killed, ms", func(a SweepAt) float64 { return a.AfterKill }},
	{"after a domain was lost, ms", func(a SweepAt) float64 { return a.AfterZoneOut }},
}

// relay is what was measured of boxes that relay besides, each with the command or the journal entry that holds it.
//
//go:embed relay.md
var relay string

// sweeps writes the part of the page.
func (f *figures) sweeps(b *strings.Builder) {
	fmt.Fprintf(b, "## Boxes that relay, by the users' sweep\n\n")
	fmt.Fprintf(b, "All traffic is in these figures, that of callers and upstreams too, and each box has a share of a core of\n")
	fmt.Fprintf(b, "its own. What is carried on to %d boxes grows by the power between the smallest and the largest fleet\n", daemons)
	fmt.Fprintf(b, "played, %d at the most. What carries each, and what breaks first, stands below.\n", mostPower)
	for _, s := range f.Sweeps {
		fmt.Fprintf(b, "\n| %s |", s.Site)
		for _, at := range s.Rows {
			fmt.Fprintf(b, " %d boxes, %d upstreams |", at.Boxes, at.Upstreams)
		}
		fmt.Fprintf(b, " carried on to %d |\n|---|%s---|\n", daemons, strings.Repeat("---|", len(s.Rows)))
		s.verdicts(b)
		for _, c := range sweepColumns {
			fmt.Fprintf(b, "| %s |", c.name)
			for _, at := range s.Rows {
				fmt.Fprintf(b, " %s |", shortNumber(c.figure(at)))
			}
			fmt.Fprintf(b, " %s |\n", shortNumber(s.carriedOn(c.figure)))
		}
	}
	fmt.Fprintf(b, "\n%s\n", relay)
}

// verdicts writes what became of the days.
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

// shortNumber writes a figure with as many digits as it bears; below what a sweep tells it is
// left out.
func shortNumber(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v == 0:
		return "-"
	}
	return fmt.Sprintf("%.1f", v)
}
