package bmclaim

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against store writes that grow with the rate of claims, counting the
// deletions of segments that have become old.
func TestWriteBudget(t *testing.T) {
	r, err := Trial{
		Rate:    1000,
		Warm:    trimAge + 30*basilmoor.Second,
		Measure: 2 * basilmoor.Minute,
		Seed:    1,
	}.Run()
	require.NoError(t, err)
	require.Greater(t, r.Claims, 6000)
	require.Positive(t, r.Deletes)
	require.LessOrEqual(t, r.Appends+r.Deletes, 200.0)
}

// Guards against a write budget that makes claims wait although few are made.
func TestShortWaitAtLowRate(t *testing.T) {
	r, err := Trial{
		Rate:    10,
		Warm:    trimAge + basilmoor.Minute,
		Measure: 30 * basilmoor.Minute,
		Seed:    1,
	}.Run()
	require.NoError(t, err)
	require.Greater(t, r.Claims, 900)
	require.LessOrEqual(t, r.Wait(95), 15*basilmoor.Millis(1))
}

// Guards against records that get a write of their own although a claim follows
// soon, and against records that wait for a claim without bound.
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
	record := recordOf(basilmoor.ClaimRecord{
		Workspace: "w",
		Key:       "a",
		Request:   "r0",
		State:     basilmoor.ClaimDone,
	})
	put(record, nil)
	require.Equal(t, recordWindow, s.startAt())
	clock.now = 100
	put(record, nil)
	require.Equal(t, recordWindow, s.startAt(), "a later record must not delay the first")
	r := request("b", "r1")
	put(claimOf(r), &r)
	require.Equal(t, clock.now+window, s.startAt())
	require.Len(t, s.take(), 3)
	require.Less(t, recordWindow+writeInterval, ownerBound)
}

// Guards against a former owner that repeats each deletion of the present one.
func TestFormerOwnerStopsDeleting(t *testing.T) {
	clock := &steppingClock{}
	store := newFakeStore()
	cfg := Config{
		Clock: clock,
		Store: store,
		Live:  func(string) bool { return true },
	}
	former, present := newCommitter(cfg), newCommitter(cfg)
	for n := range 4 {
		r := request(fmt.Sprintf("a%d", n), fmt.Sprintf("r%d", n))
		commitOne(t, former, claimOf(r), &r)
	}
	r := request("b", "rb")
	commitOne(t, present, claimOf(r), &r)
	clock.now += trimAge
	again := request("c", "rc")
	commitOne(t, present, claimOf(again), &again)
	former.slots[0].trim(context.Background())
	require.Len(t, store.list(""), 6, "the former owner leaves the deletions to the present one")
	present.slots[0].trim(context.Background())
	require.Len(t, store.list(""), 1)

	clock.now += idleGrace
	calls := 0
	store.around = func() { calls++ }
	former.slots[0].trim(context.Background())
	former.slots[0].trim(context.Background())
	require.Equal(t, 2, calls, "one call, entered and left")
	repeat := request("c", "rd")
	require.Equal(t, basilmoor.ClaimRunning, commitOne(t, former, claimOf(repeat), &repeat).State)
}

// Guards against a new owner that repeats the deletions of a former one, and
// falls behind with its own.
func TestNewOwnerSkipsDeleted(t *testing.T) {
	clock := &steppingClock{}
	store := newFakeStore()
	cfg := Config{
		Clock: clock,
		Store: store,
		Live:  func(string) bool { return true },
	}
	former, present := newCommitter(cfg), newCommitter(cfg)
	const made = 100
	for n := range made {
		r := request(fmt.Sprintf("a%d", n), fmt.Sprintf("r%d", n))
		commitOne(t, former, claimOf(r), &r)
	}
	clock.now += 10 * basilmoor.Minute
	r := request("b", "rb")
	commitOne(t, present, claimOf(r), &r)
	clock.now += 7 * basilmoor.Minute
	for range made {
		former.slots[0].trim(context.Background())
	}
	require.Len(t, store.list(""), 2)
	middle := request("d", "rd") // so that the view is trusted and not read again
	commitOne(t, present, claimOf(middle), &middle)
	clock.now += 9 * basilmoor.Minute
	again := request("c", "rc")
	commitOne(t, present, claimOf(again), &again)
	calls := 0
	store.around = func() { calls++ }
	present.slots[0].trim(context.Background())
	require.LessOrEqual(t, calls, 2*12, "calls are entered and left")
	require.Len(t, store.list(""), 2, "the segments that are not old")
}
