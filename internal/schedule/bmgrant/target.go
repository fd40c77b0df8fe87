package bmgrant

import (
	"basilmoor.example/basilmoor"
)

const (
	// defaultTokenLatency is the time between two output tokens in ms that is
	// assumed while no target has a measured token latency.
	defaultTokenLatency = 7.0

	// defaultPrefillPerToken is the prefill time of one prompt token in ms at
	// defaultTokenLatency.
	defaultPrefillPerToken = 0.02

	// firstTokenBase is the part of the time to first token in ms that does
	// not depend on the prompt, at defaultTokenLatency.
	firstTokenBase = 60.0

	// tokenLatencyWeight is the weight of a new sample in the moving average of a
	// target's token latency.
	tokenLatencyWeight = 0.3

	// maxInitialSlowdown bounds the ratio of a target's token latency to the
	// fastest one when it is estimated from its first time to first token: the
	// request may have waited in the target's own queue.
	maxInitialSlowdown = 4.0

	// serviceTimeWeight is the weight of a new sample in the moving averages
	// of a plain service's token latency and of the service time of a kind.
	serviceTimeWeight = 0.1

	// minLatencyTokens is the least number of output tokens of a response that
	// counts as a sample of the token latency.
	minLatencyTokens = 8

	// fullLoadPenalty is the relative increase of the cost of a target whose
	// slots are all taken; it grows linearly with the slots in use.
	fullLoadPenalty = 0.3

	// remotePenalty is the relative increase of the cost of a target in
	// another data centre.
	remotePenalty = 0.05

	// minRetryBackoff is how long a target gets no grants after a failure. The
	// time doubles with each consecutive failure up to maxRetryBackoff.
	minRetryBackoff basilmoor.Millis = 300
	maxRetryBackoff basilmoor.Millis = 2400

	// grantTTL is the longest time between a grant and the dispatch of the
	// request.
	grantTTL = basilmoor.Second
)

// grantedRequest is a request that holds a slot.
type grantedRequest struct {
	demand      basilmoor.Demand
	incarnation string // of the target when the slot was granted
	grantedAt   basilmoor.Millis
	dispatched  bool
	firstToken  basilmoor.Millis // time to first token; 0 until it is reported

	// From its grant until it is settled, the death of its target blames the request.
	// It is settled by an answer, by such a death, or when it has ended without either
	// for settleTime. A trial that takes too long is counted no longer, so that the
	// next one may start, but can still be blamed.
	onTrial    bool // granted while the quarantine limited it
	counted    bool // counted by the quarantine as in progress with its keys
	ended      bool // its slot is free, and it is in Pool.ended
	settled    bool // the death of the target no longer blames it
	targetDied bool // known from the report of some request

	// expectedFirst is the time from the grant to the first token that was
	// expected of the fastest target, and expectedHold that to the end which
	// was expected of this one; 0 if another broker granted the request.
	expectedFirst basilmoor.Millis
	expectedHold  basilmoor.Millis

	// longestEvent is the longest time in ms that an event of the stream was
	// expected to take beside the prompts granted later; 0 without any.
	longestEvent float64

	sample rolloutSample // of a pool that moves to another version
}

// target is the state of one target in a pool.
type target struct {
	spec                basilmoor.Target
	inFlight            map[basilmoor.RequestID]*grantedRequest
	tokenLatency        float64 // average ms between output tokens; 0 if unknown
	backlog             int     // prompt tokens of the requests that wait for their first token
	consecutiveFailures int
	retryAt             basilmoor.Millis // no grants before this time after a failure
}

func newTarget(spec basilmoor.Target) *target {
	return &target{
		spec:     spec,
		inFlight: map[basilmoor.RequestID]*grantedRequest{},
	}
}

// free reports whether the target can be granted one more request.
func (t *target) free(now basilmoor.Millis) bool {
	if t.spec.Leaving || len(t.inFlight) >= t.spec.Slots {
		return false
	}
	if t.consecutiveFailures == 0 {
		return true
	}
	// After a failure, the target gets one request at a time until it responds
	// to one.
	return now >= t.retryAt && len(t.inFlight) == 0
}

// recordFailure starts or extends the backoff after a request could not reach
// the target or failed on it.
func (t *target) recordFailure(now basilmoor.Millis) {
	pause := min(minRetryBackoff<<min(t.consecutiveFailures, 3), maxRetryBackoff)
	t.consecutiveFailures++
	t.retryAt = now + pause
}

// observeTokenLatency updates the token latency with the tokens and time of a
// finished response.
func (t *target) observeTokenLatency(r *grantedRequest, tokens int, elapsed basilmoor.Millis) {
	if r.firstToken == 0 || tokens < minLatencyTokens || elapsed <= r.firstToken {
		return
	}
	sample := float64(elapsed-r.firstToken) / float64(tokens)
	if t.tokenLatency == 0 {
		t.tokenLatency = sample
		return
	}
	t.tokenLatency += tokenLatencyWeight * (sample - t.tokenLatency)
}

// updateTokenLatency adds a sample to the token latency of a plain service.
func (t *target) updateTokenLatency(sample float64) {
	if t.tokenLatency == 0 {
		t.tokenLatency = sample
		return
	}
	t.tokenLatency += serviceTimeWeight * (sample - t.tokenLatency)
}

// estimateTokenLatency estimates the token latency of a target without one from
// its first time to first token, relative to the time expected at the lowest
// token latency.
func (t *target) estimateTokenLatency(first basilmoor.Millis, fastest float64) {
	if t.tokenLatency > 0 {
		return
	}
	expected := timeToFirstToken(fastest, t.backlog)
	t.tokenLatency = fastest * min(max(float64(first)/float64(max(expected, 1)), 1), maxInitialSlowdown)
}

func (t *target) add(r *grantedRequest) {
	r.incarnation = t.spec.Incarnation()
	t.inFlight[r.demand.Request] = r
	if r.firstToken == 0 {
		t.backlog += r.demand.PromptTokens
	}
}

func (t *target) remove(r *grantedRequest) {
	delete(t.inFlight, r.demand.Request)
	if r.firstToken == 0 {
		t.backlog -= r.demand.PromptTokens
	}
}
