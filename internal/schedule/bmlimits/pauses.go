package bmlimits

import (
	"basilmoor.example/basilmoor"
)

const (
	// pauseQuantile is the fraction of the streams whose longest pause is at most
	// the expected one.
	pauseQuantile = 0.9

	// pauseStep is the largest relative change of the factor after one stream.
	pauseStep = 0.05

	// minPauseFactor and maxPauseFactor bound the factor.
	minPauseFactor = 0.25
	maxPauseFactor = 4.0
)

// Pauses learns how long the pauses of streams are, relative to the time that the
// prompts beside them take.
type Pauses struct {
	factor float64
}

// NewPauses returns a value that expects pauses as long as the prompts take.
func NewPauses() Pauses {
	return Pauses{
		factor: 1,
	}
}

// Expected returns a pause that is exceeded in one stream of ten, given the time that
// the prompts take which a target processes beside it.
func (p Pauses) Expected(prompts float64) float64 {
	return p.factor * prompts
}

// Factor returns the learned ratio of pauses to prompts.
func (p Pauses) Factor() float64 {
	return p.factor
}

// WithPause returns p after a stream whose longest pause was actual, while the longest
// time of prompts beside it was prompts.
func (p Pauses) WithPause(prompts float64, actual basilmoor.Millis) Pauses {
	if prompts <= 0 || actual <= 0 {
		return p
	}
	step := -pauseStep * (1 - pauseQuantile)
	if float64(actual) > p.Expected(prompts) {
		step = pauseStep * pauseQuantile
	}
	p.factor = min(max(p.factor*(1+step), minPauseFactor), maxPauseFactor)
	return p
}
