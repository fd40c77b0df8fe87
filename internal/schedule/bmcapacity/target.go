package bmcapacity

import (
	"basilmoor.example/basilmoor"
)

const (
	// longSampleWeight is the weight in tokenLatency of a sample that spans more
	// than maxShortSample. Such a sample includes steps that were longer because
	// of other requests' prompts, which a short sample from a Sampler does not.
	longSampleWeight = 0.05
	maxShortSample   = basilmoor.Second

	// longTermPeriod is the time constant of longTermLatency. It is longer than
	// transient slowness, which lasts a few seconds.
	longTermPeriod = 20 * basilmoor.Second

	// prefillWeight is the weight of a new sample in prefillPerToken.
	// minPrefillSample is the minimum number of prompt tokens of a sample.
	prefillWeight    = 0.1
	minPrefillSample = 256

	// If the first token takes longer than queuedFactor times the expected time
	// plus queuedMargin milliseconds, the request is assumed to have waited in
	// the target's own queue. The limits are wide, because a long prompt of
	// another request also delays the first token.
	queuedFactor = 2.0
	queuedMargin = 200.0

	// limitIncrement is added to learnedLimit for a request that did not wait in
	// the target's own queue. The limit rises quickly, because a limit that is
	// too low costs more than a few waits in that queue.
	limitIncrement = 1.0

	// maxCacheFill is the fraction of an engine's KV cache that the estimated
	// tokens in flight must reach for the target to count as full.
	maxCacheFill = 0.95
)

// Delays between attempts to reach a target that refuses connections. The maximum
// limits how long a recovered target stays idle.
const (
	minRetryDelay basilmoor.Millis = 100
	maxRetryDelay basilmoor.Millis = 1000
	maxDoublings                   = 8
)

// target is the tracked state of one target.
type target struct {
	spec           basilmoor.Target
	listed         bool
	reservations   map[basilmoor.RequestID]*reservation
	reservedTokens int // estimated tokens in flight
	promptBacklog  int // uncached prompt tokens of requests without a first token

	learnedLimit    float64 // current limit on requests in flight, unless reduced
	limitLoweredAt  basilmoor.Millis
	tokenLatency    float64 // recent inter-token latency in milliseconds, 0 if unknown
	longTermLatency float64 // long-term inter-token latency in milliseconds, 0 if unknown
	prefillPerToken float64 // milliseconds per uncached prompt token, 0 if unknown
	lastSample      basilmoor.Millis

	reduced  bool // slots are reduced because the target is a straggler
	prefixes *prefixCache

	refusals int              // refused connections since the last dispatch
	retryAt  basilmoor.Millis // when the next connection may be attempted

	report     basilmoor.LoadReport
	reportedAt basilmoor.Millis // when the load was measured
	hasReport  bool
}

func newTarget(spec basilmoor.Target) *target {
	return &target{
		spec:         spec,
		listed:       true,
		reservations: map[basilmoor.RequestID]*reservation{},
		learnedLimit: float64(max(spec.Slots, 1)),
		prefixes:     newPrefixCache(spec.CacheTokens),
	}
}

// update applies a changed specification to a target and marks it as listed.
func (t *target) update(spec basilmoor.Target) {
	if spec.Slots != t.spec.Slots {
		t.learnedLimit = float64(max(spec.Slots, 1))
	}
	if spec.CacheTokens != t.spec.CacheTokens {
		t.prefixes.resize(spec.CacheTokens)
	}
	t.spec = spec
	t.listed = true
}

// slots returns the current limit on requests in flight.
func (t *target) slots(cfg Config) int {
	slots := int(t.learnedLimit)
	if t.reduced {
		slots = int(float64(t.spec.Slots) * cfg.StragglerSlotFraction)
	}
	return max(slots, 1)
}

// hasFreeSlot reports whether a slot can be granted. The result does not depend on
// the size of a demand: otherwise small demands of a low tier would take the
// memory that a large demand of a higher tier is waiting for.
func (t *target) hasFreeSlot(cfg Config) bool {
	if !t.listed || t.spec.Leaving {
		return false
	}
	if len(t.reservations) >= t.slots(cfg) {
		return false
	}
	return t.spec.CacheTokens == 0 || float64(t.reservedTokens) < maxCacheFill*float64(t.spec.CacheTokens)
}

