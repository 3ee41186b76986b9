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

// Plot writes a chart to a file. The chart has a curve for each step: the cumulative distribution of
// the times from the starts to the step. Starts after which the step did not occur do not count. The
// file name must end in png, svg or pdf. Plot fails if no step occurred.
func Plot(starts []Start, path string) error {
	chart := plot.New()
	chart.Title.Text = "Steps after the start of processes"
	chart.X.Label.Text = "ms after the start"
	chart.Y.Label.Text = "share of the starts with this step"
	var curves []any
	for _, step := range Steps() {
		if times := StepTimes(starts, step); len(times) > 0 {
			curves = append(curves, string(step), distribution(times))
		}
	}
	if len(curves) == 0 {
		return errors.New("plot the steps after starts: the logs contain none")
	}
	if err := plotutil.AddLines(chart, curves...); err != nil {
		return errors.Wrap(err, "add the curves to the plot")
	}
	return errors.Wrap(chart.Save(plotWidth, plotHeight, path), "save the plot")
}

// distribution returns the cumulative distribution of sorted times.
func distribution(sorted []float64) plotter.XYs {
	points := make(plotter.XYs, 0, 2*len(sorted))
	for index, at := range sorted {
		below := float64(index) / float64(len(sorted))
		above := float64(index+1) / float64(len(sorted))
		points = append(points, plotter.XY{X: at, Y: below}, plotter.XY{X: at, Y: above})
	}
	return points
}
