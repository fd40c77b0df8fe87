package bmmeasure

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/capacity/bmslope"
	"basilmoor.example/basilmoor/internal/request/bmclaim"
)

const (
	// claimRate is a quarter of the requests of the design size.
	claimRate = 1000
	// claimsHeld is what the owner of one slot holds at claimRate: claims are
	// kept for 16 minutes.
	claimsHeld = claimRate * 16 * 60 / bmclaim.Slots
	// claimAge is longer than claims are kept.
	claimAge = 17 * basilmoor.Minute
)

// Claims measures what idempotency claims cost the store and the owners of
// their slots.
func Claims() ([]Series, error) {
	writes := Series{
		Role:      "store",
		Cost:      "writes and deletions per second for claims, fleet-wide",
		Size:      "claims per second, fleet-wide",
		Mechanism: "group commit with a write budget per slot",
		Exact:     true,
		Target:    claimRate,
	}
	batches := Series{
		Role:      "store",
		Cost:      "segment bytes per claim with its record",
		Size:      "claims per batch",
		Mechanism: "segments with claims and records of 200 byte answers",
		Exact:     true,
		Target:    claimRate / bmclaim.Slots / 5,
	}
	memory := Series{
		Role:      "owner of a claim slot",
		Cost:      "memory, bytes",
		Size:      "live claims with answers of 200 bytes",
		Mechanism: "view of the slot's log",
		Target:    claimsHeld,
	}
	for _, n := range []int{10, 50, 200, claimRate} {
		r, err := claimTrial(n, 1)
		if err != nil {
			return nil, err
		}
		writes.Points = append(writes.Points, point(n, r.Appends+r.Deletes))
	}
	for _, n := range []int{1, 4, 16, 64} {
		r, err := claimTrial(10*n, n)
		if err != nil {
			return nil, err
		}
		batches.Points = append(batches.Points, point(n, float64(r.Bytes)/float64(r.Claims)))
	}
	for _, n := range []int{10, 50, 200, claimRate} {
		p, err := claimMemory(n)
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, p)
	}
	return []Series{writes, batches, memory}, nil
}

// claimTrial runs a slot until its deletions have begun, and then counts.
func claimTrial(rate, burst int) (bmclaim.SimulationResult, error) {
	return bmclaim.Simulation{
		Rate:     float64(rate),
		Burst:    burst,
		WarmUp:   claimAge,
		Measured: 3 * basilmoor.Minute,
		Seed:     1,
	}.Run()
}

// claimMemory measures the owner of a slot that has made claims for 10 minutes.
func claimMemory(rate int) (bmslope.Point, error) {
	var r bmclaim.SimulationResult
	var err error
	bytes := heapBytes(func() any {
		r, err = bmclaim.Simulation{
			Rate:     float64(rate),
			Burst:    1,
			Measured: 10 * basilmoor.Minute,
			Seed:     1,
		}.Run()
		r.Waits = nil
		return r.Owner
	})
	return point(r.Claims, bytes), err
}
