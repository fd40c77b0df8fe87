package bmbroker

import (
	"hash/fnv"

	"basilmoor.example/basilmoor"
)

const (
	// drainWindow is the period over which the rate of finished tokens is
	// measured.
	drainWindow = 2 * basilmoor.Second

	minRetryAfter = basilmoor.Second
	maxRetryAfter = basilmoor.Minute
)

// drainRate measures the tokens that the pool finishes per millisecond.
type drainRate struct {
	since  basilmoor.Millis
	tokens int
	rate   float64
}

func (r *drainRate) finished(now basilmoor.Millis, tokens int) {
	if now-r.since >= drainWindow {
		r.rate = float64(r.tokens) / float64(now-r.since)
		r.since = now
		r.tokens = 0
	}
	r.tokens += tokens
}

// retryAfter estimates when the given waiting tokens will be done. A jitter of
// a quarter by the request's id keeps refused callers from coming back at the
// same instant.
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
