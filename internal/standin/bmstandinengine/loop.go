package bmstandinengine

import (
	"basilmoor.example/basilmoor"
)

// maxCatchUpMillis limits how much lost time the engine makes up for after the
// machine was paused, so that it does not generate a burst of tokens.
const maxCatchUpMillis = 100.0

// step is one iteration of the batch.
type step struct {
	epoch    int
	parts    []sequenceStep
	duration float64 // in milliseconds, scaled
}

// sequenceStep is the work of one step for one sequence.
type sequenceStep struct {
	sequence   *sequence
	prefill    int  // prompt tokens to compute
	emitsToken bool // generates a token at the end of the step
}

// run executes batch steps until the engine stops.
func (e *Engine) run() {
	defer close(e.loopDone)
	p := &pacer{
		clock: e.clock,
	}
	p.reset()
	for e.ctx.Err() == nil {
		s := e.planStep()
		if len(s.parts) == 0 {
			e.waitForWork()
			p.reset()
			continue
		}
		if err := p.wait(e, s.duration); err != nil {
			return
		}
		e.applyStep(s)
	}
}

// waitForWork waits until there is new work or the engine stops.
func (e *Engine) waitForWork() {
	select {
	case <-e.workAvailable:
	case <-e.ctx.Done():
	}
}

// pacer schedules steps of fractional duration on a clock of whole milliseconds
// without accumulating rounding errors.
type pacer struct {
	clock      basilmoor.Clock
	nextStepAt float64 // in milliseconds on clock
}

// reset makes the next step start now.
func (p *pacer) reset() {
	p.nextStepAt = float64(p.clock.Now())
}

// wait waits for the end of a step of the given duration in milliseconds. It
// returns an error if the engine stops.
func (p *pacer) wait(e *Engine, duration float64) error {
	now := float64(p.clock.Now())
	p.nextStepAt = max(p.nextStepAt, now-maxCatchUpMillis) + duration
	if pause := basilmoor.Millis(p.nextStepAt - now); pause >= 1 {
		return p.clock.Sleep(e.ctx, pause)
	}
	return e.ctx.Err()
}

// planStep admits requests to the batch and returns the next step, which has no
// parts if there is no work. It crashes the engine if a fault requires it.
func (e *Engine) planStep() step {
	slow := e.process.SlowFactor()
	if e.admit() {
		e.process.Crash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := step{
		epoch: e.epoch,
	}
	budget := e.settings.PrefillChunk
	decoding, prefill := 0, 0
	for _, q := range e.batch {
		n := min(budget, q.promptTokens-q.prefilledTokens)
		budget -= n
		prefill += n
		if n == 0 && q.prefilledTokens == q.promptTokens {
			decoding++
		}
		s.parts = append(s.parts, sequenceStep{
			sequence:   q,
			prefill:    n,
			emitsToken: q.prefilledTokens+n == q.promptTokens,
		})
	}
	cost := e.settings.StepMillis
	cost += e.settings.SequenceMillis * float64(decoding)
	cost += e.settings.PrefillMillis * float64(prefill)
	s.duration = cost * e.settings.TimeScale * slow
	return s
}

// admit moves requests from the head of the queue to the batch. A request that
// does not fit blocks the requests behind it. admit reports whether starting a
// request must crash the engine.
func (e *Engine) admit() (crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) > 0 && len(e.batch) < e.settings.BatchLimit && !crash {
		q := e.queue[0]
		if e.reservedTokens+q.kvTokens() > e.settings.CacheTokens {
			break
		}
		e.queue = e.queue[1:]
		e.startSequence(q)
		crash = e.process.ConsumeCrashFault(q.hasCrashMarker)
	}
	e.recordLoad()
	return crash
}

// startSequence moves a sequence to the batch. The caller must hold mu.
func (e *Engine) startSequence(q *sequence) {
	q.phase = running
	q.executionNumber = e.executions.Start(q.execution)
	q.cachedTokens = e.cache.lookup(q.blocks) * basilmoor.PrefixBlockTokens
	// The last prompt token is always computed, because computing it produces
	// the first output token.
	q.cachedTokens = max(min(q.cachedTokens, q.promptTokens-1), 0)
	q.prefilledTokens = q.cachedTokens
	e.batch = append(e.batch, q)
	e.reservedTokens += q.kvTokens()
	e.stats.Admitted++
	e.stats.CachedTokens += q.cachedTokens
	e.stats.PeakBatch = max(e.stats.PeakBatch, len(e.batch))
	e.stats.PeakTokens = max(e.stats.PeakTokens, e.reservedTokens)
	q.notify()
}

// applyStep updates the sequences of a completed step. It skips sequences that
// ended during the step, and ignores the step if the engine crashed.
func (e *Engine) applyStep(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.epoch != e.epoch {
		return
	}
	e.stats.Steps++
	for _, p := range s.parts {
		if p.sequence.phase == running {
			e.advanceSequence(p)
		}
	}
	e.recordLoad()
}

// advanceSequence applies the work of one step to a sequence. The caller must
// hold mu.
func (e *Engine) advanceSequence(p sequenceStep) {
	q := p.sequence
	q.prefilledTokens += p.prefill
	e.stats.PrefillTokens += p.prefill
	if !p.emitsToken {
		return
	}
	if q.generatedTokens == 0 {
		e.cacheBlocks(q.blocks)
	}
	q.generatedTokens++
	e.stats.OutputTokens++
	if q.generatedTokens < q.outputTokens {
		q.notify()
		return
	}
	e.removeSequence(q)
	e.endSequence(q, finished)
}

// cacheBlocks adds blocks to the prefix cache and logs the resulting cache
// events. The caller must hold mu.
func (e *Engine) cacheBlocks(blocks []uint64) {
	stored, evicted := e.cache.insert(blocks)
	for _, b := range evicted {
		e.events.add(EventEvicted, b)
	}
	for _, b := range stored {
		e.events.add(EventStored, b)
	}
}
