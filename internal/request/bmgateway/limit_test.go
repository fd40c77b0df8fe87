package bmgateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmlimit"
)

// Checks that a request is refused after two targets crashed while running it, and
// that a broken connection to a live target does not count as a crash.
func TestCrashSuspectIsRefused(t *testing.T) {
	var crashes *bmcrash.Registry
	f := newFixture(t, func(cfg *Config) {
		crashes = bmcrash.New(cfg.Clock)
		cfg.Crashes = crashes
	}, crashingTarget(t, true), crashingTarget(t, true), crashingTarget(t, false))
	send := func(path string) response {
		res := f.send(t, "GET", path, "")
		f.gateway.crashProbes.Wait()
		return res
	}
	for range 2 {
		require.Equal(t, "unknown", send("/stock/bad").outcome())
	}
	res := send("/stock/bad")
	require.Equal(t, "not-run", res.outcome())
	require.Contains(t, res.body, "crash-suspect")
	require.Len(t, f.scheduler.acquired(), 2)
	require.Len(t, crashes.Recent(), 2)

	require.Equal(t, "unknown", send("/stock/other").outcome())
	require.Len(t, crashes.Recent(), 2, "a live target was counted as crashed")
}

// crashingTarget returns a target that breaks each connection and, if crashes is
// set, then refuses new ones.
func crashingTarget(t *testing.T, crashes bool) basilmoor.Target {
	var stop func()
	target := serveTarget(t, basilmoor.ServiceTarget, func(http.ResponseWriter, *http.Request) {
		if crashes {
			stop()
		}
		panic(http.ErrAbortHandler)
	})
	stop = listenerCloser(t, target)
	return target
}

// Checks that the concurrency limit and the retry budget are enforced, and that
// each request releases its slot.
func TestLimits(t *testing.T) {
	target := serveTarget(t, basilmoor.ServiceTarget, func(http.ResponseWriter, *http.Request) {})
	f := newFixture(t, func(cfg *Config) {
		cfg.Limiter = bmlimit.New(cfg.Clock, func() int { return 2 })
		cfg.Retries = bmlimit.NewRetryBudget(0, 1)
	}, unreachableTarget(t), target)
	for range 2 { // limit 1 per host: the second request needs the slot of the first
		require.Equal(t, 200, f.send(t, "GET", "/stock", "").StatusCode)
	}
	f.scheduler.unblock = make(chan struct{})
	running := make(chan response)
	go func() { running <- f.send(t, "GET", "/stock", "") }()
	<-f.scheduler.blocked
	res := f.send(t, "GET", "/stock", "")
	require.Equal(t, 429, res.StatusCode)
	require.Equal(t, "not-run", res.outcome())
	require.Contains(t, res.body, "concurrency-limit")
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	close(f.scheduler.unblock)
	require.Equal(t, 200, (<-running).StatusCode)

	f.scheduler.targets = []basilmoor.Target{unreachableTarget(t)}
	before := len(f.scheduler.acquired())
	res = f.send(t, "GET", "/stock", "")
	require.Contains(t, res.body, "target-unreachable")
	require.Len(t, f.scheduler.acquired(), before+1, "retried beyond the budget")
}
