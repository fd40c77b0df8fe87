// Package bmbroker implements the central scheduler of one pool. It assigns
// waiting demands to targets by late binding.
//
// A demand waits in the broker's queue until a target that can serve it has a
// free slot. Only then is it assigned to that target, by a grant with a limited
// validity.
//
// Invariants:
//   - A target is never granted to a demand while a demand of a higher tier that
//     the target can serve is waiting.
//   - A request has at most one live grant.
//   - Every demand ends in exactly one grant or one refusal.
//   - Capacity is freed exactly once: when the request ends, when an unused grant
//     expires, or by DropHost, whichever comes first.
package bmbroker

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
	"basilmoor.example/basilmoor/internal/schedule/bmqueue"
)

// Config holds the parameters of a broker.
type Config struct {
	Queue    bmqueue.Config
	Capacity bmcapacity.Config

	// WarmUp is the period after the first message during which the broker
	// grants nothing, because a new broker does not know the open dispatches
	// yet. EndWarmUp ends it early. Use 0 if there are no open dispatches.
	WarmUp basilmoor.Millis
}

// DefaultConfig returns the production defaults. The warm-up lasts one heartbeat
// interval.
func DefaultConfig() Config {
	return Config{
		Queue:    bmqueue.DefaultConfig(),
		Capacity: bmcapacity.DefaultConfig(),
		WarmUp:   basilmoor.Second,
	}
}

// withDefaults replaces zero Queue and Capacity values with their defaults.
func (c Config) withDefaults() Config {
	if c.Queue == (bmqueue.Config{}) {
		c.Queue = bmqueue.DefaultConfig()
	}
	if c.Capacity == (bmcapacity.Config{}) {
		c.Capacity = bmcapacity.DefaultConfig()
	}
	return c
}
