package bmgrant

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

func limited(rate, burst float64) []bmrouting.Workspace {
	return []bmrouting.Workspace{
		{
			Name: "w",
			Allowance: bmrouting.Allowance{
				TokensPerSecond: rate,
				Burst:           burst,
			},
		},
	}
}

// Guards against a workspace that gets more than its allowance and the
// agreed tolerance in any window, also while the holder's part of the
// allowance and the limit change.
func TestAllowanceInAnyWindow(t *testing.T) {
	const window = 8 * basilmoor.Second
	tolerance := Tolerance{
		Excess: 0.1,
		Slack:  1000,
	}
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(10, 1000).Draw(t, "rate"))
		a := newAllowances(tolerance)
		a.set(0, limited(rate, rate))
		type spending struct {
			at     basilmoor.Millis
			tokens int
		}
		var spent []spending
		now := basilmoor.Millis(0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += basilmoor.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			if rapid.IntRange(0, 9).Draw(t, "event") == 0 {
				a.setShare(now, rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(t, "share"))
			}
			tokens := rapid.IntRange(1, 300).Draw(t, "tokens")
			if _, ok := a.take(now, "w", tokens); ok {
				spent = append(spent, spending{
					at:     now,
					tokens: tokens,
				})
			}
			sum := 0
			for _, s := range spent {
				if now-s.at < window {
					sum += s.tokens
				}
			}
			allowed := (rate*8+rate)*(1+tolerance.Excess) + tolerance.Slack
			if float64(sum) > allowed {
				t.Fatalf("%d tokens in a window, allowed %.0f", sum, allowed)
			}
		}
	})
}

// Guards against refusals of a workspace that stays below its limit.
func TestAllowanceBelowTheLimit(t *testing.T) {
	a := newAllowances(Tolerance{})
	a.set(0, limited(1000, 1000))
	for now := basilmoor.Millis(0); now < basilmoor.Minute; now += 100 {
		_, ok := a.take(now, "w", 90)
		require.True(t, ok, "at %d ms", now)
	}
}

// Guards against a wait that is too short for the caller to be served then.
func TestAllowanceWait(t *testing.T) {
	a := newAllowances(Tolerance{})
	a.set(0, limited(100, 100))
	_, ok := a.take(0, "w", 500)
	require.True(t, ok, "a request larger than the burst is served")
	wait, ok := a.take(0, "w", 1)
	require.False(t, ok)
	_, ok = a.take(wait-10, "w", 1)
	require.False(t, ok)
	_, ok = a.take(wait, "w", 1)
	require.True(t, ok)
	require.Empty(t, a.exhausted(2*wait))
	_, unbounded := a.take(0, "other", 1_000_000)
	require.True(t, unbounded)
}
