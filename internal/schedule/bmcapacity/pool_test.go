package bmcapacity

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

func engines(n, slots int) []basilmoor.Target {
	var specs []basilmoor.Target
	for i := range n {
		specs = append(specs, basilmoor.Target{
			Name:        fmt.Sprintf("t%d", i),
			Type:        basilmoor.EngineTarget,
			Slots:       slots,
			CacheTokens: 4096,
			Generation:  "g",
		})
	}
	return specs
}

func reserve(p *Pool, now basilmoor.Millis, id, target string, digests ...uint64) {
	p.Reserve(now, basilmoor.Demand{
		Request:       basilmoor.RequestID(id),
		PromptTokens:  320,
		OutputTokens:  10,
		PrefixDigests: digests,
	}, target)
}

func observe(p *Pool, now basilmoor.Millis, id, target string, stage basilmoor.Stage, tokens int, elapsed basilmoor.Millis) {
	p.Observe(now, basilmoor.Observation{
		Request: basilmoor.RequestID(id),
		Target:  target,
		Stage:   stage,
		Tokens:  tokens,
		Elapsed: elapsed,
	})
}

// Guards against stragglers keeping all their slots, against reducing more than a
// third of the pool, and against recovered targets staying reduced.
func TestAtMostAThirdIsReducedAndRestored(t *testing.T) {
	p := NewPool(DefaultConfig())
	p.SetTargets(engines(6, 8))
	elapsed := basilmoor.Millis(0)
	now := basilmoor.Millis(0)
	tokens := 1
	run := func(latency func(i int) basilmoor.Millis, steps int) {
		for range steps {
			now += 100
			tokens++
			for i := range 6 {
				r := p.reservations[basilmoor.RequestID(fmt.Sprint("r", i))]
				observe(p, now, fmt.Sprint("r", i), fmt.Sprint("t", i), basilmoor.StageProgress, tokens, r.elapsed+latency(i))
			}
			p.UpdateStragglers(now)
		}
	}
	for i := range 6 {
		reserve(p, now, fmt.Sprint("r", i), fmt.Sprint("t", i))
		observe(p, now, fmt.Sprint("r", i), fmt.Sprint("t", i), basilmoor.StageFirstToken, 1, elapsed)
	}
	reduced := func() (names []string) {
		for _, s := range p.Stats() {
			if s.Reduced {
				names = append(names, s.Name)
				require.Equal(t, 1, s.SlotLimit)
			}
		}
		return names
	}
	normal := func(int) basilmoor.Millis { return 20 }
	run(normal, 10)
	require.Empty(t, reduced())
	run(func(i int) basilmoor.Millis {
		if i < 3 {
			return 80
		}
		return 20
	}, 1)
	require.Equal(t, []string{"t0", "t1"}, reduced(), "three targets are slow, but at most a third of six may be reduced")
	run(normal, 1)
	require.Empty(t, reduced())
}

// Guards against granting more requests than an engine admits if too many slots
// are configured for it.
func TestLimitIsLearnedFromFirstTokens(t *testing.T) {
	const admitted = 6
	p := NewPool(DefaultConfig())
	p.SetTargets(engines(1, 10))
	observe(p, 0, "x", "t0", basilmoor.StageReturned, 0, 0)
	now := basilmoor.Millis(0)
	round := func(wait basilmoor.Millis) int {
		n := p.Stats()[0].SlotLimit
		for i := range n {
			id := fmt.Sprint(now, "-", i)
			reserve(p, now, id, "t0")
			first := basilmoor.Millis(100 * (i + 1))
			if i >= admitted {
				first += wait
			}
			observe(p, now, id, "t0", basilmoor.StageFirstToken, 1, first)
			observe(p, now, id, "t0", basilmoor.StageProgress, 2, first+20)
		}
		for i := range n {
			observe(p, now, fmt.Sprint(now, "-", i), "t0", basilmoor.StageFinished, 2, 0)
		}
		now += 2 * basilmoor.Second
		return n
	}
	for range 10 {
		round(5 * basilmoor.Second)
	}
	require.LessOrEqual(t, round(5*basilmoor.Second), admitted+1)
	for range 10 {
		round(0)
	}
	require.Equal(t, 10, round(0), "the limit returns to the configured slots")
}

// Guards against assuming more cached prefixes than the engine's cache can hold.
func TestPrefixKnowledgeIsBounded(t *testing.T) {
	c := newPrefixCache(4 * basilmoor.PrefixBlockTokens)
	c.use([]uint64{1, 2, 3})
	require.Equal(t, 3, c.match([]uint64{1, 2, 3, 4}))
	c.use([]uint64{7, 8})
	require.Equal(t, 2, c.match([]uint64{1, 2, 3}), "the longest prefix is evicted first")
	require.Equal(t, 2, c.match([]uint64{7, 8, 9}))
	require.Zero(t, c.match([]uint64{5}))
}

// Guards against reporting a latency change late, and against reporting single
// long steps.
func TestSamplerReportsChanges(t *testing.T) {
	var s Sampler
	now := basilmoor.Millis(1000)
	tokens := 0
	feed := func(intervals ...basilmoor.Millis) (reported int) {
		for _, interval := range intervals {
			now += interval
			tokens++
			reported += len(s.RecordToken(now, "r", Sample{
				Tokens:  tokens,
				Elapsed: now,
			}))
		}
		return reported
	}
	require.Equal(t, 2, feed(20, 20, 20, 20), "the first latency is reported")
	require.Zero(t, feed(20, 100, 100, 20, 20))
	require.Equal(t, 2, feed(80, 80, 80), "three slow intervals")
	require.Equal(t, 2, feed(20), "one normal interval")
	require.Zero(t, s.RecordToken(now, "other", Sample{
		Tokens: 5,
	}))
}
