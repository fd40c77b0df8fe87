package bmgateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmlimit"
)

// Guards against a request that is sent to a third target after two died, and
// against a death that is counted while the target lives.
func TestCrashSuspectIsHeldBack(t *testing.T) {
	var crashes *bmcrash.Registry
	f := newFixture(t, func(cfg *Config) {
		crashes = bmcrash.New(cfg.Clock)
		cfg.Crashes = crashes
	}, dyingTarget(t, true), dyingTarget(t, true), dyingTarget(t, false))
	send := func(path string) response {
		res := f.send(t, "GET", path, "")
		f.gateway.probes.Wait()
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
	require.Len(t, crashes.Recent(), 2, "a target that lives was counted as dead")
}

// dyingTarget breaks each connection and, if it dies, its listener.
func dyingTarget(t *testing.T, dies bool) basilmoor.Target {
	var stop func()
	target := serveTarget(t, basilmoor.ServiceTarget, func(http.ResponseWriter, *http.Request) {
		if dies {
			stop()
		}
		panic(http.ErrAbortHandler)
	})
	stop = closeListener(t, target)
	return target
}

// Guards against limits that are not enforced or not given back.
func TestLimits(t *testing.T) {
	target := serveTarget(t, basilmoor.ServiceTarget, func(http.ResponseWriter, *http.Request) {})
	f := newFixture(t, func(cfg *Config) {
		cfg.Limiter = bmlimit.New(cfg.Clock, func() int { return 2 })
		cfg.Retries = bmlimit.NewRetryBudget(0, 1)
	}, deadTarget(t), target)
	for range 2 { // one admitted at a time
		require.Equal(t, 200, f.send(t, "GET", "/stock", "").StatusCode)
	}
	f.scheduler.hold = make(chan struct{})
	running := make(chan response)
	go func() { running <- f.send(t, "GET", "/stock", "") }()
	<-f.scheduler.waiting
	res := f.send(t, "GET", "/stock", "")
	require.Equal(t, 429, res.StatusCode)
	require.Equal(t, "not-run", res.outcome())
	require.Contains(t, res.body, "concurrency-limit")
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	close(f.scheduler.hold)
	require.Equal(t, 200, (<-running).StatusCode)

	f.scheduler.targets = []basilmoor.Target{deadTarget(t)}
	before := len(f.scheduler.acquired())
	res = f.send(t, "GET", "/stock", "")
	require.Contains(t, res.body, "target-unreachable")
	require.Len(t, f.scheduler.acquired(), before+1, "retried beyond the budget")
}
