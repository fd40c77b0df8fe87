// Package bmslope fits straight lines to measurements at several sizes and
// works out values at other sizes.
//
// Invariants: a line is fitted to at least four sizes; its spread is reported
// with it, so that a page can't give a slope without its error.
package bmslope

import (
	"fmt"
	"math"
)

// MinSizes is the least number of sizes that a line is fitted to.
const MinSizes = 4

// Point is one measurement.
type Point struct {
	Size  float64 // number of hosts, targets, workspaces, ...
	Value float64 // in the unit of the measurement
}

// Line is value = Intercept + Slope * size.
type Line struct {
	Slope     float64
	Intercept float64

	// Spread is the largest distance of a measurement from the line, as a
	// share of the largest measured value.
	Spread float64
}

// TooFewError tells that there were not enough different sizes.
type TooFewError struct {
	Sizes int
}

func (e *TooFewError) Error() string {
	return fmt.Sprintf("a line needs %d different sizes, got %d", MinSizes, e.Sizes)
}

// Fit returns the least-squares line through points.
func Fit(points []Point) (Line, error) {
	sizes := make(map[float64]bool)
	var sumX, sumY float64
	for _, p := range points {
		sizes[p.Size] = true
		sumX += p.Size
		sumY += p.Value
	}
	if len(sizes) < MinSizes {
		return Line{}, &TooFewError{
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
	l.Spread = l.spread(points)
	return l, nil
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

func (l Line) spread(points []Point) float64 {
	var worst, largest float64
	for _, p := range points {
		worst = math.Max(worst, math.Abs(p.Value-l.At(p.Size)))
		largest = math.Max(largest, math.Abs(p.Value))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}
