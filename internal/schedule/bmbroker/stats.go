package bmbroker

import (
	"maps"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

// Stats holds the metrics of a broker.
type Stats struct {
	Waiting               map[int]int   // waiting demands by tier rank
	WaitingBytes          int           // sum of BodyBytes of the waiting demands
	InFlight              int           // requests that hold capacity
	Granted               map[int]int64 // grants by tier rank
	Refused               map[basilmoor.Reason]int64
	Inversions            int64 // grants and refusals that violate the priority order of tiers
	ReleasedWithoutReport int64 // requests whose capacity was freed without a final report
	Targets               []bmcapacity.TargetStats
}

// Stats returns a snapshot of the metrics.
func (b *Broker) Stats() Stats {
	return Stats{
		Waiting:               b.queue.LenByTier(),
		WaitingBytes:          b.queue.Bytes(),
		InFlight:              b.pool.InFlight(),
		Granted:               maps.Clone(b.grantedByTier),
		Refused:               maps.Clone(b.refused),
		Inversions:            b.inversions,
		ReleasedWithoutReport: b.pool.ReleasedWithoutReport(),
		Targets:               b.pool.Stats(),
	}
}
