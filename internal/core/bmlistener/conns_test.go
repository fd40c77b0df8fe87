package bmlistener

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// testConn is a connection that is compared by identity.
type testConn struct {
	net.Conn
	name string
}

// Guards against a full host that takes no new connection although others have no
// request, that closes one with a request, or that runs a request on one it has closed.
func TestConnsAtTheLimit(t *testing.T) {
	const (
		limit = 2
		now   = 10 * basilmoor.Second
	)
	type conn struct {
		accepted, idle basilmoor.Millis
		states         []http.ConnState
	}
	active := []http.ConnState{http.StateActive}
	idle := []http.ConnState{http.StateActive, http.StateIdle}
	tests := map[string]struct {
		conns     []conn // in the order in which they were accepted
		evicted   string // c and the index of the connection that makes room, if any
		rejected  bool
		admission Admission
	}{
		"below the limit":                    {conns: []conn{{states: active}}},
		"the longest idle one":               {conns: []conn{{states: idle, idle: 5000}, {states: idle, idle: 9000}}, evicted: "c0"},
		"the idle one":                       {conns: []conn{{states: active}, {states: idle}}, evicted: "c1"},
		"one idle before one without bytes":  {conns: []conn{{}, {states: idle, idle: 9900}}, evicted: "c1"},
		"one without bytes for a while":      {conns: []conn{{states: active}, {accepted: now - NewConnTime}}, evicted: "c1"},
		"one that was just accepted":         {conns: []conn{{states: active}, {accepted: now - NewConnTime + 1}}, admission: Excess},
		"all with a request":                 {conns: []conn{{states: active}, {states: active}}, admission: Excess},
		"beyond the excess":                  {conns: []conn{{states: active}, {states: active}, {states: active}}, rejected: true},
		"beyond the excess, without bytes":   {conns: []conn{{states: active}, {accepted: now}, {states: active}}, evicted: "c1"},
		"one that closed":                    {conns: []conn{{states: active}, {states: []http.ConnState{http.StateClosed}}}},
		"an idle one with a request again":   {conns: []conn{{states: append(idle, http.StateActive)}, {states: active}}, admission: Excess},
		"beyond the excess, its own is idle": {conns: []conn{{states: active}, {states: active}, {states: idle}}, evicted: "c2", admission: Excess},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewConns(limit)
			for i, c := range tt.conns {
				conn := &testConn{
					name: fmt.Sprint("c", i),
				}
				_, added := s.Add(conn, c.accepted)
				require.True(t, added)
				for _, state := range c.states {
					s.SetState(conn, state, c.idle)
				}
			}
			next := &testConn{
				name: "next",
			}
			evict, added := s.Add(next, now)
			require.Equal(t, !tt.rejected, added)
			if tt.evicted != "" {
				require.NotNil(t, evict)
				require.Equal(t, tt.evicted, evict.(*testConn).name)
				// Its request was read before it was closed.
				s.SetState(evict, http.StateActive, now)
				require.Equal(t, Closed, s.Admission(evict))
			} else {
				require.Nil(t, evict)
			}
			if added {
				require.Equal(t, tt.admission, s.Admission(next))
			}
		})
	}
}

// Guards against connections that are counted twice or never released, so that the
// limit is exceeded or the host refuses all callers for good.
func TestConnsStayWithinTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		s := NewConns(limit)
		var open []*testConn // as the HTTP server knows them
		now := basilmoor.Millis(0)
		evictions := 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now += basilmoor.Millis(rapid.IntRange(0, 300).Draw(t, "pause"))
			if len(open) == 0 || rapid.Bool().Draw(t, "accept") {
				c := &testConn{}
				evict, added := s.Add(c, now)
				if added {
					open = append(open, c)
				}
				if evict != nil {
					evictions++
				}
			} else {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "connection")
				state := rapid.SampledFrom([]http.ConnState{http.StateActive, http.StateIdle, http.StateClosed}).Draw(t, "state")
				if s.Admission(open[i]) == Closed && state == http.StateClosed {
					evictions--
				}
				s.SetState(open[i], state, now)
				if state == http.StateClosed {
					open = append(open[:i], open[i+1:]...)
				}
			}
			count, busy := s.Counts(now)
			require.Equal(t, len(open)-evictions, count)
			require.LessOrEqual(t, busy, count)
			require.LessOrEqual(t, count, limit+maxExcess(limit))
		}
		for _, c := range open {
			s.SetState(c, http.StateClosed, now)
		}
		count, busy := s.Counts(now)
		require.Zero(t, count)
		require.Zero(t, busy)
	})
}

// Guards against a budget whose parts exceed the sockets of the process, or that leaves
// nothing to other hosts, the store and the probes.
func TestBudgetFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sockets := rapid.IntRange(20, 1<<20).Draw(t, "sockets")
		b := NewBudget(sockets)
		require.Positive(t, b.Callers)
		require.GreaterOrEqual(t, b.Targets, b.Callers+maxExcess(b.Callers))
		require.LessOrEqual(t, b.Callers+maxExcess(b.Callers)+b.Targets, sockets-sockets/reserveDivisor)
	})
	require.Equal(t, Budget{Callers: 1298, Targets: 1461}, NewBudget(3900))
	require.Positive(t, NewBudget(0).Callers, "the limit of the process")
}
