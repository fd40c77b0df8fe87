package bmlimit

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// A workspace must not exceed this host's share of its rate, and must be admitted
// after the announced retry time.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 50).Draw(t, "limit")
		members := rapid.IntRange(1, 9).Draw(t, "members")
		part := (limit + members - 1) / members
		clock := bmclock.NewManual(0)
		l := New(clock, func() int { return members })
		w := basilmoor.Workspace{
			Name:          "w",
			RatePerSecond: limit,
		}
		admitted := 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			clock.Advance(basilmoor.Millis(rapid.IntRange(0, 300).Draw(t, "pause")))
			release, refused := l.Admit(w)
			if refused == nil {
				release()
				admitted++
			} else {
				require.Equal(t, basilmoor.ReasonRateLimit, refused.Reason)
				require.Positive(t, refused.RetryAfter)
				clock.Advance(refused.RetryAfter)
				_, refused = l.Admit(w)
				require.Nil(t, refused, "refused after the announced time")
				admitted++
			}
			require.LessOrEqual(t, admitted, part+part*int(clock.Now())/1000)
		}
	})
}

// The requests in progress must not exceed this host's share, and each request
// must release its slot exactly once.
func TestConcurrency(t *testing.T) {
	members := 3
	l := New(bmclock.NewManual(0), func() int { return members })
	w := basilmoor.Workspace{
		Name:          "w",
		MaxConcurrent: 4,
	}
	first, refused := l.Admit(w)
	require.Nil(t, refused)
	_, refused = l.Admit(w)
	require.Nil(t, refused)
	_, refused = l.Admit(w)
	require.Equal(t, basilmoor.ReasonConcurrencyLimit, refused.Reason)
	require.Positive(t, refused.RetryAfter)
	first()
	first()
	_, refused = l.Admit(w)
	require.Nil(t, refused)
	_, refused = l.Admit(w)
	require.NotNil(t, refused)
	members = 1 // the other hosts have left
	_, refused = l.Admit(w)
	require.Nil(t, refused)
}

// Memory must not grow with the number of workspaces ever seen.
func TestIdleWorkspacesAreForgotten(t *testing.T) {
	clock := bmclock.NewManual(0)
	l := New(clock, func() int { return 1 })
	admit := func(name string) func() {
		release, refused := l.Admit(basilmoor.Workspace{
			Name:          name,
			RatePerSecond: 1,
		})
		require.Nil(t, refused)
		return release
	}
	admit("busy")
	for i := range 2 * sweepThreshold {
		admit(fmt.Sprint(i))()
	}
	clock.Advance(sweepPeriod)
	admit("last")
	require.Len(t, l.workspaces, 2)
}

// Retries must stay within the burst and the percentage of requests.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(20, 2)
	require.True(t, b.Withdraw())
	require.True(t, b.Withdraw())
	require.False(t, b.Withdraw())
	for range 5 {
		require.False(t, b.Withdraw())
		b.Deposit()
	}
	require.True(t, b.Withdraw())
	for range 100 {
		b.Deposit()
	}
	require.True(t, b.Withdraw())
	require.True(t, b.Withdraw())
	require.False(t, b.Withdraw())
}
