package bmbench

import (
	"basilmoor.example/basilmoor"
)

// engineSpec describes a simulated target. One step takes stepBase, plus
// stepPerSequence for each running sequence, plus prefillPerToken for each
// prompt token processed in the step.
type engineSpec struct {
	target              basilmoor.Target
	stepBase            micros
	stepPerSequence     micros
	prefillPerToken     float64 // microseconds per prompt token
	maxBatch            int     // sequences that run concurrently
	maxChunkTokens      int     // prompt tokens processed in one step, over all sequences
	maxQueue            int     // waiting sequences at which a full batch rejects requests
	saturationSequences int     // sequences beyond which steps take longer; 0 for none
	saturationSlowdown  float64 // increase of a step's time by each of them, as a fraction
}

// sequence is the execution of a request on an engine.
type sequence struct {
	request         *request
	cachedTokens    int // prompt tokens found in the cache at admission
	promptLeft      int // prompt tokens still to process
	promptDone      int // prompt tokens processed
	chunkTokens     int // prompt tokens in the current step
	generated       int
	duplicateTokens int // prompt tokens processed here although another target with free slots had them cached
}

// window is a period [from, to) with the factor that applies during it: the
// slowdown of a target or the demand as a fraction of capacity.
type window struct {
	from, to micros
	factor   float64
}

// engine simulates a target with continuous batching and first-come,
// first-served admission.
type engine struct {
	engineSpec
	pool          *poolRun
	waiting       []*sequence
	running       []*sequence
	stepping      bool
	cache         *blockCache
	slowWindows   []window
	privateTokens int // KV cache tokens of running sequences outside the prefix cache
}

// slowdown returns the factor by which steps take longer at the given time.
func (e *engine) slowdown(now micros) float64 {
	for _, w := range e.slowWindows {
		if now >= w.from && now < w.to {
			return w.factor
		}
	}
	return 1
}

// enqueue queues a request and reports whether the waiting queue had room.
func (e *engine) enqueue(r *request) bool {
	if len(e.waiting) >= e.maxQueue && len(e.running)+len(e.waiting) >= e.maxBatch+e.maxQueue {
		return false
	}
	r.sequence = &sequence{
		request: r,
	}
	e.waiting = append(e.waiting, r.sequence)
	if !e.stepping {
		e.startStep()
	}
	return true
}

// cancel removes a request from the waiting queue or the batch.
func (e *engine) cancel(r *request) {
	if i := sequenceIndex(e.waiting, r.sequence); i >= 0 {
		e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
		return
	}
	if i := sequenceIndex(e.running, r.sequence); i >= 0 {
		e.running = append(e.running[:i:i], e.running[i+1:]...)
		e.privateTokens -= r.sequence.privateTokens()
	}
}

func sequenceIndex(sequences []*sequence, s *sequence) int {
	for i, other := range sequences {
		if other == s {
			return i
		}
	}
	return -1
}

// privateTokens returns the number of KV cache tokens that a running sequence
// holds outside the prefix cache. Once the prompt is processed, its full blocks
// are in the prefix cache.
func (s *sequence) privateTokens() int {
	if s.promptLeft == 0 {
		return s.request.promptTokens%basilmoor.PrefixBlockTokens + s.generated
	}
	return s.request.promptTokens - s.cachedTokens
}

// hasMemoryFor reports whether the sequence fits into the KV cache, of which one
// tenth stays free. An idle engine and a target without KV cache accept any
// sequence.
func (e *engine) hasMemoryFor(s *sequence) bool {
	if e.target.CacheTokens == 0 || len(e.running) == 0 {
		return true
	}
	need := s.request.promptTokens + s.request.expectedOutput
	return e.privateTokens+need <= e.target.CacheTokens*9/10
}

// admit moves waiting sequences into the batch while slots and memory last, and
// shrinks the prefix cache to the memory that is left.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.maxBatch && e.hasMemoryFor(e.waiting[0]) {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		matched := e.cache.cachedPrefix(s.request.digests)
		s.cachedTokens = matched * basilmoor.PrefixBlockTokens
		s.promptLeft = max(s.request.promptTokens-s.cachedTokens, 1)
		s.duplicateTokens = e.pool.blocksCachedElsewhere(e, s.request.digests, matched) * basilmoor.PrefixBlockTokens
		e.cache.touch(s.request.digests[:matched])
		e.privateTokens += s.privateTokens()
		e.running = append(e.running, s)
		e.pool.onAdmitted(e, s.request)
	}
	if e.target.CacheTokens > 0 {
		e.cache.evictTo(e.target.CacheTokens - e.privateTokens)
	}
}

// startStep admits waiting sequences and starts one iteration of the batch. The
// engine goes idle if no sequence runs.
func (e *engine) startStep() {
	e.stepping = true
	if e.pool.beforeStep != nil {
		e.pool.beforeStep()
	}
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	budget := e.maxChunkTokens
	for _, s := range e.running {
		s.chunkTokens = min(s.promptLeft, budget)
		budget -= s.chunkTokens
	}
	work := float64(e.stepBase) + float64(e.stepPerSequence)*float64(len(e.running)) + e.prefillPerToken*float64(e.maxChunkTokens-budget)
	if excess := len(e.running) - e.saturationSequences; e.saturationSequences > 0 && excess > 0 {
		work *= 1 + e.saturationSlowdown*float64(excess)
	}
	sim := e.pool.sim
	sim.after(micros(work*e.slowdown(sim.now)), e.endStep)
}

// endStep applies the results of an iteration, reports a token for each sequence
// whose prompt is processed, and starts the next iteration.
func (e *engine) endStep() {
	var kept []*sequence
	var emitted []*sequence
	for _, s := range e.running {
		decoding := s.promptLeft == 0
		e.privateTokens -= s.privateTokens()
		s.promptLeft -= s.chunkTokens
		s.promptDone += s.chunkTokens
		s.chunkTokens = 0
		if s.promptLeft == 0 && !decoding {
			e.cache.touch(s.request.digests)
		}
		if s.promptLeft == 0 {
			s.generated++
			emitted = append(emitted, s)
		}
		if s.generated >= s.request.outputTokens {
			continue
		}
		e.privateTokens += s.privateTokens()
		kept = append(kept, s)
	}
	e.running = kept
	for _, s := range emitted {
		e.pool.onToken(e, s)
	}
	e.startStep()
}
