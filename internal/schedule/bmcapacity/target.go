package bmcapacity

import (
	"basilmoor.example/basilmoor"
)

const (
	// averageWeight is the weight of a sample over more than shortSample in
	// the current speed. It contains steps that were longer because of other
	// requests' prompts, which a short sample from a Sampler does not.
	averageWeight = 0.05
	shortSample   = basilmoor.Second

	// steadyPeriod is the time in which the long-run speed follows a change.
	// Moments of slowness last a few seconds.
	steadyPeriod = 20 * basilmoor.Second

	// prefillWeight is the weight of a new sample in the time per prompt
	// token, and minPrefillSample the prompt tokens that a sample must have.
	prefillWeight    = 0.1
	minPrefillSample = 256

	// A first token that comes later than queuedFactor times the expected time
	// plus queuedMargin milliseconds means that the request waited in the
	// target's own queue. The bounds are wide, because another request's long
	// prompt delays a first token as well.
	queuedFactor = 2.0
	queuedMargin = 200.0

	// limitRaise is what a request without such a wait adds to the limit.
	// A wrongly lowered limit costs more than a few waits in the queue.
	limitRaise = 1.0

	// memoryShare is the share of an engine's KV cache up to which estimated
	// tokens in flight are granted.
	memoryShare = 0.95
)

// Times between attempts to reach a target that refuses connections. The
// longest one bounds how long a revived target stays idle.
const (
	firstRetry   basilmoor.Millis = 100
	lastRetry    basilmoor.Millis = 1000
	maxDoublings                  = 8
)

// target is the learned state of one target.
type target struct {
	spec    basilmoor.Target
	listed  bool
	flights map[basilmoor.RequestID]*flight
	tokens  int // estimated tokens in flight
	backlog int // uncached prompt tokens without a first token

	limit   float64          // learned bound of requests in flight
	lowered basilmoor.Millis // when the limit was lowered
	pace    float64          // recent milliseconds between tokens, 0 if unknown
	steady  float64          // long-run milliseconds between tokens, 0 if unknown
	prefill float64          // milliseconds per uncached prompt token, 0 if unknown
	sampled basilmoor.Millis

	reduced  bool
	prefixes *prefixCache

	refusals int              // connections refused since the last dispatch
	retryAt  basilmoor.Millis // when the next one may be tried

	report   basilmoor.LoadReport
	reported basilmoor.Millis // when the measurement was taken
	hasLoad  bool
}

func newTarget(spec basilmoor.Target) *target {
	return &target{
		spec:     spec,
		listed:   true,
		flights:  map[basilmoor.RequestID]*flight{},
		limit:    float64(max(spec.Slots, 1)),
		prefixes: newPrefixCache(spec.CacheTokens),
	}
}

func (t *target) update(spec basilmoor.Target) {
	if spec.Slots != t.spec.Slots {
		t.limit = float64(max(spec.Slots, 1))
	}
	if spec.CacheTokens != t.spec.CacheTokens {
		t.prefixes.resize(spec.CacheTokens)
	}
	t.spec = spec
	t.listed = true
}

// slots is the number of requests that the target may have in flight now.
func (t *target) slots(cfg Config) int {
	slots := int(t.limit)
	if t.reduced {
		slots = int(float64(t.spec.Slots) * cfg.ReducedSlotsShare)
	}
	return max(slots, 1)
}

// free tells whether a slot can be granted. The condition does not depend on
// the size of the demand: otherwise small demands of a low tier would take the
// memory that a large one of a higher tier waits for.
func (t *target) free(cfg Config) bool {
	if !t.listed || t.spec.Leaving {
		return false
	}
	if len(t.flights) >= t.slots(cfg) {
		return false
	}
	return t.spec.CacheTokens == 0 || float64(t.tokens) < memoryShare*float64(t.spec.CacheTokens)
}

// refuse notes that the target did not accept a connection.
func (t *target) refuse(now basilmoor.Millis) {
	t.refusals++
	t.retryAt = now + min(firstRetry<<min(t.refusals-1, maxDoublings), lastRetry)
}

// accepts tells whether the target may be tried. After a refused connection
// one request at a time tries it: a target that died has all its slots free
// and would draw every waiting demand.
func (t *target) accepts(now basilmoor.Millis) bool {
	if t.refusals == 0 {
		return true
	}
	if now < t.retryAt {
		return false
	}
	for _, f := range t.flights {
		if !f.dispatched {
			return false
		}
	}
	return true
}

func (t *target) add(f *flight) {
	f.target = t
	t.flights[f.demand.Request] = f
	t.tokens += f.demand.Tokens()
	if !f.streaming {
		t.backlog += f.uncached
	}
}

func (t *target) remove(f *flight) {
	delete(t.flights, f.demand.Request)
	t.tokens -= f.demand.Tokens()
	if !f.streaming {
		t.backlog -= f.uncached
	}
}

// firstToken learns from the time to first token of f.
func (t *target) firstToken(now basilmoor.Millis, f *flight, tokens int, elapsed basilmoor.Millis) {
	if f.streaming {
		return
	}
	f.streaming = true
	t.backlog -= f.uncached
	f.tokens = max(tokens, 1)
	f.elapsed = elapsed
	t.sampled = max(t.sampled, now)
	t.learnLimit(now, f, float64(elapsed))
	t.learnPrefill(f, float64(elapsed))
}

// learnLimit lowers the bound of requests in flight when a request that filled
// it waited in the target's own queue, and raises it again when one did not.
func (t *target) learnLimit(now basilmoor.Millis, f *flight, elapsed float64) {
	if f.rank < int(t.limit) || t.reduced || t.pace == 0 || t.prefill == 0 {
		return
	}
	expected := t.pace + t.prefill*float64(f.ahead)
	if elapsed <= queuedFactor*expected+queuedMargin {
		t.limit = min(t.limit+limitRaise, float64(max(t.spec.Slots, 1)))
		return
	}
	if now-t.lowered >= basilmoor.Second {
		t.lowered = now
		t.limit = max(t.limit-1, 1)
	}
}

// learnPrefill learns the time per prompt token. One step passes in any case;
// short prompts say nothing beyond it.
func (t *target) learnPrefill(f *flight, elapsed float64) {
	sample := (elapsed - t.pace) / float64(max(f.ahead, 1))
	if f.ahead < minPrefillSample || sample <= 0 {
		return
	}
	t.prefill = blend(t.prefill, sample, prefillWeight)
}

// progress learns from the tokens since the last report of f.
func (t *target) progress(now basilmoor.Millis, f *flight, tokens int, elapsed basilmoor.Millis) {
	if tokens <= f.tokens || elapsed <= f.elapsed {
		return
	}
	sample := float64(elapsed-f.elapsed) / float64(tokens-f.tokens)
	short := elapsed-f.elapsed <= shortSample
	f.tokens = tokens
	f.elapsed = elapsed
	t.sampled = now
	if !short {
		t.pace = blend(t.pace, sample, averageWeight)
		return
	}
	t.pace = sample
}

func blend(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
