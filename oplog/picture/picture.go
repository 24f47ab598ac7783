// Package picture draws charts of log summaries.
package picture

// This file defines the PNG of an oplog.Account: for each class a stacked area chart of its
// requests by outcome over time. The invariant: all charts have the same time axis and are
// aligned, so that one moment is at the same horizontal position in each.

import (
	"image/color"
	"io"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/doormast/doormast/oplog"
)

const (
	width     = 10 * vg.Inch
	rowHeight = 2.2 * vg.Inch
	// legendFraction is the fraction of the time axis kept free for the legend, after the last
	// span.
	legendFraction = 0.15
	// minRequestFraction is the smallest fraction of all requests for which a class gets a chart.
	minRequestFraction = 0.01
)

// colors holds the color of each outcome: green and yellows for answers, reds for failures.
var colors = [...]color.Color{
	oplog.OnTime:       color.RGBA{R: 90, G: 170, B: 95, A: 255},
	oplog.LateStart:    color.RGBA{R: 230, G: 200, B: 80, A: 255},
	oplog.LatePause:    color.RGBA{R: 240, G: 160, B: 60, A: 255},
	oplog.Refused:      color.RGBA{R: 120, G: 150, B: 210, A: 255},
	oplog.Unfinished:   color.RGBA{R: 225, G: 115, B: 90, A: 255},
	oplog.Interrupted:  color.RGBA{R: 200, G: 60, B: 60, A: 255},
	oplog.Failed:       color.RGBA{R: 140, G: 30, B: 70, A: 255},
	oplog.Disconnected: color.RGBA{R: 170, G: 170, B: 170, A: 255},
}

// WritePNG draws an account as a PNG image.
func WritePNG(w io.Writer, a *oplog.Account) error {
	charts, err := newCharts(a)
	if err != nil {
		return err
	}
	img := vgimg.New(width, rowHeight*vg.Length(len(charts)))
	tiles := draw.Tiles{Rows: len(charts), Cols: 1}
	rows := make([][]*plot.Plot, len(charts))
	for i, c := range charts {
		rows[i] = []*plot.Plot{c}
	}
	canvases := plot.Align(rows, tiles, draw.New(img))
	for i, c := range charts {
		c.Draw(canvases[i][0])
	}
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(w)
	return err
}

// newCharts returns a chart for each class with enough requests, or a single empty chart if there
// are no classes.
func newCharts(a *oplog.Account) ([]*plot.Plot, error) {
	if len(a.Classes) == 0 {
		empty := plot.New()
		empty.Title.Text = "no requests"
		return []*plot.Plot{empty}, nil
	}
	last := a.Spans[len(a.Spans)-1].Start
	all := 0
	for _, class := range a.Classes {
		all += class.Requests
	}
	var list []*plot.Plot
	for _, class := range a.Classes {
		if float64(class.Requests) < minRequestFraction*float64(all) {
			continue
		}
		chart, err := newChart(a, class.Class, last)
		if err != nil {
			return nil, err
		}
		list = append(list, chart)
	}
	return list, nil
}

// newChart draws one class from the first span to the last.
func newChart(a *oplog.Account, class string, last time.Time) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = class
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	p.Legend.Top = true
	p.X.Min, p.X.Max = 0, (last.Sub(a.Start)+a.Span).Seconds()/(1-legendFraction)
	sums := make([]float64, int(last.Sub(a.Start)/a.Span)+1)
	var layers []*plotter.Polygon
	for outcome, name := range oplog.OutcomeNames {
		layer, err := newLayer(a, class, oplog.Outcome(outcome), sums)
		if err != nil {
			return nil, err
		}
		layers = append(layers, layer)
		p.Legend.Add(name, layer)
	}
	for _, layer := range slices.Backward(layers) { // each layer reaches down to 0, so lower ones are drawn last
		p.Add(layer)
	}
	return p, nil
}

// newLayer returns the area from 0 up to the stacked height of outcome. sums holds the height of
// the outcomes below, in requests per second for each span; newLayer adds this outcome to it.
func newLayer(a *oplog.Account, class string, outcome oplog.Outcome, sums []float64) (*plotter.Polygon, error) {
	for _, g := range a.Spans {
		if g.Class == class {
			sums[int(g.Start.Sub(a.Start)/a.Span)] += float64(g.Outcomes[outcome]) / a.Span.Seconds()
		}
	}
	points := plotter.XYs{{X: 0, Y: 0}}
	for i, height := range sums {
		from := float64(i) * a.Span.Seconds()
		points = append(points, plotter.XY{X: from, Y: height}, plotter.XY{X: from + a.Span.Seconds(), Y: height})
	}
	points = append(points, plotter.XY{X: float64(len(sums)) * a.Span.Seconds(), Y: 0})
	layer, err := plotter.NewPolygon(points)
	if err != nil {
		return nil, err
	}
	layer.Color = colors[outcome]
	layer.Width = 0
	return layer, nil
}
