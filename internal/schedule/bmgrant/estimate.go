package bmgrant

import (
	"math"

	"basilmoor.example/basilmoor"
)

const (
	// firstTokenQuantile is the fraction of the responses whose first token
	// arrives within the expected time multiplied by the learned factor.
	firstTokenQuantile = 0.9

	// quantileStep is the largest relative change of the factor after one
	// response.
	quantileStep = 0.05

	// minFirstTokenFactor and maxFirstTokenFactor bound the factor.
	minFirstTokenFactor = 1.0
	maxFirstTokenFactor = 8.0

	// holdWeight is the weight of the latest response in the averages of the
	// time for which a slot is held.
	holdWeight = 0.01

	// offeredWindow is the time constant of the rate at which work arrives.
	offeredWindow = 2 * basilmoor.Second

	// minFreeShare is the least fraction of the capacity that lower tiers are
	// assumed to get beside higher ones.
	minFreeShare = 0.02

	// maxTiers is the number of tiers whose load is tracked separately.
	maxTiers = 16
)

// estimates holds what a pool learns about the errors of its expectations and
// about its load. The expectations follow from the length of a request and the
// speed of a target, but not from what runs beside it, and the declared length
// of a response is often far off.
type estimates struct {
	firstTokenFactor float64 // relative to the fastest target without a backlog
	expectedHold     float64 // average ms, as expected
	actualHold       float64 // average ms
	offered          [maxTiers]float64
	offeredAt        basilmoor.Millis
}

func newEstimates() estimates {
	return estimates{
		firstTokenFactor: minFirstTokenFactor,
	}
}

// observeFirstToken moves the factor towards its quantile.
func (e *estimates) observeFirstToken(expected, actual basilmoor.Millis) {
	if expected <= 0 {
		return
	}
	step := -quantileStep * (1 - firstTokenQuantile)
	if float64(actual) > e.firstTokenFactor*float64(expected) {
		step = quantileStep * firstTokenQuantile
	}
	e.firstTokenFactor = min(max(e.firstTokenFactor*(1+step), minFirstTokenFactor), maxFirstTokenFactor)
}

// observeHold records for how long a slot was held.
func (e *estimates) observeHold(expected, actual basilmoor.Millis) {
	if expected <= 0 || actual <= 0 {
		return
	}
	if e.expectedHold == 0 {
		e.expectedHold = float64(expected)
		e.actualHold = float64(actual)
		return
	}
	e.expectedHold += holdWeight * (float64(expected) - e.expectedHold)
	e.actualHold += holdWeight * (float64(actual) - e.actualHold)
}

// holdFactor returns the ratio of the time for which slots are held to the
// expected one.
func (e *estimates) holdFactor() float64 {
	if e.expectedHold == 0 {
		return 1
	}
	return e.actualHold / e.expectedHold
}

// offer records the arrival of work, in ms of a slot.
func (e *estimates) offer(now basilmoor.Millis, tier int, work float64) {
	decay := math.Exp(-float64(now-e.offeredAt) / float64(offeredWindow))
	for i := range e.offered {
		e.offered[i] *= decay
	}
	e.offeredAt = now
	e.offered[tierIndex(tier)] += work / float64(offeredWindow)
}

// freeShare returns the fraction of a capacity, in slots, that the tiers above
// the given one leave free.
func (e *estimates) freeShare(now basilmoor.Millis, tier int, capacity float64) float64 {
	higher := 0.0
	for i := range tierIndex(tier) {
		higher += e.offered[i]
	}
	higher *= math.Exp(-float64(now-e.offeredAt) / float64(offeredWindow))
	return max(1-higher*e.holdFactor()/max(capacity, 1), minFreeShare)
}

func tierIndex(tier int) int {
	return min(max(tier, 0), maxTiers-1)
}
