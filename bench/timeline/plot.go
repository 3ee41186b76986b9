package timeline

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes to a file, whose name ends in png, svg or pdf, which part of the starts had
// come to each step by a time after them. It fails if there is nothing to show.
func Plot(starts []Start, path string) error {
	chart := plot.New()
	chart.Title.Text = "Steps after the start of processes"
	chart.X.Label.Text = "ms after the start"
	chart.Y.Label.Text = "part of those that came to it"
	var curves []any
	for _, step := range Steps() {
		if times := StepTimes(starts, step); len(times) > 0 {
			curves = append(curves, string(step), distribution(times))
		}
	}
	if len(curves) == 0 {
		return errors.New("the logs show no step after a start")
	}
	if err := plotutil.AddLines(chart, curves...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(chart.Save(plotWidth, plotHeight, path), "plot")
}

// curve is the distribution of sorted times.
func distribution(sorted []float64) plotter.XYs {
	points := make(plotter.XYs, 0, 2*len(sorted))
	for index, at := range sorted {
		below := float64(index) / float64(len(sorted))
		above := float64(index+1) / float64(len(sorted))
		points = append(points, plotter.XY{X: at, Y: below}, plotter.XY{X: at, Y: above})
	}
	return points
}
