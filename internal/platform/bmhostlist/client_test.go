package bmhostlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/standin/bmstandinhosts"
)

// Guards against a protocol mismatch between the client and the stand-in, and
// against a stand-in that publishes changes without the configured lag.
func TestLaggingList(t *testing.T) {
	ctx := context.Background()
	clock := bmclock.NewManual(0)
	list, server, cleanup, err := bmstandinhosts.Start("127.0.0.1:0", "", clock, bmstandinhosts.Settings{
		Lag: basilmoor.Second,
		Hosts: []bmstandinhosts.Host{
			{
				Host:       "h1",
				Address:    "127.0.0.1:1",
				DataCentre: "Kinston",
				Region:     "carolina-east",
			},
		},
	})
	require.NoError(t, err)
	defer cleanup()
	c, closeIdle, err := New(bmclock.NewSystem(), Settings{
		BaseURL: "http://" + server.Address(),
	})
	require.NoError(t, err)
	defer closeIdle()
	hosts, err := c.Hosts(ctx)
	require.NoError(t, err)
	want := Host{
		Host:       "h1",
		Address:    "127.0.0.1:1",
		DataCentre: "Kinston",
		Region:     "carolina-east",
	}
	require.Equal(t, []Host{want}, hosts)

	list.SetTargets([]bmstandinhosts.Target{
		{
			Name:    "e1",
			Leaving: true,
		},
	})
	clock.Advance(1)
	targets, err := c.Targets(ctx)
	require.NoError(t, err)
	require.Empty(t, targets)
	clock.Advance(basilmoor.Second)
	targets, err = c.Targets(ctx)
	require.NoError(t, err)
	require.Len(t, targets, 1)
	require.True(t, targets[0].Leaving)

	outage := true
	require.NoError(t, list.SetFaults(bmstandinhosts.Faults{
		Outage: &outage,
	}))
	_, err = c.Targets(ctx)
	var unavailable *basilmoor.UnavailableError
	require.ErrorAs(t, err, &unavailable)
}

// Guards against taking an invalid response for an empty or shorter list, which
// would look as if hosts had been removed.
func TestInvalidResponses(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
	}{
		"null": {
			status: http.StatusOK,
			body:   `null`,
		},
		"object": {
			status: http.StatusOK,
			body:   `{}`,
		},
		"truncated": {
			status: http.StatusOK,
			body:   `[{"host":"a"`,
		},
		"entry without address": {
			status: http.StatusOK,
			body:   `[{"host":"a"}]`,
		},
		"error with a list": {
			status: http.StatusInternalServerError,
			body:   `[]`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			c, closeIdle, err := New(bmclock.NewSystem(), Settings{
				BaseURL: server.URL,
			})
			require.NoError(t, err)
			defer closeIdle()
			_, err = c.Hosts(context.Background())
			var unavailable *basilmoor.UnavailableError
			require.ErrorAs(t, err, &unavailable)
		})
	}
}
