package bmbench

import (
	"math"
	"sync"
)

// Bound is a stated performance goal of the broker with the measured value.
type Bound struct {
	Name string

	// Measured must be at most Limit, or at least Limit if AtLeast is set.
	Measured float64
	Limit    float64
	AtLeast  bool
}

// Met reports whether the bound holds.
func (b Bound) Met() bool {
	if b.AtLeast {
		return b.Measured >= b.Limit
	}
	return b.Measured <= b.Limit
}

// Bounds compares the broker with the clairvoyant scheduler or, for wasted
// prefill and slow targets, with the best baseline in that metric. In the names
// of bounds, a crest is a demand peak and a straggler is a slow target.
func Bounds(results map[string]Result) []Bound {
	broker := results[BrokerScheme]
	clairvoyant := results[ClairvoyantScheme]
	leastWaste, leastSlowTTFT := math.Inf(1), math.Inf(1)
	for _, s := range Baselines() {
		r := results[s.Name]
		leastWaste = min(leastWaste, r.WastedPrefill)
		leastSlowTTFT = min(leastSlowTTFT, r.SlowTargetTTFTP99)
	}
	return []Bound{
		{
			Name:     "inversions",
			Measured: float64(broker.Inversions),
			Limit:    0,
		},
		{
			Name:     "top-tier-goodput-of-clairvoyant",
			Measured: ratio(broker.GoodputByTier[0], clairvoyant.GoodputByTier[0]),
			Limit:    0.98,
			AtLeast:  true,
		},
		{
			Name:     "all-tier-goodput-of-clairvoyant",
			Measured: ratio(broker.Goodput, clairvoyant.Goodput),
			Limit:    0.92,
			AtLeast:  true,
		},
		{
			Name:     "crest-service-of-clairvoyant",
			Measured: ratio(broker.PeakServed, clairvoyant.PeakServed),
			Limit:    0.98,
			AtLeast:  true,
		},
		{
			Name:     "wasted-prefill-of-best-baseline",
			Measured: ratio(broker.WastedPrefill, leastWaste),
			Limit:    0.5,
		},
		{
			Name:     "straggler-p99-of-best-baseline",
			Measured: ratio(broker.SlowTargetTTFTP99, leastSlowTTFT),
			Limit:    0.6,
		},
		{
			Name:     "idle-while-waiting",
			Measured: broker.IdleSlots,
			Limit:    0.02,
		},
	}
}

// LongPeakBounds compares the broker with the clairvoyant scheduler on a
// deployment with one long demand peak.
func LongPeakBounds(results map[string]Result) []Bound {
	return []Bound{
		{
			Name:     "crest-service-of-clairvoyant",
			Measured: ratio(results[BrokerScheme].PeakServed, results[ClairvoyantScheme].PeakServed),
			Limit:    0.95,
			AtLeast:  true,
		},
	}
}

// RunAll runs each scheme with the same arrivals, concurrently, and returns the
// results by scheme name.
func RunAll(d *Deployment, schemes []Scheme, seed uint64) map[string]Result {
	results := make([]Result, len(schemes))
	var wg sync.WaitGroup
	for i, s := range schemes {
		wg.Go(func() { results[i] = Run(d, s, seed) })
	}
	wg.Wait()
	byName := make(map[string]Result, len(schemes))
	for _, r := range results {
		byName[r.Scheme] = r
	}
	return byName
}
