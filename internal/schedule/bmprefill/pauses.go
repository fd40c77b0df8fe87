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
	pauseQuantile = 0.9

	// pauseStep is the largest relative change of the factor after one stream.
	pauseStep = 0.05

	// minPauseFactor and maxPauseFactor bound the factor.
	minPauseFactor = 0.25
	maxPauseFactor = 4.0

	// toleratedRatio is the ratio of the times that prompts take on a target and on
	// the fastest one up to which waiting for a faster target gains little.
	toleratedRatio = 1.5
)

// Pauses learns how long the pauses of streams are, relative to the time that a target
// takes for the prompts beside them.
type Pauses struct {
	factor float64
}

// NewPauses returns a value that expects pauses as long as the prompts take.
func NewPauses() Pauses {
	return Pauses{
		factor: 1,
	}
}

// Factor returns the learned ratio of pauses to the time of prompts.
func (p Pauses) Factor() float64 {
	return p.factor
}

// WithPause returns p after a stream whose longest pause is known, and beside which its
// target processed prompts in at most the given time in ms without another event between.
func (p Pauses) WithPause(prompts float64, longest basilmoor.Millis) Pauses {
	if prompts <= 0 || longest <= 0 {
		return p
	}
	step := -pauseStep * (1 - pauseQuantile)
	if float64(longest) > p.factor*prompts {
		step = pauseStep * pauseQuantile
	}
	p.factor = min(max(p.factor*(1+step), minPauseFactor), maxPauseFactor)
	return p
}

// Allows reports whether a target may process prompts for the given time in ms beside
// streams of which none may pause for longer than maxPause; 0 for no bound. It may as well
// if even the fastest target would take about as long.
func (p Pauses) Allows(prompts, fastest float64, maxPause basilmoor.Millis) bool {
	if maxPause <= 0 || prompts <= toleratedRatio*fastest {
		return true
	}
	return p.factor*prompts <= float64(maxPause)
}
