package bmgrant

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against callers that wait in vain at a crest: one slot is asked for
// twenty responses of 0.8 s, whose callers wait 4 s. Those that can't be served
// by then learn it within the period of a forecast and not after 4 s, the lowest
// rank first, with the time until a slot as the hint when to come back. All
// others are served.
func TestCrestIsRefusedEarly(t *testing.T) {
	const (
		pace     = 7
		demands  = 20
		patience = 4 * basilmoor.Second
	)
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("t", 1)})
	learn(p, "t", pace)
	duration := p.duration(testDemand("any", 0))
	fit := int(patience / duration)
	for i := range demands {
		d := testDemand(fmt.Sprint(i), min(i%4, 1))
		d.Objective = patience
		d.Patience = patience
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
	require.Zero(t, p.refused[0], "the demands of the highest rank fit")
	served := 1
	for now := duration; p.Waiting() > 0; now += duration {
		id := onlyFlight(p)
		decisions := p.Observe(now, basilmoor.Observation{
			Request: id,
			Stage:   basilmoor.StageFinished,
			Tokens:  100,
			Elapsed: duration,
		})
		served += len(granted(decisions))
		require.LessOrEqual(t, now, patience+duration)
	}
	require.InDelta(t, fit, served, 2)
}

func onlyFlight(p *Pool) basilmoor.RequestID {
	for id := range p.flights {
		return id
	}
	return ""
}

// Guards against refusals in a pool whose targets are all gone for a moment: it
// says nothing about how long the callers will wait.
func TestNoForecastWithoutTargets(t *testing.T) {
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("t", 1).WithLeaving(true)})
	for i := range 3 {
		require.Empty(t, refused(p.Submit(0, testDemand(fmt.Sprint(i), 0))))
	}
	require.Empty(t, refused(p.Tick(forecastPeriod)))
}
