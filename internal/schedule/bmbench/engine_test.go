package bmbench

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmbaseline"
)

// neverGrants returns a scheme whose policy grants nothing, as the test submits
// no demand and enqueues requests at the engine itself.
func neverGrants() Scheme {
	return Scheme{
		Name:    "hold",
		Central: true,
		New: func(_, _ int, _ uint64, _ bmbaseline.Oracle) basilmoor.Policy {
			return bmbaseline.NewPerHostQueue(0, 1)
		},
	}
}

func newTestEngine(slow []window) (*simulation, *poolRun, *engine) {
	d := Seedleaf()
	spec := &poolSpec{
		name:    "labels",
		engines: modelEngines("labels", d.dataCentres, []int{1}),
	}
	spec.engines[0].maxBatch = 2
	sim := &simulation{}
	name := spec.engines[0].target.Name
	p := newPoolRun(sim, d, spec, neverGrants(), 1, map[string][]window{name: slow})
	return sim, p, p.enginesByName[name]
}

func enqueueTestRequest(p *poolRun, e *engine, id string, prompt, output int, digests ...uint64) *request {
	d := Seedleaf()
	r := &request{
		pool:   p,
		target: e,
		arrival: &arrival{
			id:           basilmoor.RequestID(id),
			kind:         &d.kinds[0],
			workspace:    &d.workspaces[0],
			pool:         "labels",
			promptTokens: prompt,
			outputTokens: output,
			digests:      digests,
		},
	}
	p.requests[r.id] = r
	e.enqueue(r)
	return r
}

// Guards against a simulated engine that admits out of arrival order or beyond
// its batch limit, which would favour policies that fill the engine's queue.
func TestEngineAdmitsInArrivalOrder(t *testing.T) {
	sim, p, e := newTestEngine(nil)
	a := enqueueTestRequest(p, e, "a", 64, 3)
	b := enqueueTestRequest(p, e, "b", 64, 30)
	c := enqueueTestRequest(p, e, "c", 64, 3)
	require.True(t, a.admitted)
	sim.run(60 * millisecond)
	require.True(t, b.admitted)
	require.False(t, c.admitted)
	sim.run(300 * millisecond)
	require.True(t, a.finished)
	require.True(t, c.admitted)
}

// Guards against a prefix cache that saves no prefill time and a slowdown factor
// that has no effect.
func TestEngineTime(t *testing.T) {
	const prompt = 8 * basilmoor.PrefixBlockTokens
	digests := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	run := func(slow []window) (cold, warm micros) {
		sim, p, e := newTestEngine(slow)
		first := enqueueTestRequest(p, e, "a", prompt, 1, digests...)
		sim.run(second)
		repeated := enqueueTestRequest(p, e, "b", prompt, 1, digests...)
		start := sim.now
		sim.run(2 * start)
		require.Equal(t, prompt, repeated.sequence.cachedTokens)
		return first.ttft, repeated.ttft - start
	}
	cold, warm := run(nil)
	require.Greater(t, cold, warm+90*millisecond)
	slowCold, _ := run([]window{{
		to:     10 * second,
		factor: 4,
	}})
	require.InDelta(t, 4, float64(slowCold)/float64(cold), 0.1)
}

// Guards against runs of one seed that give different results.
func TestRunIsReproducible(t *testing.T) {
	d := Gonder()
	d.arrivalPeriod = 12 * second
	d.warmUp = 2 * second
	for _, s := range append([]Scheme{Broker(), Clairvoyant()}, Baselines()...) {
		require.Equal(t, Run(d, s, 5), Run(d, s, 5), s.Name)
	}
}

// Guards against a workload without the base load of 0.7, the peaks of 1.6 times
// the capacity, or output lengths that differ by a factor of 100.
func TestWorkloadSwings(t *testing.T) {
	for _, d := range []*Deployment{Seedleaf(), Gonder()} {
		require.InDelta(t, 0.7, d.load(15*second), 1e-9)
		require.InDelta(t, 1.6, d.load(23*second), 1e-9)
		shortest, longest := 1<<30, 0
		for _, a := range newGenerator(d, 1).arrivals() {
			shortest = min(shortest, a.outputTokens)
			longest = max(longest, a.outputTokens)
		}
		require.GreaterOrEqual(t, longest/shortest, 100)
	}
}
