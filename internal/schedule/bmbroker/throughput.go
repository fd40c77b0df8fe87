package bmbroker

import (
	"hash/fnv"

	"basilmoor.example/basilmoor"
)

const (
	// drainWindow is the minimum period over which the throughput is measured.
	drainWindow = 2 * basilmoor.Second

	minRetryAfter = basilmoor.Second
	maxRetryAfter = basilmoor.Minute
)

// drainRate measures the throughput of the pool in finished tokens per
// millisecond.
type drainRate struct {
	windowStart basilmoor.Millis
	tokens      int
	rate        float64
}

// recordFinished adds the tokens of a finished request and updates the rate at the
// end of each window.
func (r *drainRate) recordFinished(now basilmoor.Millis, tokens int) {
	if now-r.windowStart >= drainWindow {
		r.rate = float64(r.tokens) / float64(now-r.windowStart)
		r.windowStart = now
		r.tokens = 0
	}
	r.tokens += tokens
}

// retryAfter estimates the time until the given number of waiting tokens is
// processed. A jitter of plus or minus a quarter, derived from the request ID,
// keeps refused callers from retrying at the same time.
func (r *drainRate) retryAfter(d basilmoor.Demand, waitingTokens int) basilmoor.Millis {
	wait := float64(minRetryAfter)
	if r.rate > 0 {
		wait += float64(waitingTokens) / r.rate
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(d.Request))
	jitter := 0.75 + 0.5*float64(h.Sum32()%1024)/1024
	return min(max(basilmoor.Millis(wait*jitter), minRetryAfter), maxRetryAfter)
}
