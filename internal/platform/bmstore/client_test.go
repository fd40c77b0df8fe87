package bmstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/standin/bmstandinstore"
)

func newClient(t *testing.T, clock basilmoor.Clock, url string) (*Client, *bmmetrics.Registry) {
	t.Helper()
	metrics := bmmetrics.NewRegistry()
	c, cleanup, err := New(clock, metrics, Settings{
		BaseURL:         url,
		ReadsPerSecond:  1000,
		WritesPerSecond: 1000,
	})
	require.NoError(t, err)
	t.Cleanup(cleanup)
	return c, metrics
}

// newStore returns a stand-in store that uses the returned manual clock, and a
// client that uses the system clock.
func newStore(t *testing.T, s bmstandinstore.Settings) (*bmstandinstore.Store, *bmclock.Manual, *Client) {
	t.Helper()
	clock := bmclock.NewManual(0)
	store, end := bmstandinstore.New(clock, s)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(end)
	c, _ := newClient(t, bmclock.NewSystem(), server.URL)
	return store, clock, c
}

// Guards against mapping a definite rejection to an unknown effect, or an unknown
// effect to a definite rejection.
func TestErrorMapping(t *testing.T) {
	tests := map[string]struct {
		status int // 0 closes the connection
		body   string
		want   any // pointer to the expected error type
	}{
		"not found": {
			status: 404,
			body:   `{"error":"not found"}`,
			want:   new(*basilmoor.NotFoundError),
		},
		"conflict": {
			status: 409,
			body:   `{"error":"conflict","version":7}`,
			want:   new(*basilmoor.ConflictError),
		},
		"compacted": {
			status: 410,
			body:   `{"error":"compacted","revision":9}`,
			want:   new(*basilmoor.CompactedError),
		},
		"rate limit": {
			status: 429,
			body:   `{}`,
			want:   new(*basilmoor.UnavailableError),
		},
		"server error": {
			status: 500,
			want:   new(*basilmoor.UnavailableError),
		},
		"service unavailable": {
			status: 503,
			body:   `{}`,
			want:   new(*basilmoor.UnavailableError),
		},
		"redirect": {
			status: 307,
			want:   new(*basilmoor.UnavailableError),
		},
		"foreign not found": {
			status: 404,
			body:   `<html>`,
			want:   new(*basilmoor.UnavailableError),
		},
		"answer without version": {
			status: 200,
			want:   new(*basilmoor.UnavailableError),
		},
		"value too large": {
			status: 413,
			body:   `{"error":"too large"}`,
			want:   new(*StatusError),
		},
		"connection closed early": {
			want: new(*basilmoor.UnavailableError),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				if tt.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Location", r.URL.String())
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			c, _ := newClient(t, bmclock.NewSystem(), server.URL)
			_, err := c.CompareAndSwap(context.Background(), "a/b", 3, []byte("v"), "")
			require.ErrorAs(t, err, tt.want)
			require.Equal(t, int64(1), calls.Load(), "a write must be sent exactly once")
			if conflict, ok := tt.want.(**basilmoor.ConflictError); ok {
				require.Equal(t, int64(7), (*conflict).Current.Version)
				require.Equal(t, int64(3), (*conflict).Want)
			}
		})
	}
}

// Guards against a call that waits forever for a service that does not respond.
func TestTimeout(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	clock := bmclock.NewManual(0)
	c, metrics := newClient(t, clock, server.URL)
	failed := make(chan error)
	go func() {
		_, err := c.WithPurpose("config").Get(context.Background(), "a")
		failed <- err
	}()
	clock.WaitTimers(1)
	clock.Advance(DefaultTimeout)
	err := <-failed
	var unavailable *basilmoor.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.ErrorIs(t, err, bmclock.ErrTimeout)
	require.Equal(t, int64(1), metrics.Snapshot()["store.unavailable.config"])
}

// Guards against a stand-in that discards the write when it loses the response,
// and against a transport that retries the write on a reused connection.
func TestLostResponseLeavesWriteInEffect(t *testing.T) {
	ctx := context.Background()
	store, _, c := newStore(t, bmstandinstore.Settings{})
	_, err := c.CompareAndSwap(ctx, "a", 0, []byte("old"), "")
	require.NoError(t, err)
	lose := 1
	require.NoError(t, store.SetFaults(bmstandinstore.Faults{
		DropNextResponses: &lose,
	}))
	_, err = c.CompareAndSwap(ctx, "a", 1, []byte("new"), "")
	var unavailable *basilmoor.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	e, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "new", string(e.Value))
	require.Equal(t, int64(2), e.Version)
	require.Equal(t, int64(2), store.Stats().Operations["put"])
}

