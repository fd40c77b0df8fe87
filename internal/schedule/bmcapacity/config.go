// Package bmcapacity keeps what a pool's broker knows of its targets: the
// requests in flight, learned speeds and limits, stragglers and held prompt
// prefixes.
//
// Invariants: each request is in flight on at most one target; releasing a
// request twice has no effect; at most a third of the targets is reduced as
// stragglers at one time; a target that is no longer listed keeps its requests
// in flight until they end, and takes no new ones.
package bmcapacity

import "basilmoor.example/basilmoor"

// Config tunes the learning of capacity.
type Config struct {
	// GrantTTL and GrantMargin bound how long a grant holds capacity without
	// a report of its dispatch. The margin covers the way of the grant to the
	// entry host and of the report back.
	GrantTTL    basilmoor.Millis
	GrantMargin basilmoor.Millis

	// SilentAfter is the least time without any observation after which a
	// request in flight is taken for ended. It guards against a lost final
	// report; a request that reports again is counted again.
	SilentAfter basilmoor.Millis

	// StragglerFactor is the time between tokens, relative to the reference
	// of the hardware generation, from which a target is a straggler.
	StragglerFactor float64

	// RecoveredFactor is the relative time between tokens below which a
	// straggler gets its slots back.
	RecoveredFactor float64

	// ReducedSlotsShare is the part of its slots that a straggler keeps.
	ReducedSlotsShare float64

	// ForgetAfter is the age from which the last measured speed of a target
	// says nothing any more, so that it is tried again as an ordinary one.
	ForgetAfter basilmoor.Millis

	// StalledAfter is the time without progress of any of its streams after
	// which a target is taken for a straggler.
	StalledAfter basilmoor.Millis

	// OtherDataCentrePenalty is added to the expected time of a target in another
	// data centre than the request's entry host.
	OtherDataCentrePenalty float64
}

// DefaultConfig returns the values that the benchmark was run with.
func DefaultConfig() Config {
	return Config{
		GrantTTL:               basilmoor.Second,
		GrantMargin:            basilmoor.Second / 2,
		SilentAfter:            basilmoor.Minute,
		StragglerFactor:        2.5,
		RecoveredFactor:        1.75,
		ReducedSlotsShare:      0.2,
		ForgetAfter:            10 * basilmoor.Second,
		StalledAfter:           6 * basilmoor.Second,
		OtherDataCentrePenalty: 4,
	}
}
