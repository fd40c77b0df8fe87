package bmclaim

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a rate of store writes, including the deletions of trimmed
// segments, that grows with the rate of claims.
func TestWriteBudget(t *testing.T) {
	r, err := Simulation{
		Rate:     1000,
		WarmUp:   trimAge + 30*basilmoor.Second,
		Measured: 2 * basilmoor.Minute,
		Seed:     1,
	}.Run()
	require.NoError(t, err)
	require.Greater(t, r.Claims, 6000)
	require.Positive(t, r.Deletes)
	require.LessOrEqual(t, r.Appends+r.Deletes, 200.0)
}

// Guards against an append limit that delays claims at low rates.
func TestShortWaitAtLowRate(t *testing.T) {
	r, err := Simulation{
		Rate:     10,
		WarmUp:   trimAge + basilmoor.Minute,
		Measured: 30 * basilmoor.Minute,
		Seed:     1,
	}.Run()
	require.NoError(t, err)
	require.Greater(t, r.Claims, 900)
	require.LessOrEqual(t, r.WaitPercentile(95), 15*basilmoor.Millis(1))
}

// Guards against a record that is written separately although a claim follows
// shortly, and against a record that waits for a claim without a time limit.
func TestRecordsWaitForClaims(t *testing.T) {
	clock := &steppingClock{}
	c := newCommitter(Config{
		Clock: clock,
		Store: newFakeStore(),
		Live:  func(string) bool { return true },
	})
	s := c.slots[0]
	put := func(e entry, r *basilmoor.ClaimRequest) {
		o, err := newOperation(context.Background(), e, r)
		require.NoError(t, err)
		require.NoError(t, s.enqueue(o, clock.now))
	}
	record := newRecordEntry(basilmoor.ClaimRecord{
		Workspace: "w",
		Key:       "a",
		Request:   "r0",
		State:     basilmoor.ClaimDone,
	})
	put(record, nil)
	require.Equal(t, recordWindow, s.nextBatchAt())
	clock.now = 100
	put(record, nil)
	require.Equal(t, recordWindow, s.nextBatchAt(), "a later record must not delay the first")
	r := request("b", "r1")
	put(newClaimEntry(r), &r)
	require.Equal(t, clock.now+claimWindow, s.nextBatchAt())
	require.Len(t, s.takeBatch(), 3)
	require.Less(t, recordWindow+writeInterval, ownerTimeout)
}

// Guards against a former slot owner that repeats every deletion of the current
// owner.
func TestFormerOwnerStopsDeleting(t *testing.T) {
	clock := &steppingClock{}
	store := newFakeStore()
	cfg := Config{
		Clock: clock,
		Store: store,
		Live:  func(string) bool { return true },
	}
	former, current := newCommitter(cfg), newCommitter(cfg)
	for n := range 4 {
		r := request(fmt.Sprintf("a%d", n), fmt.Sprintf("r%d", n))
		commitOne(t, former, newClaimEntry(r), &r)
	}
	r := request("b", "rb")
	commitOne(t, current, newClaimEntry(r), &r)
	clock.now += trimAge
	again := request("c", "rc")
	commitOne(t, current, newClaimEntry(again), &again)
	former.slots[0].trim(context.Background())
	require.Len(t, store.list(""), 6, "the former owner leaves the deletions to the current one")
	current.slots[0].trim(context.Background())
	require.Len(t, store.list(""), 1)

	clock.now += idleTrimDelay
	calls := 0
	store.hook = func() { calls++ }
	former.slots[0].trim(context.Background())
	former.slots[0].trim(context.Background())
	require.Equal(t, 2, calls, "one store call runs the hook twice")
	repeat := request("c", "rd")
	require.Equal(t, basilmoor.ClaimRunning, commitOne(t, former, newClaimEntry(repeat), &repeat).State)
}

// Guards against a new slot owner that repeats the deletions of the former owner
// and so falls behind with its own.
func TestNewOwnerSkipsDeleted(t *testing.T) {
	clock := &steppingClock{}
	store := newFakeStore()
	cfg := Config{
		Clock: clock,
		Store: store,
		Live:  func(string) bool { return true },
	}
	former, current := newCommitter(cfg), newCommitter(cfg)
	const segmentCount = 100
	for n := range segmentCount {
		r := request(fmt.Sprintf("a%d", n), fmt.Sprintf("r%d", n))
		commitOne(t, former, newClaimEntry(r), &r)
	}
	clock.now += 10 * basilmoor.Minute
	r := request("b", "rb")
	commitOne(t, current, newClaimEntry(r), &r)
	clock.now += 7 * basilmoor.Minute
	for range segmentCount {
		former.slots[0].trim(context.Background())
	}
	require.Len(t, store.list(""), 2)
	middle := request("d", "rd") // keeps the view trusted, so that it is not read again
	commitOne(t, current, newClaimEntry(middle), &middle)
	clock.now += 9 * basilmoor.Minute
	again := request("c", "rc")
	commitOne(t, current, newClaimEntry(again), &again)
	calls := 0
	store.hook = func() { calls++ }
	current.slots[0].trim(context.Background())
	require.LessOrEqual(t, calls, 2*12, "each store call runs the hook twice")
	require.Len(t, store.list(""), 2, "the segments younger than trimAge")
}
