package bmbroker

import (
	"maps"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

// Stats are the counters of a broker.
type Stats struct {
	Waiting      map[int]int // waiting demands by tier rank
	WaitingBytes int         // held bodies of waiting demands
	InFlight     int         // requests that hold capacity
	Granted      map[int]int64
	Refused      map[basilmoor.Reason]int64
	Inversions   int64 // grants or refusals against the order of tiers
	Lapsed       int64 // capacity freed without a final report
	Targets      []bmcapacity.TargetStats
}

// Stats returns a copy of the counters.
func (b *Broker) Stats() Stats {
	return Stats{
		Waiting:      b.queue.LenByTier(),
		WaitingBytes: b.queue.Bytes(),
		InFlight:     b.pool.InFlight(),
		Granted:      maps.Clone(b.grantedByTier),
		Refused:      maps.Clone(b.refused),
		Inversions:   b.inversions,
		Lapsed:       b.pool.Lapsed(),
		Targets:      b.pool.Stats(),
	}
}
