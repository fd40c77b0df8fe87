package bmbench

import (
	"basilmoor.example/basilmoor"
)

// engineSpec describes a fake target. One step of the engine takes
// base + perSequence per running sequence + prefill per processed prompt token.
type engineSpec struct {
	target      basilmoor.Target
	base        micros
	perSequence micros
	prefill     float64 // microseconds per prompt token
	batch       int     // sequences that run at once
	chunk       int     // prompt tokens processed in one step
	maxQueue    int     // waiting sequences beyond which requests are refused
}

// sequence is one request on an engine.
type sequence struct {
	r         *request
	cached    int // prompt tokens found in the cache at admission
	left      int // prompt tokens still to process
	done      int // prompt tokens processed
	chunk     int // prompt tokens in the current step
	generated int
	duplicate int // processed prompt tokens that another target with room held
}

// window is a period during which a target is slow.
type window struct {
	from, to micros
	factor   float64
}

// engine is a fake target with continuous batching and arrival-order
// admission.
type engine struct {
	engineSpec
	pool     *poolRun
	waiting  []*sequence
	running  []*sequence
	stepping bool
	cache    *blockCache
	slow     []window
	private  int // KV tokens of running sequences, without cached blocks
}

func (e *engine) slowness(now micros) float64 {
	for _, w := range e.slow {
		if now >= w.from && now < w.to {
			return w.factor
		}
	}
	return 1
}

// enqueue accepts a request or reports false when the waiting queue is full.
func (e *engine) enqueue(r *request) bool {
	if len(e.waiting) >= e.maxQueue && len(e.running)+len(e.waiting) >= e.batch+e.maxQueue {
		return false
	}
	r.sequence = &sequence{
		r: r,
	}
	e.waiting = append(e.waiting, r.sequence)
	if !e.stepping {
		e.step()
	}
	return true
}

// cancel removes a request.
func (e *engine) cancel(r *request) {
	if i := indexOf(e.waiting, r.sequence); i >= 0 {
		e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
		return
	}
	if i := indexOf(e.running, r.sequence); i >= 0 {
		e.running = append(e.running[:i:i], e.running[i+1:]...)
		e.private -= r.sequence.held()
	}
}

func indexOf(sequences []*sequence, s *sequence) int {
	for i, other := range sequences {
		if other == s {
			return i
		}
	}
	return -1
}

// held is the KV memory of a running sequence beyond the cached blocks. Once
// its prompt is processed, its full blocks are in the cache.
func (s *sequence) held() int {
	if s.left == 0 {
		return s.r.promptTokens%basilmoor.PrefixBlockTokens + s.generated
	}
	return s.r.promptTokens - s.cached
}

func (e *engine) memoryFor(s *sequence) bool {
	if e.target.CacheTokens == 0 || len(e.running) == 0 {
		return true
	}
	need := s.r.promptTokens + s.r.expectedOutput
	return e.private+need <= e.target.CacheTokens*9/10
}

func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.batch && e.memoryFor(e.waiting[0]) {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		matched := e.cache.match(s.r.digests)
		s.cached = matched * basilmoor.PrefixBlockTokens
		s.left = max(s.r.promptTokens-s.cached, 1)
		s.duplicate = e.pool.heldElsewhere(e, s.r.digests, matched) * basilmoor.PrefixBlockTokens
		e.cache.use(s.r.digests[:matched])
		e.private += s.held()
		e.running = append(e.running, s)
		e.pool.admitted(e, s.r)
	}
	if e.target.CacheTokens > 0 {
		e.cache.shrink(e.target.CacheTokens - e.private)
	}
}

// step admits what fits and runs one iteration over all running sequences.
func (e *engine) step() {
	e.stepping = true
	if e.pool.beforeStep != nil {
		e.pool.beforeStep()
	}
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	budget := e.chunk
	for _, s := range e.running {
		s.chunk = min(s.left, budget)
		budget -= s.chunk
	}
	work := float64(e.base) + float64(e.perSequence)*float64(len(e.running)) + e.prefill*float64(e.chunk-budget)
	sim := e.pool.sim
	sim.after(micros(work*e.slowness(sim.now)), e.endStep)
}

func (e *engine) endStep() {
	var kept []*sequence
	var emitted []*sequence
	for _, s := range e.running {
		decoding := s.left == 0
		e.private -= s.held()
		s.left -= s.chunk
		s.done += s.chunk
		s.chunk = 0
		if s.left == 0 && !decoding {
			e.cache.use(s.r.digests)
		}
		if s.left == 0 {
			s.generated++
			emitted = append(emitted, s)
		}
		if s.generated >= s.r.outputTokens {
			continue
		}
		e.private += s.held()
		kept = append(kept, s)
	}
	e.running = kept
	for _, s := range emitted {
		e.pool.emitted(e, s)
	}
	e.step()
}
