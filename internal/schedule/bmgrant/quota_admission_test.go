package bmgrant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// admitAll offers one demand of each of two tiers every 100 ms and returns the source of
// the latest refusal of each tier, or "" if its last demand was admitted.
func admitAll(q *quotas, from, to basilmoor.Millis, charge int) [2]basilmoor.RefusalSource {
	var sources [2]basilmoor.RefusalSource
	for now := from; now < to; now += 100 {
		for tier := range sources {
			sources[tier] = ""
			if refusal := q.admit(now, tierDemand(tier, charge), basilmoor.SourceHostShare); refusal != nil {
				sources[tier] = refusal.Source
			}
		}
	}
	return sources
}

func tierDemand(tier, charge int) basilmoor.Demand {
	return basilmoor.Demand{
		Workspace: "w",
		Tier:      tier,
		Charge:    charge,
	}
}

// Guards against a peak of a workspace in which its low tier is granted tokens that its
// high tier is refused later, and against a reserve that outlives the demand. The quota
// permits 9,000 tokens in a window.
func TestReserveForHigherTiers(t *testing.T) {
	q := testQuotas(1000, 1000)
	require.Equal(t, [2]basilmoor.RefusalSource{}, admitAll(q, 0, 8000, 20), "load within the quota")
	require.Equal(t, [2]basilmoor.RefusalSource{"", basilmoor.SourceHigherTiers}, admitAll(q, 8000, 11_000, 100), "peak")
	require.Equal(t, [2]basilmoor.RefusalSource{}, admitAll(q, 20_000, 22_000, 20), "after the peak")
}

// Guards against a reserve that no setting asks for.
func TestReserveIsOffByDefault(t *testing.T) {
	q := testQuotas(1000, 1000)
	q.tolerance.ReserveForTiers = false
	admitAll(q, 0, 8000, 20)
	require.NotContains(t, admitAll(q, 8000, 11_000, 100), basilmoor.SourceHigherTiers)
}

// Guards against a reserve that grows with each repetition of a refused request, or with
// one that can never be admitted beside others.
func TestReserveOfRepeatedDemands(t *testing.T) {
	peak := func(charge, tries, large int, lowAt basilmoor.Millis) basilmoor.Millis {
		q := testQuotas(1000, 1000)
		for now := basilmoor.Millis(0); now < 4000; now += 100 {
			for range tries {
				q.admit(now, tierDemand(0, charge), basilmoor.SourceHostShare)
			}
			if large > 0 {
				q.admit(now, tierDemand(0, large), basilmoor.SourceHostShare)
			}
		}
		refusal := q.admit(lowAt, tierDemand(1, 100), basilmoor.SourceHostShare)
		if refusal == nil {
			return 0
		}
		return refusal.RetryAfter
	}
	require.Equal(t, peak(100, 1, 0, 5000), peak(100, 1, 10_000, 5000), "demands over the whole quota")
	require.Zero(t, peak(300, 1000, 0, 15_000), "repetitions of long ago")
}

// Guards against a reserve that is wrong after its owner was lost, cut off or paused: a
// reserve for demand that nobody has seen, or one for demand of long ago.
func TestReserveAfterFaults(t *testing.T) {
	const now = 16_000
	peak := func() *quotas {
		q := testQuotas(1000, 1000)
		admitAll(q, 12_000, now, 100)
		return q
	}
	tests := map[string]struct {
		quotas func(t *testing.T) *quotas
		at     basilmoor.Millis
		source basilmoor.RefusalSource // of a demand of the lower tier
	}{
		"before any fault": {
			quotas: func(*testing.T) *quotas { return peak() },
			at:     now,
			source: basilmoor.SourceHigherTiers,
		},
		"restart": {
			quotas: func(*testing.T) *quotas {
				q := testQuotas(1000, 1000)
				q.assume(now)
				return q
			},
			at:     now,
			source: basilmoor.SourceAssumedSpending,
		},
		"new broker": {
			quotas: func(t *testing.T) *quotas {
				f := newTestFleet(t, 1, "a")
				b := f.hosts["a"].broker
				b.activate()
				admitAll(b.quotas, 12_000, now, 100)
				b.activate()
				b.quotas.set(limited(1000, 1000))
				return b.quotas
			},
			at: now,
		},
		"cut-off host": {
			quotas: func(*testing.T) *quotas {
				q := testQuotas(1000, 1000)
				q.setShare(0.5)
				admitAll(q, 12_000, now, 50)
				return q
			},
			at:     now,
			source: basilmoor.SourceHigherTiers,
		},
		"paused owner": {
			quotas: func(*testing.T) *quotas { return peak() },
			at:     now + testWindow + spendingResolution,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := tt.quotas(t)
			source := basilmoor.RefusalSource("")
			if refusal := q.admit(tt.at, tierDemand(1, 80), basilmoor.SourceHostShare); refusal != nil {
				source = refusal.Source
			}
			require.Equal(t, tt.source, source)
		})
	}
}

// Guards against a source that sends operators to the wrong place.
func TestRefusalSources(t *testing.T) {
	tests := map[string]struct {
		share  float64
		assume bool
		source basilmoor.RefusalSource
	}{
		"whole quota":   {share: 1, source: basilmoor.SourceFleetQuota},
		"share":         {share: 0.5, source: basilmoor.SourceHostShare},
		"after a start": {share: 1, assume: true, source: basilmoor.SourceAssumedSpending},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQuotas(Tolerance{
				Window: testWindow,
			})
			q.set(limited(1000, 1000))
			q.setShare(tt.share)
			if tt.assume {
				q.assume(0)
			}
			var refusal *basilmoor.Refusal
			for range 100 {
				refusal = q.admit(0, tierDemand(0, 100), basilmoor.SourceHostShare)
			}
			require.NotNil(t, refusal)
			require.Equal(t, tt.source, refusal.Source)
			require.Positive(t, refusal.RetryAfter)
		})
	}
}