// Guards against a protocol mismatch between the client and the stand-in.
func TestOperations(t *testing.T) {
	ctx := context.Background()
	_, _, c := newStore(t, bmstandinstore.Settings{})
	_, err := c.CompareAndSwap(ctx, "p/ä b", 0, nil, "")
	require.NoError(t, err)
	_, err = c.CompareAndSwap(ctx, "p/a", 0, []byte("x"), "")
	require.NoError(t, err)
	_, err = c.CompareAndSwap(ctx, "q", 0, []byte("y"), "")
	require.NoError(t, err)
	entries, err := c.List(ctx, "p/")
	require.NoError(t, err)
	require.Len(t, entries, 2)
	require.Equal(t, "p/a", entries[0].Key)
	require.Equal(t, "p/ä b", entries[1].Key)
	var conflict *basilmoor.ConflictError
	require.ErrorAs(t, c.Delete(ctx, "p/a", 5), &conflict)
	require.NoError(t, c.Delete(ctx, "p/a", 1))
	var missing *basilmoor.NotFoundError
	require.ErrorAs(t, c.Delete(ctx, "p/a", 1), &missing)
	events, revision, err := c.Watch(ctx, "p/", 1, basilmoor.Second)
	require.NoError(t, err)
	require.Equal(t, int64(4), revision)
	require.Len(t, events, 2)
	require.True(t, events[1].Deleted)
	_, err = c.CompareAndSwap(ctx, "a/../b", 0, nil, "")
	require.Error(t, err)
}

// Guards against a lease that can be renewed or used after it expired, and
// against a watch that misses the deletion of the lease's keys.
func TestLeaseLapses(t *testing.T) {
	ctx := context.Background()
	_, clock, c := newStore(t, bmstandinstore.Settings{})
	lease, err := c.GrantLease(ctx, basilmoor.Second)
	require.NoError(t, err)
	e, err := c.CompareAndSwap(ctx, "holder", 0, []byte("h"), lease)
	require.NoError(t, err)
	clock.Advance(basilmoor.Second - 1)
	require.NoError(t, c.RenewLease(ctx, lease))

	watched := make(chan []basilmoor.Event)
	go func() {
		events, _, _ := c.Watch(ctx, "holder", e.Revision, basilmoor.Minute)
		watched <- events
	}()
	clock.WaitTimers(1)
	clock.Advance(basilmoor.Second)
	events := <-watched
	require.Len(t, events, 1)
	require.True(t, events[0].Deleted)

	var missing *basilmoor.NotFoundError
	require.ErrorAs(t, c.RenewLease(ctx, lease), &missing)
	_, err = c.CompareAndSwap(ctx, "holder", 0, nil, lease)
	require.ErrorAs(t, err, &missing)
	require.Equal(t, lease, missing.Key)
}

// Guards against a watch that skips compacted events without an error.
func TestWatchReportsGap(t *testing.T) {
	ctx := context.Background()
	_, _, c := newStore(t, bmstandinstore.Settings{
		HistoryLimit: 2,
	})
	for version := range int64(4) {
		_, err := c.CompareAndSwap(ctx, "a", version, nil, "")
		require.NoError(t, err)
	}
	_, _, err := c.Watch(ctx, "", 1, 0)
	var gap *basilmoor.CompactedError
	require.ErrorAs(t, err, &gap)
	require.Equal(t, int64(2), gap.Revision)
	events, _, err := c.Watch(ctx, "", gap.Revision, 0)
	require.NoError(t, err)
	require.Len(t, events, 2)
}

// Guards against calls that exceed the call budget or are not counted.
func TestBudget(t *testing.T) {
	clock := bmclock.NewManual(0)
	store, end := bmstandinstore.New(clock, bmstandinstore.Settings{})
	defer end()
	server := httptest.NewServer(store)
	defer server.Close()
	metrics := bmmetrics.NewRegistry()
	c, cleanup, err := New(clock, metrics, Settings{
		BaseURL:         server.URL,
		Timeout:         100,
		WritesPerSecond: 2,
	})
	require.NoError(t, err)
	defer cleanup()
	claims := c.WithPurpose("claims")
	for range 2 {
		_, err = claims.GrantLease(context.Background(), basilmoor.Minute)
		require.NoError(t, err)
	}
	_, err = claims.GrantLease(context.Background(), basilmoor.Minute)
	require.ErrorIs(t, err, ErrBudgetExhausted)
	clock.Advance(500)
	_, err = claims.GrantLease(context.Background(), basilmoor.Minute)
	require.NoError(t, err)
	require.Equal(t, int64(3), metrics.Snapshot()["store.writes.claims"])
	require.Equal(t, int64(1), metrics.Snapshot()["store.not-sent.claims"])
	require.Equal(t, int64(3), store.Stats().Writes)
}
