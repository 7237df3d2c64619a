package report

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot on the page.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws refused and failed requests and ejected targets over time. It leaves
// out the requests that were answered whole, because they are so many that the
// others would not be visible. The extension of the file selects PNG or SVG. The
// error is a *FileError.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Experiment + " (" + r.Policy + ")"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests per second; targets ejected"
	series := []struct {
		name  string
		color color.Color
		value func(Sample) float64
	}{
		{"refused", color.RGBA{R: 200, G: 140, A: 255}, func(s Sample) float64 { return float64(s.Refused) }},
		{"failed", color.RGBA{R: 200, A: 255}, func(s Sample) float64 { return float64(s.Failed) }},
		{"targets ejected", color.RGBA{B: 200, A: 255}, func(s Sample) float64 { return float64(s.Ejected) }},
	}
	for _, one := range series {
		points := make(plotter.XYs, len(r.Samples))
		for i, s := range r.Samples {
			points[i] = plotter.XY{X: float64(s.Second), Y: one.value(s)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.WithStack(&FileError{File: file, Cause: err})
		}
		line.Color = one.color
		p.Add(line)
		p.Legend.Add(one.name, line)
	}
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.WithStack(&FileError{File: file, Cause: err})
	}
	return nil
}
