package bmgrant

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against callers that wait until their timeout at a peak although
// they can't be served. Twenty responses of 0.8 s, whose callers wait 4 s, are
// requested from one slot. The demands that can't be served in time must be
// refused within a forecast period instead of after 4 s, those of the lowest tier
// first, with the expected wait for a slot as Retry-After. All others are served.
func TestPeakIsRefusedEarly(t *testing.T) {
	const (
		latency = 7
		demands = 20
		timeout = 4 * basilmoor.Second
	)
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("t", 1)})
	setTokenLatency(p, "t", latency)
	duration := p.fastestDuration(testDemand("any", 0))
	fit := int(timeout / duration)
	for i := range demands {
		d := testDemand(fmt.Sprint(i), min(i%4, 1))
		d.Objective = timeout
		d.FirstByteTimeout = timeout
		p.Submit(0, d)
	}
	var early []basilmoor.Decision
	for now := basilmoor.Millis(0); now <= 2*forecastPeriod; now += tickPeriod {
		early = append(early, p.Tick(now)...)
	}
	require.InDelta(t, demands-fit, len(refused(early)), 2)
	for _, d := range early {
		require.NotNil(t, d.Refusal)
		require.Greater(t, d.Refusal.RetryAfter, 2*basilmoor.Second)
	}
	require.Zero(t, p.refusedByTier[0], "refusals of the highest tier")
	served := 1
	for now := duration; p.Waiting() > 0; now += duration {
		id := onlyInFlight(p)
		decisions := p.Observe(now, basilmoor.Observation{
			Request: id,
			Stage:   basilmoor.StageFinished,
			Tokens:  100,
			Elapsed: duration,
		})
		served += len(granted(decisions))
		require.LessOrEqual(t, now, timeout+duration)
	}
	require.InDelta(t, fit, served, 2)
}

// onlyInFlight returns the request that holds the pool's only slot, or "".
func onlyInFlight(p *Pool) basilmoor.RequestID {
	for id := range p.inFlight {
		return id
	}
	return ""
}

// Guards against refusals in a pool whose targets are all leaving or gone for a
// short time: the expected wait is unknown then.
func TestNoForecastWithoutTargets(t *testing.T) {
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("t", 1).WithLeaving(true)})
	for i := range 3 {
		require.Empty(t, refused(p.Submit(0, testDemand(fmt.Sprint(i), 0))))
	}
	require.Empty(t, refused(p.Tick(forecastPeriod)))
}
