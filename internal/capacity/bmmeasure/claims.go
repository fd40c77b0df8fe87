package bmmeasure

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/capacity/bmslope"
	"basilmoor.example/basilmoor/internal/request/bmclaim"
)

const (
	// fleetClaimsPerSecond is a quarter of the request rate at the design size.
	fleetClaimsPerSecond = 1000
	// claimsPerSlot is the number of claims that the owner of a slot holds at
	// fleetClaimsPerSecond, as claims are kept for 16 minutes.
	claimsPerSlot = fleetClaimsPerSecond * 16 * 60 / bmclaim.Slots
	// claimWarmUp exceeds the retention of claims, so that deletions have begun.
	claimWarmUp = 17 * basilmoor.Minute
)

// Claims measures the store writes and bytes of idempotency claims and the
// memory of the owner of a claim slot.
func Claims() ([]Series, error) {
	writes := Series{
		Role:       "store",
		Cost:       "writes and deletions per second for claims, fleet-wide",
		Size:       "claims per second, fleet-wide",
		Mechanism:  "group commit with a write budget per slot",
		Exact:      true,
		DesignSize: fleetClaimsPerSecond,
	}
	batches := Series{
		Role:       "store",
		Cost:       "segment bytes per claim with its record",
		Size:       "claims per batch",
		Mechanism:  "segments with claims and records of 200 byte answers",
		Exact:      true,
		DesignSize: fleetClaimsPerSecond / bmclaim.Slots / 5,
	}
	memory := Series{
		Role:       "owner of a claim slot",
		Cost:       "memory, bytes",
		Size:       "live claims with answers of 200 bytes",
		Mechanism:  "view of the slot's log",
		DesignSize: claimsPerSlot,
	}
	for _, n := range []int{10, 50, 200, fleetClaimsPerSecond} {
		r, err := runClaimSimulation(n, 1)
		if err != nil {
			return nil, err
		}
		writes.Points = append(writes.Points, newPoint(n, r.Appends+r.Deletes))
	}
	for _, n := range []int{1, 4, 16, 64} {
		r, err := runClaimSimulation(10*n, n)
		if err != nil {
			return nil, err
		}
		batches.Points = append(batches.Points, newPoint(n, float64(r.Bytes)/float64(r.Claims)))
	}
	for _, n := range []int{10, 50, 200, fleetClaimsPerSecond} {
		p, err := measureClaimMemory(n)
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, p)
	}
	return []Series{writes, batches, memory}, nil
}

// runClaimSimulation runs a simulation that counts after deletions of old
// claims have begun.
func runClaimSimulation(rate, burst int) (bmclaim.SimulationResult, error) {
	return bmclaim.Simulation{
		Rate:     float64(rate),
		Burst:    burst,
		WarmUp:   claimWarmUp,
		Measured: 3 * basilmoor.Minute,
		Seed:     1,
	}.Run()
}

// measureClaimMemory measures the heap of a slot owner after 10 minutes of
// claims.
func measureClaimMemory(rate int) (bmslope.Point, error) {
	var r bmclaim.SimulationResult
	var err error
	bytes := retainedHeapBytes(func() any {
		r, err = bmclaim.Simulation{
			Rate:     float64(rate),
			Burst:    1,
			Measured: 10 * basilmoor.Minute,
			Seed:     1,
		}.Run()
		r.Waits = nil
		return r.Owner
	})
	return newPoint(r.Claims, bytes), err
}
