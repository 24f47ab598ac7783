package experiment

import (
	"fmt"
	"testing"
)

// Reports the cost of control in domains of three sizes, idle and under load.
func BenchmarkCell(b *testing.B) {
	for _, c := range []CellConfig{
		{Boxes: 8, Upstreams: 30, Sets: 3, Slots: 165, Seconds: 25},
		{Boxes: 24, Upstreams: 89, Sets: 8, Slots: 165, Seconds: 25},
		{Boxes: 93, Upstreams: 345, Sets: 28, Slots: 165, Seconds: 25},
		{Boxes: 8, Upstreams: 30, Sets: 3, Slots: 165, Rate: 41, Seconds: 25},
		{Boxes: 24, Upstreams: 89, Sets: 8, Slots: 165, Rate: 41, Seconds: 25},
		{Boxes: 93, Upstreams: 345, Sets: 28, Slots: 165, Rate: 41, Seconds: 25},
	} {
		b.Run(fmt.Sprintf("boxes=%d/rate=%g", c.Boxes, c.Rate), func(b *testing.B) {
			for b.Loop() {
				r := MeasureCell(c)
				b.ReportMetric(r.Bytes, "B/s")
				b.ReportMetric(r.MostBytes, "most-B/s")
				b.ReportMetric(100*r.Core, "%core")
				b.ReportMetric(100*r.MostCore, "most-%core")
				b.ReportMetric(float64(r.Running), "running")
				b.ReportMetric(float64(r.Waiting), "waiting")
			}
		})
	}
}

// Reports the time until a table change is in force, with lost datagrams and failed
// table readers.
func BenchmarkSpread(b *testing.B) {
	for _, c := range []struct {
		boxes, dead int
		loss        float64
	}{{8, 0, 0}, {93, 0, 0}, {93, 0, 0.1}, {93, 2, 0.1}} {
		b.Run(fmt.Sprintf("boxes=%d/dead=%d/loss=%g", c.boxes, c.dead, c.loss), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(MeasureSpread(c.boxes, c.dead, c.loss).Seconds, "s")
			}
		})
	}
}
