package bmstore

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/standin/bmstandinstore"
)

// Guards against a pending watch that continues during an outage, and against a
// write that takes effect during an outage.
func TestOutage(t *testing.T) {
	ctx := context.Background()
	store, clock, c := newStore(t, bmstandinstore.Settings{})
	watched := make(chan error)
	go func() {
		_, _, err := c.Watch(ctx, "", 0, basilmoor.Minute)
		watched <- err
	}()
	clock.WaitTimers(1)
	on, off := true, false
	require.NoError(t, store.SetFaults(bmstandinstore.Faults{
		Outage: &on,
	}))
	var unavailable *basilmoor.UnavailableError
	require.ErrorAs(t, <-watched, &unavailable)
	_, err := c.CompareAndSwap(ctx, "a", 0, nil, "")
	require.ErrorAs(t, err, &unavailable)
	require.NoError(t, store.SetFaults(bmstandinstore.Faults{
		Outage: &off,
	}))
	var missing *basilmoor.NotFoundError
	_, err = c.Get(ctx, "a")
	require.ErrorAs(t, err, &missing)
	require.Equal(t, int64(1), store.Stats().Operations["watch"])
}

// Guards against a slow write that is dropped because its caller was cancelled.
func TestSlowWriteTakesEffect(t *testing.T) {
	store, clock, c := newStore(t, bmstandinstore.Settings{})
	slow, fast := basilmoor.Minute, basilmoor.Millis(0)
	require.NoError(t, store.SetFaults(bmstandinstore.Faults{
		SlownessMillis: &slow,
	}))
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error)
	go func() {
		_, err := c.CompareAndSwap(ctx, "a", 0, []byte("v"), "")
		failed <- err
	}()
	clock.WaitTimers(1)
	cancel()
	require.ErrorIs(t, <-failed, context.Canceled)
	require.NoError(t, store.SetFaults(bmstandinstore.Faults{
		SlownessMillis: &fast,
	}))
	clock.Advance(slow)
	events, _, err := c.Watch(context.Background(), "a", 0, basilmoor.Minute)
	require.NoError(t, err)
	require.Len(t, events, 1)
}

// Guards against a rate limit that is not enforced, and against a rejected call
// that takes effect.
func TestRateLimit(t *testing.T) {
	ctx := context.Background()
	store, clock, c := newStore(t, bmstandinstore.Settings{
		WritesPerSecond: 1,
	})
	_, err := c.CompareAndSwap(ctx, "a", 0, nil, "")
	require.NoError(t, err)
	_, err = c.CompareAndSwap(ctx, "a", 1, nil, "")
	var unavailable *basilmoor.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	clock.Advance(basilmoor.Second)
	e, err := c.CompareAndSwap(ctx, "a", 1, nil, "")
	require.NoError(t, err)
	require.Equal(t, int64(2), e.Revision)
	require.Equal(t, int64(1), store.Stats().RateLimited)
}

// Guards against a client that keeps using connections that stopped responding.
// Also checks that a store restored to an older revision serves that revision.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ctx := context.Background()
	store, server, cleanup, err := bmstandinstore.Start("127.0.0.1:0", "", bmclock.NewSystem(), bmstandinstore.Settings{})
	require.NoError(t, err)
	defer cleanup()
	clock := bmclock.NewManual(0)
	c, _ := newClient(t, clock, "http://"+server.Address())
	for version := range int64(2) {
		_, err = c.CompareAndSwap(ctx, "a", version, nil, "")
		require.NoError(t, err)
	}
	before := int64(1)
	require.NoError(t, store.SetFaults(bmstandinstore.Faults{
		StopResponding:    true,
		RestoreToRevision: &before,
	}))
	failed := make(chan error)
	go func() {
		_, err := c.Get(ctx, "a")
		failed <- err
	}()
	clock.WaitTimers(1)
	clock.Advance(DefaultTimeout)
	require.ErrorIs(t, <-failed, bmclock.ErrTimeout)
	e, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, before, e.Version)
}
