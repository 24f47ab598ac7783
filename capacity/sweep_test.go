package capacity

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestASweepIsCarriedOn(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to float64 // at 27 and at 270 boxes
		want     float64 // at 2,700
	}{
		{"with the boxes", 2, 20, 200},
		{"not at all", 5, 5, 5},
		{"downwards", 5, 1, 1}, // it is not taken to fall on
		{"faster than the square", 1, 1e4, 1e6},
		{"from nothing", 0, 7, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := Sweep{Rows: []SweepAt{{Boxes: 27, Core: c.from}, {Boxes: 270, Core: c.to}}}
			got := s.carriedOn(func(a SweepAt) float64 { return a.Core })
			is.True(got > c.want*0.999 && got < c.want*1.001)
		})
	}
}

func TestThePageNamesRulesThatASweepBroke(t *testing.T) {
	is := is.New(t)
	f := &figures{Slopes: &Slopes{Sweeps: []Sweep{{Site: "a site", Rows: []SweepAt{{Boxes: 30}, {Boxes: 300, Broken: "LOST 2"}}}}}}
	var b strings.Builder
	f.sweeps(&b)
	is.True(strings.Contains(b.String(), "| rules broken; worth; served | none; 0.000; 0.000 | LOST 2; 0.000; 0.000 |"))
}
