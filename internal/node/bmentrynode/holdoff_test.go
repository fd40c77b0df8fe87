package bmentrynode_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

// arrivals returns the number of requests that have reached a replica.
func (f *fleet) arrivals(id string) int {
	return len(f.replicas[id].Arrivals())
}

// sendUntilArrived sends streams to a host until one reaches a replica.
func (f *fleet) sendUntilArrived(n *node, id string) {
	f.t.Helper()
	before := f.arrivals(id)
	f.eventually("a request at "+id, func() bool {
		f.send(n, http.MethodPost, "/stream/x", "k")
		return f.arrivals(id) > before
	})
}

// Guards against requests to a replica that has said to this host that it leaves, while
// its entry says that it is ready, and against a host that forgets this when the entry is
// written again or comes back.
func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	f := newFleet(t, 2)
	h := f.nodes[0]
	f.replicas["e1"].SetLeaving(true)
	f.sendUntilArrived(h, "e1")
	said := f.arrivals("e1")
	requireNone := func(when string) {
		t.Helper()
		for range 10 {
			require.Equal(t, http.StatusOK, f.send(h, http.MethodPost, "/stream/x", "k").status, when)
		}
		require.Equal(t, said, f.arrivals("e1"), when)
	}
	requireNone("after the answer")
	entry := f.replicas["e1"].Entry("engines", "ready")
	entry["seq_num"] = 2
	f.store.Put("servers/e1", entry)
	requireNone("the entry is written again")
	f.store.Delete("servers/e1")
	requireNone("the entry is gone")
	f.store.Put("servers/e1", entry)
	requireNone("the entry is back")
	require.Contains(t, h.logged.text(), `"leaving":true`)
}

// Guards against a later process of a replica that gets no requests, because the one
// before it had said that it leaves.
func TestReplicaThatStartsAgainIsUsed(t *testing.T) {
	f := newFleet(t, 1)
	h := f.nodes[0]
	r, stop := bmstandinplatform.NewReplica("e3")
	t.Cleanup(stop)
	r.SetLeaving(true)
	f.replicas["e3"] = r
	entry := r.Entry("engines", "ready")
	entry["born"] = 1000
	f.store.Put("servers/e3", entry)
	f.store.Delete("servers/e1")
	f.store.Delete("servers/e2")
	f.sendUntilArrived(h, "e3")
	r.SetLeaving(false)
	entry["born"] = 2000
	f.store.Put("servers/e3", entry)
	f.sendUntilArrived(h, "e3")
}

// Guards against requests to a replica that has asked this host for a pause, and against
// one that gets none after it.
func TestReplicaThatAsksForAPause(t *testing.T) {
	f := newFleet(t, 2)
	h := f.nodes[0]
	const pause = 5 * basilmoor.Minute
	f.replicas["e1"].TurnAway(int(pause / basilmoor.Second))
	f.sendUntilArrived(h, "e1")
	said := f.arrivals("e1")
	for range 10 {
		require.Equal(t, http.StatusOK, f.send(h, http.MethodPost, "/stream/x", "k").status)
	}
	require.LessOrEqual(t, f.arrivals("e1"), said+2, "the users allow two requests")
	f.replicas["e1"].TurnAway(0)
	for _, n := range f.nodes {
		n.clock.advance(pause)
	}
	f.eventually("ready", func() bool { return h.ready() })
	f.sendUntilArrived(h, "e1")
}

// Guards against a caller that is held until its time limit, or told to come back too
// early, while all replicas of a service have asked for a pause; and against one that is
// turned away although a replica takes requests again in time.
func TestAllReplicasAskForAPause(t *testing.T) {
	tests := map[string]struct {
		seconds    int
		status     int
		retryAfter float64 // s, at most that of the replicas
	}{
		"longer than the objective":  {seconds: 30, status: http.StatusServiceUnavailable, retryAfter: 30},
		"shorter than the objective": {seconds: 1, status: http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			h := f.nodes[0]
			f.replicas["p1"].TurnAway(tt.seconds)
			f.eventually("the pause is known", func() bool {
				f.send(h, http.MethodGet, "/lookup/x", "k")
				return strings.Contains(h.logged.text(), `"target takes no requests from this host"`)
			})
			said := f.arrivals("p1")
			r := f.send(h, http.MethodGet, "/lookup/x", "k")
			require.Equal(t, tt.status, r.status, r.body)
			if tt.status == http.StatusOK {
				return
			}
			require.Equal(t, said, f.arrivals("p1"))
			require.Equal(t, string(basilmoor.ReasonNoTarget), strings.TrimSpace(r.body))
			after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, tt.retryAfter, after, tt.retryAfter/2)
		})
	}
}
