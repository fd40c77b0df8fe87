// Package bmbroker decides for one pool which waiting demand gets which
// target: late binding by grants.
//
// A demand waits in the broker's queue until a target that can serve it has a
// free slot. Only then is it bound to a target, by a grant that is valid for a
// bounded time. Invariants: a demand is never granted a target while a demand
// of a higher tier that this target can serve waits; a request has at most one
// live grant; every demand ends in one grant or one refusal; capacity is freed
// by the end of the request, by the lapse of an unused grant, or by DropHost,
// whichever is first, and only once.
package bmbroker

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
	"basilmoor.example/basilmoor/internal/schedule/bmqueue"
)

// Config tunes a broker.
type Config struct {
	Queue    bmqueue.Config
	Capacity bmcapacity.Config

	// WarmUp is the time from the first message during which nothing is
	// granted, because a new broker does not know the open dispatches yet.
	// EndWarmUp ends it early. 0 is for a broker that knows everything.
	WarmUp basilmoor.Millis
}

// DefaultConfig returns the values for production use, with a warm-up of one
// heartbeat.
func DefaultConfig() Config {
	return Config{
		Queue:    bmqueue.DefaultConfig(),
		Capacity: bmcapacity.DefaultConfig(),
		WarmUp:   basilmoor.Second,
	}
}

func (c Config) withDefaults() Config {
	if c.Queue == (bmqueue.Config{}) {
		c.Queue = bmqueue.DefaultConfig()
	}
	if c.Capacity == (bmcapacity.Config{}) {
		c.Capacity = bmcapacity.DefaultConfig()
	}
	return c
}
