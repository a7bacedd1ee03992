package scale

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes one plot for each fit to a directory and returns the names of the files.
func (r *Results) Plot(dir string) ([]string, error) {
	var names []string
	for _, fit := range r.Fits {
		p, err := r.plotOf(fit)
		if err != nil {
			return names, fmt.Errorf("plot of %s: %w", fit.Metric, err)
		}
		name := strings.ReplaceAll(string(fit.Metric), ".", "-") + ".png"
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
			return names, fmt.Errorf("%s: %w", name, err)
		}
		names = append(names, name)
	}
	return names, nil
}

// plotOf draws the samples of a metric and the fitted line, extended to the largest size.
func (r *Results) plotOf(fit Fit) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s (exponent %.2f)", r.Sweep.Name, fit.Metric, fit.Exponent)
	p.X.Label.Text, p.Y.Label.Text = string(r.Sweep.Dimension), string(fit.Metric)
	var points plotter.XYs
	for _, s := range r.Samples(fit.Metric) {
		points = append(points, plotter.XY{X: s.Size, Y: s.Value})
	}
	measured, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	measured.Color = color.RGBA{B: 200, A: 255}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: fit.Intercept}, {X: fit.Largest, Y: fit.Predicted}})
	if err != nil {
		return nil, err
	}
	line.Color = color.RGBA{R: 200, A: 255}
	p.Add(measured, line)
	p.Legend.Add("measured", measured)
	p.Legend.Add("line, the largest left out", line)
	return p, nil
}
