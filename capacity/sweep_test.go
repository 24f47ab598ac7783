package capacity

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Checks the exponent of the extrapolation and its bounds of 0 and 2.
func TestExtrapolate(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to float64 // at 27 and at 270 boxes
		want     float64 // at 2,700
	}{
		{"linear growth", 2, 20, 200},
		{"constant", 5, 5, 5},
		{"decrease keeps the last value", 5, 1, 1},
		{"growth above the square is bounded", 1, 1e4, 1e6},
		{"zero at the smallest size", 0, 7, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := Sweep{Rows: []SweepPoint{{Boxes: 27, Core: c.from}, {Boxes: 270, Core: c.to}}}
			got := s.extrapolate(func(a SweepPoint) float64 { return a.Core })
			is.True(got > c.want*0.999 && got < c.want*1.001)
		})
	}
}

// Checks that the page names the rules that were violated at each size of a sweep.
func TestPageNamesViolatedRules(t *testing.T) {
	is := is.New(t)
	f := &figures{Slopes: &Slopes{Sweeps: []Sweep{{Site: "a site", Rows: []SweepPoint{{Boxes: 30}, {Boxes: 300, Broken: "LOST 2"}}}}}}
	var b strings.Builder
	f.sweeps(&b)
	is.True(strings.Contains(b.String(), "| rules broken; worth; served | none; 0.000; 0.000 | LOST 2; 0.000; 0.000 |"))
}
