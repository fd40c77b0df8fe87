package bmcapacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

func anyTarget(basilmoor.Target) bool {
	return true
}

// Checks how Choose weighs data centre, cached prefix and prompt backlog.
func TestChooseWeighsDataCentrePrefixAndBacklog(t *testing.T) {
	prefix := []uint64{1, 2, 3, 4, 5}
	tests := map[string]struct {
		prepare func(p *Pool)
		want    string
	}{
		"nearest of equals": {
			prepare: func(*Pool) {},
			want:    "t1",
		},
		"spills over when the near target is busier": {
			prepare: func(p *Pool) { reserve(p, 0, "x", "t1") },
			want:    "t0",
		},
		"cached prefix in another data centre": {
			prepare: func(p *Pool) {
				reserve(p, 0, "x", "t0", prefix...)
				observe(p, 0, "x", "t0", basilmoor.StageFinished, 1, 1)
			},
			want: "t0",
		},
		"cached prefix behind long prompts": {
			prepare: func(p *Pool) {
				reserve(p, 0, "x", "t0", prefix...)
				for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
					reserve(p, 0, id, "t0")
				}
			},
			want: "t1",
		},
		"full near target": {
			prepare: func(p *Pool) {
				for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
					reserve(p, 0, id, "t1")
				}
			},
			want: "t0",
		},
		"leaving near target": {
			prepare: func(p *Pool) {
				specs := p.Listed()
				specs[1].Leaving = true
				p.SetTargets(specs)
			},
			want: "t0",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(DefaultConfig())
			specs := engines(2, 8)
			specs[0].DataCentre = "far"
			specs[1].DataCentre = "near"
			p.SetTargets(specs)
			test.prepare(p)
			p.CollectFree(0)
			chosen, _, ok := p.Choose(0, basilmoor.Demand{
				DataCentre:    "near",
				PrefixDigests: prefix,
				PromptTokens:  320,
				OutputTokens:  10,
			}, anyTarget)
			require.True(t, ok)
			require.Equal(t, test.want, chosen.Name)
		})
	}
}

// Guards against freeing capacity twice, or on a report that names another target.
func TestEndIsIdempotent(t *testing.T) {
	p := NewPool(DefaultConfig())
	p.SetTargets(engines(2, 8))
	reserve(p, 0, "a", "t0")
	reserve(p, 0, "b", "t0")
	observe(p, 1, "a", "t1", basilmoor.StageReturned, 0, 0)
	require.Equal(t, 2, p.InFlight())
	for range 2 {
		observe(p, 2, "a", "t0", basilmoor.StageFinished, 1, 1)
		p.DropHost(3, "no-such-host")
		require.Equal(t, 1, p.InFlight())
		require.Equal(t, 1, p.Stats()[0].InFlight)
	}
	p.DropHost(4, "")
	require.Zero(t, p.InFlight())
	require.Zero(t, p.targets["t0"].reservedTokens)
	require.Zero(t, p.targets["t0"].promptBacklog)
}
