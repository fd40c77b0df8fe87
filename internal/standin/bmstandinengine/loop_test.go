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

// enqueueRequest enqueues a request without using HTTP.
func enqueueRequest(e *Engine, id string, prompt, output int) *sequence {
	words := strings.Fields(strings.Repeat("w"+id+" ", prompt))
	r := httptest.NewRequest("POST", "/v1/chat/completions", nil)
	r.Header.Set(bmstandin.RequestIDHeader, id)
	q := &sequence{
		execution:    bmstandin.NewExecution(r, []byte(id)),
		promptTokens: prompt,
		blocks:       PrefixDigests("m", words),
		outputTokens: output,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.enqueue(q)
	return q
}

// Checks that requests are admitted in order, that the batch and the KV cache
// stay within their limits, that each sequence gets the requested number of
// tokens, and that no request is executed twice.
func TestBatchInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		s.BatchLimit = rapid.IntRange(1, 4).Draw(t, "batch")
		s.CacheTokens = rapid.IntRange(100, 400).Draw(t, "cache")
		s.PrefillChunk = rapid.IntRange(1, 100).Draw(t, "chunk")
		s.PrefixCacheTokens = 256
		e, stop := newEngine(bmclock.NewManual(0), s)
		defer stop()
		var arrived []*sequence
		runStep := func() {
			e.applyStep(e.planStep())
			used := 0
			for _, q := range e.batch {
				used += q.kvTokens()
			}
			require.Equal(t, used, e.reservedTokens)
			require.LessOrEqual(t, e.reservedTokens, s.CacheTokens)
			require.LessOrEqual(t, len(e.batch), s.BatchLimit)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				prompt := rapid.IntRange(0, 80).Draw(t, "prompt")
				output := rapid.IntRange(1, 20).Draw(t, "output")
				arrived = append(arrived, enqueueRequest(e, strconv.Itoa(len(arrived)), prompt, output))
			},
			"step": func(*rapid.T) { runStep() },
			"cancel": func(t *rapid.T) {
				if len(arrived) > 0 {
					e.cancelSequence(rapid.SampledFrom(arrived).Draw(t, "sequence"))
				}
			},
		})
		for len(e.batch)+len(e.queue) > 0 {
			runStep()
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
			require.Equal(t, q.phase == finished, q.generatedTokens == q.outputTokens)
		}
	})
}

// Checks that a request does not overtake an earlier one that does not fit into
// the KV cache.
func TestHeadOfQueueBlocks(t *testing.T) {
	s := DefaultSettings()
	s.CacheTokens = 100
	e, stop := newEngine(bmclock.NewManual(0), s)
	defer stop()
	enqueueRequest(e, "1", 50, 10)
	big := enqueueRequest(e, "2", 50, 10)
	small := enqueueRequest(e, "3", 5, 5)
	e.planStep()
	require.Equal(t, waiting, big.phase)
	require.Equal(t, waiting, small.phase)
}

// Checks that the time between tokens depends on the batch size, and the time to
// the first token on the prompt length.
func TestStepDuration(t *testing.T) {
	s := DefaultSettings()
	s.TimeScale = 0.5
	e, stop := newEngine(bmclock.NewManual(0), s)
	defer stop()
	enqueueRequest(e, "1", 100, 9)
	first := e.planStep()
	require.InDelta(t, (10+100*0.05)*0.5, first.duration, 1e-9)
	e.applyStep(first)
	require.InDelta(t, (10+0.4)*0.5, e.planStep().duration, 1e-9)
	enqueueRequest(e, "2", 0, 9)
	e.applyStep(e.planStep())
	slow := 2.0
	require.NoError(t, e.SetFaults(bmstandin.Faults{
		SlowFactor: &slow,
	}))
	require.InDelta(t, (10+2*0.4)*0.5*slow, e.planStep().duration, 1e-9)
}

// Checks that the prefix cache finds only cached blocks, stays within its size,
// and evicts the last blocks of a prompt before the first ones.
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

// Checks that of a cached prompt only the last token is computed.
func TestCachedPrompt(t *testing.T) {
	e, stop := newEngine(bmclock.NewManual(0), DefaultSettings())
	defer stop()
	enqueueRequest(e, "1", 128, 1)
	e.applyStep(e.planStep())
	second := enqueueRequest(e, "1", 128, 1)
	e.applyStep(e.planStep())
	require.Equal(t, 127, second.cachedTokens)
	require.Equal(t, 129, e.Stats().PrefillTokens)
}

// Checks that cache events are not visible before the delay has passed, and that
// a reader can detect dropped events.
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

// Checks that an engine with CheckFencing rejects a command with a stale fencing
// number, and that an engine without it executes the command.
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
			e, stop := newEngine(clock, s)
			defer stop()
			_, result := e.execute(Command{
				Fencing: 2,
				Kind:    LoadModel,
				Name:    "b",
			})
			require.Equal(t, "accepted", result.State)
			require.False(t, e.loadState.serves(clock.Now(), "b", ""))
			clock.Advance(basilmoor.Millis(s.LoadMillis))
			require.True(t, e.loadState.serves(clock.Now(), "b", ""))
			_, result = e.execute(Command{
				Fencing: 1,
				Kind:    UnloadModel,
				Name:    "b",
			})
			require.Equal(t, tt.want, result.State)
			require.Equal(t, tt.check, e.loadState.serves(clock.Now(), "b", ""))
		})
	}
}
