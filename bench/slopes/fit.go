// Package slopes measures what each part of the product costs against what
// drives the cost, at several sizes, and fits a line, so that the cost at a size
// that no test machine holds can be computed from measured numbers.
package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the cost measured at one size of the driver.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the line through points by least squares.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root mean square of the distances of the points from
	// the line, relative to the mean of their values.
	Residual float64 `json:"residual"`
}

// FitOf returns the line through at least two points of different sizes.
func FitOf(points []Point) Fit {
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for index, point := range points {
		sizes[index] = point.Size
		values[index] = point.Value
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	fitted := Fit{Intercept: intercept, Slope: slope}
	var squares float64
	for _, point := range points {
		distance := point.Value - fitted.At(point.Size)
		squares += distance * distance
	}
	mean := stat.Mean(values, nil)
	if mean != 0 {
		fitted.Residual = math.Sqrt(squares/float64(len(points))) / math.Abs(mean)
	}
	return fitted
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }
