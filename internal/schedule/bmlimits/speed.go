package bmlimits

import (
	"math"

	"basilmoor.example/basilmoor"
)

const (
	// maxReportAge is the age from which a report says nothing about the present.
	maxReportAge basilmoor.Millis = 300

	// usualWeight is the weight of a report in the average of a target's reports.
	usualWeight = 0.05

	// minSlowdown and maxSlowdown bound the effect of a report.
	minSlowdown = 0.5
	maxSlowdown = 4.0

	// minDeviation is the least relative deviation from the usual at which a
	// response tells whether a report was right.
	minDeviation = 0.2

	// gainWeight is the weight of a response in the average gain of the reports.
	gainWeight = 0.2
)

// Speed is how slow a target says that it is, relative to its usual speed. The zero
// value has no reports.
type Speed struct {
	usual      float64 // average report in percent; 0 before the first
	latest     float64
	reportedAt basilmoor.Millis
	gain       float64 // by how much the reports reduce the error of expected times, as a logarithm
}

// WithReport returns s after a report, in percent, that a response carried.
func (s Speed) WithReport(now basilmoor.Millis, percent int) Speed {
	if percent <= 0 {
		return s
	}
	s.latest = float64(percent)
	s.reportedAt = now
	if s.usual == 0 {
		s.usual = s.latest
		return s
	}
	s.usual += usualWeight * (s.latest - s.usual)
	return s
}

// Reported returns by how much longer than usual work takes now according to the
// latest report; 1 if that is too old.
func (s Speed) Reported(now basilmoor.Millis) float64 {
	if s.usual == 0 || now-s.reportedAt > maxReportAge {
		return 1
	}
	return min(max(s.latest/s.usual, minSlowdown), maxSlowdown)
}

// Slowdown returns what Reported does as long as the reports have predicted times
// better than no report would have, and 1 otherwise.
func (s Speed) Slowdown(now basilmoor.Millis) float64 {
	if s.gain < 0 {
		return 1
	}
	return s.Reported(now)
}

// WithOutcome returns s after a response that was expected to take the given time at
// the usual speed, while reported was the value of Reported.
func (s Speed) WithOutcome(reported float64, expected, actual basilmoor.Millis) Speed {
	if expected <= 0 || actual <= 0 || math.Abs(reported-1) < minDeviation {
		return s
	}
	deviation := math.Log(float64(actual) / float64(expected))
	gain := math.Abs(deviation) - math.Abs(deviation-math.Log(reported))
	s.gain += gainWeight * (gain - s.gain)
	return s
}
