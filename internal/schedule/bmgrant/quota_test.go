package bmgrant

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

const testWindow = 8 * basilmoor.Second

// limited returns the workspace "w" with a quota.
func limited(rate, burst float64) []bmrouting.Workspace {
	return []bmrouting.Workspace{
		{
			Name: "w",
			Quota: bmrouting.Quota{
				Rate:  rate,
				Burst: burst,
			},
		},
	}
}

func testQuotas(rate, burst float64) *quotas {
	q := newQuotas(Tolerance{
		Window:          testWindow,
		ReserveForTiers: true,
	})
	q.set(limited(rate, burst))
	return q
}

// Guards against a workspace that spends more than its quota plus the
// tolerance in any window, also while the share changes and charges are refunded.
func TestQuotaInAnyWindow(t *testing.T) {
	tolerance := Tolerance{
		Window: testWindow,
		Excess: 0.1,
		Slack:  1000,
	}
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(10, 1000).Draw(t, "rate"))
		q := newQuotas(tolerance)
		q.set(limited(rate, rate))
		var spent []spending
		now := basilmoor.Millis(0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += basilmoor.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			if rapid.IntRange(0, 9).Draw(t, "event") == 0 {
				q.setShare(rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(t, "share"))
			}
			tokens := rapid.IntRange(1, 300).Draw(t, "tokens")
			if _, ok := q.tryCharge(now, "w", tokens); !ok {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "returned") == 0 {
				q.charge(now, "w", -tokens)
				continue
			}
			spent = append(spent, spending{
				at:     now,
				tokens: tokens,
			})
			sum := 0
			for _, s := range spent {
				if now-s.at < testWindow {
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

// Guards against refusals of a workspace that stays within its quota: at a
// constant rate, and with bursts of four times its rate after a quiet time.
func TestSpendingWithinQuota(t *testing.T) {
	t.Run("even", func(t *testing.T) {
		q := testQuotas(1000, 1000)
		for now := basilmoor.Millis(0); now < basilmoor.Minute; now += 100 {
			_, ok := q.tryCharge(now, "w", 99)
			require.True(t, ok, "at %d ms", now)
		}
	})
	t.Run("burst", func(t *testing.T) {
		q := testQuotas(1000, 1000)
		for now := basilmoor.Millis(0); now < basilmoor.Minute; now += 100 {
			tokens := 40
			if now%(10*basilmoor.Second) < 1500 {
				tokens = 400
			}
			_, ok := q.tryCharge(now, "w", tokens)
			require.True(t, ok, "at %d ms", now)
		}
	})
}

// Guards against a wait after which the request is still refused, or that is
// longer than needed.
func TestQuotaWait(t *testing.T) {
	q := testQuotas(100, 100)
	_, ok := q.tryCharge(0, "w", 500)
	require.True(t, ok)
	_, ok = q.tryCharge(2000, "w", 400)
	require.True(t, ok)
	wait, ok := q.tryCharge(3000, "w", 450)
	require.False(t, ok)
	_, ok = q.tryCharge(3000+wait-1, "w", 450)
	require.False(t, ok)
	_, ok = q.tryCharge(3000+wait, "w", 450)
	require.True(t, ok)
	_, unlimited := q.tryCharge(0, "other", 1_000_000)
	require.True(t, unlimited)
}

// Guards against a request that is never admitted because it exceeds the whole
// quota.
func TestRequestLargerThanQuota(t *testing.T) {
	q := testQuotas(100, 100)
	_, ok := q.tryCharge(0, "w", 5000)
	require.True(t, ok)
	wait, ok := q.tryCharge(1000, "w", 5000)
	require.False(t, ok)
	_, ok = q.tryCharge(1000+wait, "w", 5000)
	require.True(t, ok)
}
