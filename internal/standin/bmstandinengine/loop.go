package bmstandinengine

import (
	"basilmoor.example/basilmoor"
)

// maxCatchUp bounds how far the loop may hurry after a pause of the machine,
// so that a paused engine does not emit a burst of tokens.
const maxCatchUp = 100.0

// step is one iteration of the batch.
type step struct {
	epoch    int
	parts    []part
	duration float64 // milliseconds, scaled
}

// part is what one step does for one sequence.
type part struct {
	sequence *sequence
	prefill  int  // prompt tokens to compute
	emits    bool // gains a token at the end of the step
}

// run executes the batch step by step.
func (e *Engine) run() {
	defer close(e.done)
	p := &pacer{
		clock: e.clock,
	}
	p.reset()
	for e.life.Err() == nil {
		s := e.plan()
		if len(s.parts) == 0 {
			e.idle()
			p.reset()
			continue
		}
		if err := p.wait(e, s.duration); err != nil {
			return
		}
		e.apply(s)
	}
}

// idle waits for new work.
func (e *Engine) idle() {
	select {
	case <-e.wake:
	case <-e.life.Done():
	}
}

// pacer spaces steps on a clock of whole milliseconds so that fractions add up.
type pacer struct {
	clock basilmoor.Clock
	due   float64
}

// reset makes the next step start at the present instant.
func (p *pacer) reset() {
	p.due = float64(p.clock.Now())
}

func (p *pacer) wait(e *Engine, duration float64) error {
	now := float64(p.clock.Now())
	p.due = max(p.due, now-maxCatchUp) + duration
	if pause := basilmoor.Millis(p.due - now); pause >= 1 {
		return p.clock.Sleep(e.life, pause)
	}
	return e.life.Err()
}

// plan admits requests and returns the next step, which is empty if there is
// no work.
func (e *Engine) plan() step {
	slow := e.process.Slow()
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
		n := min(budget, q.prompt-q.prefilled)
		budget -= n
		prefill += n
		if n == 0 && q.prefilled == q.prompt {
			decoding++
		}
		s.parts = append(s.parts, part{
			sequence: q,
			prefill:  n,
			emits:    q.prefilled+n == q.prompt,
		})
	}
	cost := e.settings.StepMillis
	cost += e.settings.SequenceMillis * float64(decoding)
	cost += e.settings.PrefillMillis * float64(prefill)
	s.duration = cost * e.settings.TimeScale * slow
	return s
}

// admit moves requests from the head of the queue to the batch. A request that
// does not fit holds up those behind it. It reports whether the start of a
// request crashes the engine.
func (e *Engine) admit() (crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) > 0 && len(e.batch) < e.settings.BatchLimit && !crash {
		q := e.queue[0]
		if e.used+q.need() > e.settings.CacheTokens {
			break
		}
		e.queue = e.queue[1:]
		e.start(q)
		crash = e.process.TakeCrash(q.crashes)
	}
	e.record()
	return crash
}

func (e *Engine) start(q *sequence) {
	q.phase = running
	q.logged = e.executions.Start(q.execution)
	q.cached = e.cache.lookup(q.blocks) * basilmoor.PrefixBlockTokens
	// The last prompt token is always computed, since it yields the first
	// output token.
	q.cached = max(min(q.cached, q.prompt-1), 0)
	q.prefilled = q.cached
	e.batch = append(e.batch, q)
	e.used += q.need()
	e.stats.Admitted++
	e.stats.CachedTokens += q.cached
	e.stats.PeakBatch = max(e.stats.PeakBatch, len(e.batch))
	e.stats.PeakTokens = max(e.stats.PeakTokens, e.used)
	q.notify()
}

// apply gives each sequence of the step what it gained, unless the sequence
// ended meanwhile.
func (e *Engine) apply(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.epoch != e.epoch {
		return
	}
	e.stats.Steps++
	for _, p := range s.parts {
		if p.sequence.phase == running {
			e.advance(p)
		}
	}
	e.record()
}

func (e *Engine) advance(p part) {
	q := p.sequence
	q.prefilled += p.prefill
	e.stats.PrefillTokens += p.prefill
	if !p.emits {
		return
	}
	if q.generated == 0 {
		e.remember(q.blocks)
	}
	q.generated++
	e.stats.OutputTokens++
	if q.generated < q.output {
		q.notify()
		return
	}
	e.remove(q)
	e.end(q, finished)
}

// remember puts the blocks into the prefix cache and logs the cache events.
func (e *Engine) remember(blocks []uint64) {
	stored, evicted := e.cache.insert(blocks)
	for _, b := range evicted {
		e.events.add(EventEvicted, b)
	}
	for _, b := range stored {
		e.events.add(EventStored, b)
	}
}
