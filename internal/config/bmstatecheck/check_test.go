package bmstatecheck

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

// soundState returns a state without findings.
func soundState() State {
	return State{
		Version: 7,
		Limits: bmrouting.Limits{
			HeaderBytes:   16 << 10,
			BodyBytes:     4 << 20,
			HeaderTimeout: 3000,
			IdleTimeout:   15000,
		},
		Routes: []Route{
			{
				Name:        "sheet",
				Host:        "a.example",
				Prefix:      "/s/",
				Type:        TypeStreaming,
				Timeout:     6000,
				Objective:   600,
				MaxPause:    300,
				MaxAttempts: 2,
				Resumable:   true,
				Split: []bmrouting.WeightedPool{
					{
						Pool:   "m",
						Weight: 90,
					},
					{
						Pool:   "o",
						Weight: 10,
					},
				},
			},
			{
				Name:        "order",
				Host:        "a.example",
				Prefix:      "/o/",
				Type:        TypeNonIdempotent,
				Timeout:     6000,
				Objective:   600,
				MaxAttempts: 1,
				Pool:        "o",
			},
		},
		Pools: []bmrouting.Pool{
			{
				Name:           "m",
				HealthPath:     "/healthz",
				MaxConnections: 100,
				Engine: &bmrouting.Engine{
					Slots:       6,
					CacheTokens: 9000,
				},
			},
			{
				Name:       "o",
				HealthPath: "/healthz",
			},
		},
		Workspaces: []bmrouting.Workspace{
			{
				Name: "w",
				Keys: []string{"k1"},
				Quota: bmrouting.Quota{
					Rate:          1000,
					Burst:         1000,
					DefaultTokens: 200,
				},
			},
			{
				Name: "v",
				Keys: []string{"k2"},
			},
		},
	}
}

