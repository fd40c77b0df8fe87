package bmgateway

import (
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// observer passes what is seen of one attempt to its permit, in order. The
// dispatcher reports from several goroutines.
type observer struct {
	clock  basilmoor.Clock
	permit basilmoor.Permit

	mu         sync.Mutex
	since      basilmoor.Millis // dispatch, or grant before it
	dispatched bool
	ended      bool
}

func newObserver(clock basilmoor.Clock, p basilmoor.Permit) *observer {
	return &observer{
		clock:  clock,
		permit: p,
		since:  clock.Now(),
	}
}

// progress reports a stage before the last one.
func (o *observer) progress(p bmdispatch.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	if !o.dispatched {
		o.dispatched = true
		o.since = o.clock.Now()
		o.send(basilmoor.StageDispatched, 0, 0)
	}
	if p.Stage != basilmoor.StageDispatched {
		o.send(p.Stage, p.Tokens, p.Cached)
	}
}

// end reports the last stage.
func (o *observer) end(stage basilmoor.Stage, tokens, cached int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	o.ended = true
	o.send(stage, tokens, cached)
}

func (o *observer) send(stage basilmoor.Stage, tokens, cached int) {
	o.permit.Observe(basilmoor.Observation{
		Stage:        stage,
		Tokens:       tokens,
		Elapsed:      o.clock.Now() - o.since,
		CachedTokens: cached,
	})
}
