// Package bmcapacity tracks the state of a pool's targets for the broker: requests
// in flight, estimated latencies and concurrency limits, stragglers, and cached
// prompt prefixes.
//
// Invariants:
//   - A request is in flight on at most one target.
//   - Releasing a request twice has no effect.
//   - At most a third of the targets have their slots reduced as stragglers at the
//     same time.
//   - A target that is no longer listed keeps its requests in flight until they
//     end, and gets no new ones.
package bmcapacity

import "basilmoor.example/basilmoor"

// Config holds the parameters of capacity tracking.
type Config struct {
	// GrantTTL plus GrantMargin is how long a grant holds capacity without a
	// report of its dispatch. The margin allows for the latency of the grant
	// to the entry host and of the report back.
	GrantTTL    basilmoor.Millis
	GrantMargin basilmoor.Millis

	// SilenceTimeout is the minimum time without an observation after which a
	// request in flight is assumed to have ended, in case its final report was
	// lost. If a later report arrives, the request is counted again.
	SilenceTimeout basilmoor.Millis

	// StragglerFactor is the inter-token latency, relative to the reference of
	// the hardware generation, at or above which a target is a straggler.
	StragglerFactor float64

	// RecoveredFactor is the relative inter-token latency below which the slots
	// of a straggler are restored.
	RecoveredFactor float64

	// StragglerSlotFraction is the fraction of its slots that a straggler keeps.
	StragglerSlotFraction float64

	// SampleTTL is the age at which the last latency sample of a target is
	// discarded for straggler detection, so that it gets normal load again.
	SampleTTL basilmoor.Millis

	// StallTimeout is the time without progress on any of its streams after
	// which a target is treated as a straggler.
	StallTimeout basilmoor.Millis

	// OtherDataCentrePenalty is the time in milliseconds that is added to the
	// estimate for a target outside the data centre of the request's entry host.
	OtherDataCentrePenalty float64
}

// DefaultConfig returns the production defaults.
func DefaultConfig() Config {
	return Config{
		GrantTTL:               basilmoor.Second,
		GrantMargin:            basilmoor.Second / 2,
		SilenceTimeout:         basilmoor.Minute,
		StragglerFactor:        2.5,
		RecoveredFactor:        1.75,
		StragglerSlotFraction:  0.2,
		SampleTTL:              10 * basilmoor.Second,
		StallTimeout:           6 * basilmoor.Second,
		OtherDataCentrePenalty: 4,
	}
}