// connectionRefused records that the target did not accept a connection and delays
// the next attempt by exponential backoff.
func (t *target) connectionRefused(now basilmoor.Millis) {
	t.refusals++
	t.retryAt = now + min(minRetryDelay<<min(t.refusals-1, maxDoublings), maxRetryDelay)
}

// connectable reports whether a request may be sent to the target. After a refused
// connection, only one request at a time may probe it: a failed target has all
// its slots free and would attract every waiting demand.
func (t *target) connectable(now basilmoor.Millis) bool {
	if t.refusals == 0 {
		return true
	}
	if now < t.retryAt {
		return false
	}
	for _, r := range t.reservations {
		if !r.dispatched {
			return false
		}
	}
	return true
}

func (t *target) add(r *reservation) {
	r.target = t
	t.reservations[r.demand.Request] = r
	t.reservedTokens += r.demand.Tokens()
	if !r.streaming {
		t.promptBacklog += r.uncachedTokens
	}
}

func (t *target) remove(r *reservation) {
	delete(t.reservations, r.demand.Request)
	t.reservedTokens -= r.demand.Tokens()
	if !r.streaming {
		t.promptBacklog -= r.uncachedTokens
	}
}

// recordFirstToken updates the estimates from the time to first token of r.
func (t *target) recordFirstToken(now basilmoor.Millis, r *reservation, tokens int, elapsed basilmoor.Millis) {
	if r.streaming {
		return
	}
	r.streaming = true
	t.promptBacklog -= r.uncachedTokens
	r.tokens = max(tokens, 1)
	r.elapsed = elapsed
	t.lastSample = max(t.lastSample, now)
	t.learnLimit(now, r, float64(elapsed))
	t.learnPrefill(r, float64(elapsed))
}

// learnLimit lowers learnedLimit if a request that reached it waited in the
// target's own queue, at most once per second, and raises it if the request did
// not wait.
func (t *target) learnLimit(now basilmoor.Millis, r *reservation, elapsed float64) {
	if r.occupancy < int(t.learnedLimit) || t.reduced || t.tokenLatency == 0 || t.prefillPerToken == 0 {
		return
	}
	expected := t.tokenLatency + t.prefillPerToken*float64(r.promptAhead)
	if elapsed <= queuedFactor*expected+queuedMargin {
		t.learnedLimit = min(t.learnedLimit+limitIncrement, float64(max(t.spec.Slots, 1)))
		return
	}
	if now-t.limitLoweredAt >= basilmoor.Second {
		t.limitLoweredAt = now
		t.learnedLimit = max(t.learnedLimit-1, 1)
	}
}

// learnPrefill updates prefillPerToken. The time to first token always includes
// one decode step, which is subtracted. Short prompts are skipped, because the
// step dominates their time to first token.
func (t *target) learnPrefill(r *reservation, elapsed float64) {
	sample := (elapsed - t.tokenLatency) / float64(max(r.promptAhead, 1))
	if r.promptAhead < minPrefillSample || sample <= 0 {
		return
	}
	t.prefillPerToken = ewma(t.prefillPerToken, sample, prefillWeight)
}

// recordProgress updates tokenLatency from the tokens received since the last
// report on r.
func (t *target) recordProgress(now basilmoor.Millis, r *reservation, tokens int, elapsed basilmoor.Millis) {
	if tokens <= r.tokens || elapsed <= r.elapsed {
		return
	}
	sample := float64(elapsed-r.elapsed) / float64(tokens-r.tokens)
	short := elapsed-r.elapsed <= maxShortSample
	r.tokens = tokens
	r.elapsed = elapsed
	t.lastSample = now
	if !short {
		t.tokenLatency = ewma(t.tokenLatency, sample, longSampleWeight)
		return
	}
	t.tokenLatency = sample
}

// ewma returns the exponentially weighted moving average after a sample. An old
// value of 0 means that there is none yet.
func ewma(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