// Guards against an error, a part without effect or a contradiction that the check
// misses, and against findings in a state without any.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(s *State)
		want   []string
	}{
		"sound": {
			change: func(*State) {},
		},
		"version of 0": {
			change: func(s *State) { s.Version = 0 },
			want:   []string{"error version: 0 is not above 0"},
		},
		"unknown pool in a split": {
			change: func(s *State) { s.Routes[0].Split[1].Pool = "x" },
			want:   []string{`error routes[sheet].split: pool "x" does not exist`},
		},
		"no pool": {
			change: func(s *State) { s.Routes[1].Pool = "" },
			want:   []string{"error routes[order].pool: no pool is named"},
		},
		"weights of 0": {
			change: func(s *State) { s.Routes[0].Split[0].Weight, s.Routes[0].Split[1].Weight = 0, 0 },
			want: []string{
				`warning routes[sheet].split: pool "m" gets no requests: its weight is 0`,
				`warning routes[sheet].split: pool "o" gets no requests: its weight is 0`,
				"error routes[sheet].split: the weights add up to 0",
			},
		},
		"pool beside a split": {
			change: func(s *State) { s.Routes[0].Pool = "m" },
			want:   []string{`warning routes[sheet].pool: "m" has no effect: the route has a split`},
		},
		"negative weight": {
			change: func(s *State) { s.Routes[0].Split[1].Weight = -1 },
			want:   []string{`error routes[sheet].split: pool "o" has the negative weight -1`},
		},
		"negative timeout": {
			change: func(s *State) { s.Routes[1].Timeout = -5 },
			want:   []string{"error routes[order].timeout: -5 ms is negative"},
		},
		"name used twice": {
			change: func(s *State) { s.Routes[1].Name = "sheet" },
			want:   []string{"error routes[sheet].name: the name is there twice"},
		},
		"no name": {
			change: func(s *State) { s.Workspaces[1].Name = "" },
			want:   []string{"error workspaces[1].name: the name is empty"},
		},
		"prefix without slashes": {
			change: func(s *State) { s.Routes[1].Prefix = "/o" },
			want:   []string{`error routes[order].prefix: "/o" does not begin and end with a slash`},
		},
		"host in upper case": {
			change: func(s *State) { s.Routes[1].Host = "B.example" },
			want:   []string{`error routes[order].host: "B.example" is not in lower case`},
		},
		"host with a port": {
			change: func(s *State) { s.Routes[1].Host = "a.example:80" },
			want:   []string{`error routes[order].host: "a.example:80" never matches: it is not a host name without a port`},
		},
		"key of two workspaces": {
			change: func(s *State) { s.Workspaces[1].Keys = []string{"k1"} },
			want:   []string{"error workspaces[v].keys: key 6ab9f1eb also belongs to workspace w"},
		},
		"route twice": {
			change: func(s *State) { s.Routes[1].Prefix = "/s/" },
			want:   []string{"warning routes[order].prefix: never matches: route sheet has the same host and prefix"},
		},
		"pool without a route": {
			change: func(s *State) { s.Routes[0].Split = s.Routes[0].Split[1:] },
			want:   []string{"warning pools[m]: no route names this pool"},
		},
		"workspace without keys": {
			change: func(s *State) { s.Workspaces[1].Keys = nil },
			want:   []string{"warning workspaces[v].keys: no request belongs to this workspace: it has no keys"},
		},
		"workspace without keys and only public routes": {
			change: func(s *State) {
				s.Workspaces[1].Keys = nil
				s.Routes[0].Public, s.Routes[1].Public = true, true
			},
		},
		"times over the timeout": {
			change: func(s *State) { s.Routes[0].Timeout = 200 },
			want: []string{
				"warning routes[sheet].objective: 600 ms is longer than the timeout of 200 ms",
				"warning routes[sheet].max-pause: 300 ms is longer than the timeout of 200 ms",
			},
		},
		"header timeout over the idle timeout": {
			change: func(s *State) { s.Limits.IdleTimeout = 2000 },
			want:   []string{"warning limits.header-timeout: 3000 ms is longer than the idle timeout of 2000 ms"},
		},
		"no bodies": {
			change: func(s *State) { s.Limits.BodyBytes = 0 },
			want:   []string{"error limits.body-bytes: every request with a body is refused"},
		},
		"burst under the default charge": {
			change: func(s *State) { s.Workspaces[0].Quota.Burst = 100 },
			want:   []string{"warning workspaces[w].burst: 100 is less than the 200 tokens that a request without a number of tokens is charged"},
		},
		"engine without room": {
			change: func(s *State) { s.Pools[0].Engine.Slots, s.Pools[0].Engine.CacheTokens = 0, 0 },
			want: []string{
				"error pools[m].engine-slots: an engine with 0 slots runs nothing",
				"error pools[m].engine-cache-tokens: an engine with a cache of 0 tokens runs nothing",
			},
		},
		"fewer connections than slots": {
			change: func(s *State) { s.Pools[0].MaxConnections = 5 },
			want:   []string{"warning pools[m].max-connections: 5 connections can't use 6 slots"},
		},
		"attempts of a request that runs once": {
			change: func(s *State) { s.Routes[1].MaxAttempts = 2 },
			want:   []string{"warning routes[order].max-attempts: a request of this route may run once: attempts beyond the first follow only on targets that did not run it"},
		},
		"fields of streams on a route without streams": {
			change: func(s *State) { s.Routes[1].Resumable, s.Routes[1].MaxPause = true, 300 },
			want: []string{
				"warning routes[order].resumable: has no effect: the route is not a streaming one",
				"warning routes[order].max-pause: has no effect: the route is not a streaming one",
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := soundState()
			tt.change(&s)
			require.Equal(t, tt.want, describe(Check(s)))
		})
	}
}

// Guards against a difference that is not shown, and a key that is shown in full.
func TestCompare(t *testing.T) {
	next := soundState()
	next.Routes[0].Timeout = 8000
	next.Routes[0].Split[0].Weight = 50
	next.Routes[1].Name = "confirm"
	next.Workspaces[0].Keys = []string{"k1", "k3"}
	next.Workspaces[0].Quota.Rate = 2000
	next.Pools[0].Engine = nil
	require.Equal(t, []string{
		"error version: 7 is not higher than 7, the version in effect",
		"changed routes[sheet].timeout: 6000 -> 8000",
		"changed routes[sheet].split: m:90,o:10 -> m:50,o:10",
		"added routes[confirm]",
		"removed routes[order]",
		"changed pools[m].engine-slots: 6 -> 0",
		"changed pools[m].engine-cache-tokens: 9000 -> 0",
		"changed workspaces[w].rate: 1000 -> 2000",
		"changed workspaces[w].keys: 1 -> 2 keys: +2f5052c9",
	}, describe(Compare(soundState(), next)))
}

func describe(findings []Finding) []string {
	var lines []string
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return lines
}
