// Package bmslope fits straight lines to measurements at several sizes and
// extrapolates them to other sizes.
//
// A line needs at least four distinct sizes and always comes with its spread, so
// that a report can state the error of a slope.
package bmslope

import (
	"fmt"
	"math"
)

// MinSizes is the least number of distinct sizes that Fit accepts.
const MinSizes = 4

// Point is the value measured at one size.
type Point struct {
	Size  float64 // number of hosts, targets, workspaces, ...
	Value float64 // in the unit of the measurement
}

// Line is the fitted line value = Intercept + Slope * size.
type Line struct {
	Slope     float64
	Intercept float64

	// MaxRelativeDeviation is the largest absolute deviation of a measured
	// value from the line, as a fraction of the largest absolute value.
	MaxRelativeDeviation float64
}

// TooFewSizesError reports that the points had fewer than MinSizes distinct
// sizes.
type TooFewSizesError struct {
	Sizes int
}

func (e *TooFewSizesError) Error() string {
	return fmt.Sprintf("fitting a line needs at least %d distinct sizes, got %d", MinSizes, e.Sizes)
}

// Fit returns the least-squares line through points. The error is a
// *TooFewSizesError.
func Fit(points []Point) (Line, error) {
	sizes := make(map[float64]bool)
	var sumX, sumY float64
	for _, p := range points {
		sizes[p.Size] = true
		sumX += p.Size
		sumY += p.Value
	}
	if len(sizes) < MinSizes {
		return Line{}, &TooFewSizesError{
			Sizes: len(sizes),
		}
	}
	n := float64(len(points))
	meanX := sumX / n
	meanY := sumY / n
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.Size - meanX) * (p.Value - meanY)
		variance += (p.Size - meanX) * (p.Size - meanX)
	}
	slope := covariance / variance
	l := Line{
		Slope:     slope,
		Intercept: meanY - slope*meanX,
	}
	l.MaxRelativeDeviation = l.maxRelativeDeviation(points)
	return l, nil
}

// At returns the value that the line predicts for a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

func (l Line) maxRelativeDeviation(points []Point) float64 {
	var largestDeviation, largestValue float64
	for _, p := range points {
		largestDeviation = math.Max(largestDeviation, math.Abs(p.Value-l.At(p.Size)))
		largestValue = math.Max(largestValue, math.Abs(p.Value))
	}
	if largestValue == 0 {
		return 0
	}
	return largestDeviation / largestValue
}
