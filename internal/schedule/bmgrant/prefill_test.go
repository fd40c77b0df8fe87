package bmgrant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// streamDemand returns a demand for a stream that must not pause for longer than 300 ms.
func streamDemand(id string, tier, promptTokens int) basilmoor.Demand {
	d := testDemand(id, tier)
	d.PromptTokens = promptTokens
	d.MaxPause = 300
	return d
}

// runningPool returns a pool with a slow target and a fast one of the given slots, on which
// a stream runs each: "on-slow" and "on-fast".
func runningPool(t *testing.T, limit bool, fastSlots int) *Pool {
	t.Helper()
	p := NewPool(0)
	if limit {
		p.LimitPrefill(3)
	}
	p.SetTargets(0, []basilmoor.Target{testTarget("slow", 4), testTarget("fast", fastSlots)})
	p.targets["slow"].tokenLatency = 24
	p.targets["fast"].tokenLatency = 5
	for name, excluded := range map[string]string{"on-slow": "fast", "on-fast": "slow"} {
		d := streamDemand(name, 0, 100)
		d.Excluded = []string{excluded}
		require.Len(t, granted(p.Submit(0, d)), 1)
		p.Observe(0, basilmoor.Observation{
			Request: d.Request,
			Stage:   basilmoor.StageFirstToken,
			Elapsed: 100,
		})
	}
	return p
}

// Guards against streams on a slow target that are late because a long prompt is granted
// beside them, against a slow target that is idle while it could serve, and against a limit
// where none was asked for.
func TestPromptBesideStreams(t *testing.T) {
	const long, short = 6000, 600
	tests := map[string]struct {
		noLimit bool
		waiting []basilmoor.Demand // submitted while the fast target has no free slot
		before  func(p *Pool)
		want    []string // granted to the slow target
	}{
		"a long prompt waits for the fast target": {
			waiting: []basilmoor.Demand{streamDemand("long", 0, long)},
			want:    []string{},
		},
		"a short one of a lower tier uses the slot meanwhile": {
			waiting: []basilmoor.Demand{streamDemand("long", 0, long), streamDemand("short", 2, short)},
			want:    []string{"h/short"},
		},
		"a short one of the same tier as well": {
			waiting: []basilmoor.Demand{streamDemand("long", 0, long), streamDemand("short", 0, short)},
			want:    []string{"h/short"},
		},
		"not without the limit": {
			noLimit: true,
			waiting: []basilmoor.Demand{streamDemand("long", 0, long)},
			want:    []string{"h/long"},
		},
		"nothing runs that could be late": {
			waiting: []basilmoor.Demand{streamDemand("long", 0, long)},
			before:  func(p *Pool) { finish(p, 10, "on-slow") },
			want:    []string{"h/long"},
		},
		"the fast target has failed": {
			waiting: []basilmoor.Demand{streamDemand("long", 0, long)},
			before:  func(p *Pool) { p.targets["fast"].recordFailure(10) },
			want:    []string{"h/long"},
		},
		"the fast target leaves": {
			waiting: []basilmoor.Demand{streamDemand("long", 0, long)},
			before:  func(p *Pool) { p.SetTargets(10, []basilmoor.Target{testTarget("slow", 4)}) },
			want:    []string{"h/long"},
		},
		"prompts on the target count as well": {
			waiting: []basilmoor.Demand{streamDemand("short", 0, short)},
			before:  func(p *Pool) { p.targets["slow"].backlog += long },
			want:    []string{},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := runningPool(t, !tt.noLimit, 1)
			if tt.before != nil {
				tt.before(p)
			}
			got := []string{}
			for _, d := range tt.waiting {
				got = append(got, granted(p.Submit(20, d))...)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a demand that is held back and then forgotten, and against counting those
// that were not.
func TestHeldBackDemandIsGranted(t *testing.T) {
	p := runningPool(t, true, 1)
	require.Empty(t, granted(p.Submit(20, streamDemand("long", 0, 6000))))
	require.Equal(t, []string{"h/long"}, granted(finish(p, 100, "on-fast")))
	require.Equal(t, 1, p.Summarize(100).HeldBack)
	require.Zero(t, p.Summarize(100).HeldBack)
}

// Guards against a broker that does not learn from the streams that end, and against one
// that goes on with what another one knew: a pool that adopts streams after a failover
// starts without a correction and learns from the prompts that it grants itself.
func TestPausesAreLearnedAgain(t *testing.T) {
	tests := map[string]struct {
		beside bool // a prompt is granted beside the stream
		want   bool // the factor grows
	}{
		"a prompt of this broker's":       {beside: true, want: true},
		"all prompts were granted before": {beside: false, want: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(0)
			p.LimitPrefill(3)
			p.SetTargets(0, []basilmoor.Target{testTarget("t", 4)})
			d := streamDemand("adopted", 0, 1000)
			p.Observe(0, basilmoor.Observation{
				Request: d.Request,
				Target:  "t",
				Stage:   basilmoor.StageFirstToken,
				Elapsed: 100,
				Demand:  &d,
			})
			if tt.beside {
				require.Len(t, granted(p.Submit(10, streamDemand("beside", 0, 1000))), 1)
			}
			p.Observe(500, basilmoor.Observation{
				Request:      d.Request,
				Stage:        basilmoor.StageFinished,
				Elapsed:      600,
				Tokens:       100,
				LongestPause: 250,
			})
			require.Equal(t, tt.want, p.prefill.pauses.Factor() > 1)
		})
	}
}
