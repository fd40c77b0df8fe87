// Package bmprefill limits the prompts that a target processes beside running streams.
//
// An engine that processes a prompt produces fewer tokens for the streams that run beside
// it, and a slow engine can make them late by that alone. How many prompt tokens a target
// takes well follows from its speed, from the objectives of the streams on it, and from how
// much longer pauses were than the prompts that caused them, which Pauses learns.
//
// Pauses is an immutable value without I/O and without a clock. Its owner is the pool that
// grants the targets' slots: the broker's, or that of a host that serves its own share. It
// is lost with the pool; the next one starts without a correction and learns it again from
// the streams that end. An owner that was paused goes on with what it knew: the value has
// no age, and follows a change within some tens of streams.
package bmprefill

import (
	"basilmoor.example/basilmoor"
)

const (
	// pauseQuantile is the fraction of the streams whose longest pause is at most
	// the expected one.
	pauseQuantile = 0.95

	// pauseStep is the largest relative change of the factor after one stream.
	pauseStep = 0.05

	// minPauseFactor and maxPauseFactor bound the factor.
	minPauseFactor = 0.25
	maxPauseFactor = 4.0

	// minSlowerRatio is the ratio of the times that an event takes on a target and
	// on the fastest one up to which waiting for a faster target gains little.
	minSlowerRatio = 1.5
)

// Pauses learns how long the pauses of streams are, relative to the time that an event and
// the prompts beside it are expected to take.
type Pauses struct {
	factor float64
}

// NewPauses returns a value that expects pauses as long as events take.
func NewPauses() Pauses {
	return Pauses{
		factor: 1,
	}
}

// Factor returns the learned ratio of pauses to the expected time of events.
func (p Pauses) Factor() float64 {
	return p.factor
}

// WithPause returns p after a stream, given its longest pause and the longest time in ms
// that one of its events was expected to take.
func (p Pauses) WithPause(expected float64, longest basilmoor.Millis) Pauses {
	if expected <= 0 || longest <= 0 {
		return p
	}
	step := -pauseStep * (1 - pauseQuantile)
	if float64(longest) > p.factor*expected {
		step = pauseStep * pauseQuantile
	}
	p.factor = min(max(p.factor*(1+step), minPauseFactor), maxPauseFactor)
	return p
}

// Allows reports whether a target may process a prompt beside streams of which none may
// pause for longer than maxPause, 0 for no bound, if an event of theirs is expected to take
// the given time in ms with the prompt.
func (p Pauses) Allows(expected float64, maxPause basilmoor.Millis) bool {
	return maxPause <= 0 || p.factor*expected <= float64(maxPause)
}

// ClearlySlower reports whether an event takes so much longer on a target than on the
// fastest one, with the same prompt beside it, that the prompt may wait for a faster one.
func ClearlySlower(expected, fastest float64) bool {
	return expected > minSlowerRatio*fastest
}
