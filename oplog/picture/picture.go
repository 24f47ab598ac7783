// Package picture draws what logs tell.
package picture

// This file defines the picture of an account: for each class a chart of its requests over
// time, their fates on top of each other. The invariant: all charts have the same time
// axis, so that what happened at a moment stands in one column.

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
	// legendShare is the part of the time axis that is left free for the legend, behind the
	// last span.
	legendShare = 0.15
	// leastShare is the part of all requests that a class must have to get a chart.
	leastShare = 0.01
)

// colors are those of the fates: greens and yellows for answers, reds for what got none.
var colors = [...]color.Color{
	oplog.InTime:     color.RGBA{R: 90, G: 170, B: 95, A: 255},
	oplog.LateFirst:  color.RGBA{R: 230, G: 200, B: 80, A: 255},
	oplog.LatePause:  color.RGBA{R: 240, G: 160, B: 60, A: 255},
	oplog.Refused:    color.RGBA{R: 120, G: 150, B: 210, A: 255},
	oplog.Unfinished: color.RGBA{R: 225, G: 115, B: 90, A: 255},
	oplog.Cut:        color.RGBA{R: 200, G: 60, B: 60, A: 255},
	oplog.Failed:     color.RGBA{R: 140, G: 30, B: 70, A: 255},
	oplog.Left:       color.RGBA{R: 170, G: 170, B: 170, A: 255},
}

// Account draws an account as a PNG.
func Account(w io.Writer, a *oplog.Account) error {
	charts, err := chartsOf(a)
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

// chartsOf makes a chart of each class; one without lines where there is none.
func chartsOf(a *oplog.Account) ([]*plot.Plot, error) {
	if len(a.Classes) == 0 {
		empty := plot.New()
		empty.Title.Text = "no requests"
		return []*plot.Plot{empty}, nil
	}
	last := a.Spans[len(a.Spans)-1].From
	all := 0
	for _, class := range a.Classes {
		all += class.Requests
	}
	var list []*plot.Plot
	for _, class := range a.Classes {
		if float64(class.Requests) < leastShare*float64(all) {
			continue
		}
		chart, err := chartOf(a, class.Class, last)
		if err != nil {
			return nil, err
		}
		list = append(list, chart)
	}
	return list, nil
}

// chartOf draws one class from the first span to the last.
func chartOf(a *oplog.Account, class string, last time.Time) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = class
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	p.Legend.Top = true
	p.X.Min, p.X.Max = 0, (last.Sub(a.From)+a.Span).Seconds()/(1-legendShare)
	sums := make([]float64, int(last.Sub(a.From)/a.Span)+1)
	var layers []*plotter.Polygon
	for fate, name := range oplog.FateNames {
		layer, err := layerOf(a, class, oplog.Fate(fate), sums)
		if err != nil {
			return nil, err
		}
		layers = append(layers, layer)
		p.Legend.Add(name, layer)
	}
	for _, layer := range slices.Backward(layers) { // the lower ones cover the higher
		p.Add(layer)
	}
	return p, nil
}

// layerOf is the area below a fate and those before it; sums holds the heights so far.
func layerOf(a *oplog.Account, class string, fate oplog.Fate, sums []float64) (*plotter.Polygon, error) {
	for _, g := range a.Spans {
		if g.Class == class {
			sums[int(g.From.Sub(a.From)/a.Span)] += float64(g.Fates[fate]) / a.Span.Seconds()
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
	layer.Color = colors[fate]
	layer.Width = 0
	return layer, nil
}
