package bmgateway

import (
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// attemptObserver reports the stages of one attempt to its permit, in order. It
// serializes the reports because the dispatcher makes them from several
// goroutines.
type attemptObserver struct {
	clock  basilmoor.Clock
	permit basilmoor.Permit

	mu         sync.Mutex
	startedAt  basilmoor.Millis // time of the dispatch, or of the grant until then
	dispatched bool
	ended      bool
}

func newAttemptObserver(clock basilmoor.Clock, p basilmoor.Permit) *attemptObserver {
	return &attemptObserver{
		clock:     clock,
		permit:    p,
		startedAt: clock.Now(),
	}
}

// progress reports a stage other than the last one.
func (o *attemptObserver) progress(p bmdispatch.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	if !o.dispatched {
		o.dispatched = true
		o.startedAt = o.clock.Now()
		o.observe(basilmoor.StageDispatched, 0, 0)
	}
	if p.Stage != basilmoor.StageDispatched {
		o.observe(p.Stage, p.Tokens, p.Cached)
	}
}

// finish reports the last stage. Later reports are ignored.
func (o *attemptObserver) finish(stage basilmoor.Stage, tokens, cached int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	o.ended = true
	o.observe(stage, tokens, cached)
}

func (o *attemptObserver) observe(stage basilmoor.Stage, tokens, cached int) {
	o.permit.Observe(basilmoor.Observation{
		Stage:        stage,
		Tokens:       tokens,
		Elapsed:      o.clock.Now() - o.startedAt,
		CachedTokens: cached,
	})
}
