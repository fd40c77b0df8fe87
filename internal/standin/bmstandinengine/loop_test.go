package bmstandinengine

import (
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// arrive enqueues a request without HTTP.
func arrive(e *Engine, id string, prompt, output int) *sequence {
	words := strings.Fields(strings.Repeat("w"+id+" ", prompt))
	r := httptest.NewRequest("POST", "/v1/chat/completions", nil)
	r.Header.Set(bmstandin.RequestIDHeader, id)
	q := &sequence{
		execution: bmstandin.NewExecution(r, []byte(id)),
		prompt:    prompt,
		blocks:    PrefixDigests("m", words),
		output:    output,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.add(q)
	return q
}

// Guards against admission out of order, a batch or a KV cache above its
// limit, a sequence that gets too many or too few tokens, and a second
// execution of a request.
func TestBatchInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		s.BatchLimit = rapid.IntRange(1, 4).Draw(t, "batch")
		s.CacheTokens = rapid.IntRange(100, 400).Draw(t, "cache")
		s.PrefillChunk = rapid.IntRange(1, 100).Draw(t, "chunk")
		s.PrefixCacheTokens = 256
		e, stop := build(bmclock.NewManual(0), s)
		defer stop()
		var arrived []*sequence
		turn := func() {
			e.apply(e.plan())
			used := 0
			for _, q := range e.batch {
				used += q.need()
			}
			require.Equal(t, used, e.used)
			require.LessOrEqual(t, e.used, s.CacheTokens)
			require.LessOrEqual(t, len(e.batch), s.BatchLimit)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				prompt := rapid.IntRange(0, 80).Draw(t, "prompt")
				output := rapid.IntRange(1, 20).Draw(t, "output")
				arrived = append(arrived, arrive(e, strconv.Itoa(len(arrived)), prompt, output))
			},
			"step": func(*rapid.T) { turn() },
			"cancel": func(t *rapid.T) {
				if len(arrived) > 0 {
					e.cancelSequence(rapid.SampledFrom(arrived).Draw(t, "sequence"))
				}
			},
		})
		for len(e.batch)+len(e.queue) > 0 {
			turn()
		}
		last := -1
		for _, x := range e.Executions() {
			n, err := strconv.Atoi(x.Request)
			require.NoError(t, err)
			require.Greater(t, n, last, "executions start in order of arrival, each once")
			last = n
			require.Equal(t, arrived[n].phase == finished, x.Complete)
		}
		for _, q := range arrived {
			require.True(t, q.phase.ended())
			require.Equal(t, q.phase == finished, q.generated == q.output)
		}
	})
}

// Guards against a request that overtakes an earlier one which does not fit.
func TestHeadOfQueueBlocks(t *testing.T) {
	s := DefaultSettings()
	s.CacheTokens = 100
	e, stop := build(bmclock.NewManual(0), s)
	defer stop()
	arrive(e, "1", 50, 10)
	big := arrive(e, "2", 50, 10)
	small := arrive(e, "3", 5, 5)
	e.plan()
	require.Equal(t, waiting, big.phase)
	require.Equal(t, waiting, small.phase)
}

// Guards against an engine whose time between tokens does not depend on its
// batch, and whose time to first token does not depend on the prompt.
func TestStepDuration(t *testing.T) {
	s := DefaultSettings()
	s.TimeScale = 0.5
	e, stop := build(bmclock.NewManual(0), s)
	defer stop()
	arrive(e, "1", 100, 9)
	first := e.plan()
	require.InDelta(t, (10+100*0.05)*0.5, first.duration, 1e-9)
	e.apply(first)
	require.InDelta(t, (10+0.4)*0.5, e.plan().duration, 1e-9)
	arrive(e, "2", 0, 9)
	e.apply(e.plan())
	slow := 2.0
	require.NoError(t, e.SetFaults(bmstandin.Faults{
		SlowFactor: &slow,
	}))
	require.InDelta(t, (10+2*0.4)*0.5*slow, e.plan().duration, 1e-9)
}

// Guards against a prefix cache that finds what it does not hold, exceeds its
// memory or evicts the head of a prompt before its tail.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(3)
	stored, evicted := c.insert([]uint64{1, 2, 3})
	require.Len(t, stored, 3)
	require.Empty(t, evicted)
	require.Equal(t, 2, c.lookup([]uint64{1, 2, 9}))
	_, evicted = c.insert([]uint64{7})
	require.Equal(t, []uint64{3}, evicted)
	_, evicted = c.insert([]uint64{8})
	require.Equal(t, []uint64{2}, evicted)
	require.Equal(t, 1, c.lookup([]uint64{1, 2, 3}))
	_, evicted = c.insert([]uint64{11, 12, 13, 14})
	require.Len(t, c.blocks, 3)
	require.Len(t, evicted, 3)
}

// Guards against a cached prompt that is computed again, or not at all.
func TestCachedPrompt(t *testing.T) {
	e, stop := build(bmclock.NewManual(0), DefaultSettings())
	defer stop()
	arrive(e, "1", 128, 1)
	e.apply(e.plan())
	second := arrive(e, "1", 128, 1)
	e.apply(e.plan())
	require.Equal(t, 127, second.cached)
	require.Equal(t, 129, e.Stats().PrefillTokens)
}

// Guards against cache events that arrive early, and against lost ones that
// the reader cannot notice.
func TestCacheEvents(t *testing.T) {
	clock := bmclock.NewManual(0)
	s := DefaultSettings()
	s.CacheEventDelay = basilmoor.Second
	s.CacheEventHistory = 2
	s.CacheEventDropEvery = 4
	log := newEventLog(clock, s)
	log.add(EventStored, 1)
	require.Empty(t, log.after(0).Events)
	clock.Advance(basilmoor.Second)
	found := log.after(0)
	require.Len(t, found.Events, 1)
	require.False(t, found.Gap)
	for block := range uint64(4) {
		log.add(EventEvicted, block) // sequence numbers 2 to 5, of which 4 is dropped
	}
	clock.Advance(basilmoor.Second)
	found = log.after(found.Next)
	require.True(t, found.Gap)
	require.Equal(t, int64(3), found.Events[0].Sequence)
	require.Equal(t, int64(5), found.Next)
}

// Guards against a command of an old controller that a checking engine
// executes, and against one that an ignoring engine rejects.
func TestFencing(t *testing.T) {
	tests := map[string]struct {
		check bool
		want  string
	}{
		"checked": {
			check: true,
			want:  "stale-fencing",
		},
		"ignored": {
			want: "accepted",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := bmclock.NewManual(0)
			s := DefaultSettings()
			s.CheckFencing = tt.check
			s.Models = []string{"a"}
			e, stop := build(clock, s)
			defer stop()
			_, result := e.execute(Command{
				Fencing: 2,
				Kind:    LoadModel,
				Name:    "b",
			})
			require.Equal(t, "accepted", result.State)
			require.False(t, e.loaded.serves(clock.Now(), "b", ""))
			clock.Advance(basilmoor.Millis(s.LoadMillis))
			require.True(t, e.loaded.serves(clock.Now(), "b", ""))
			_, result = e.execute(Command{
				Fencing: 1,
				Kind:    UnloadModel,
				Name:    "b",
			})
			require.Equal(t, tt.want, result.State)
			require.Equal(t, tt.check, e.loaded.serves(clock.Now(), "b", ""))
		})
	}
}
