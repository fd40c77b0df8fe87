package bmentry

import (
	"sync"

	"basilmoor.example/basilmoor"
)

// RetryLimiter bounds the requests that this host sends more than once, by
// pool: a share of the requests of a sliding window, and this host's part of
// the slack that all hosts have together. It is safe for concurrent use.
type RetryLimiter struct {
	clock  basilmoor.Clock
	ratio  float64
	window basilmoor.Millis

	mu    sync.Mutex
	slack float64
	pools map[string]*poolRetries
}

// poolRetries holds the instants of the last window.
type poolRetries struct {
	requests []basilmoor.Millis
	retries  []basilmoor.Millis
}

// NewRetryLimiter returns a limiter that allows ratio retries for each request
// of a window.
func NewRetryLimiter(clock basilmoor.Clock, ratio float64, window basilmoor.Millis) *RetryLimiter {
	return &RetryLimiter{
		clock:  clock,
		ratio:  ratio,
		window: window,
		pools:  map[string]*poolRetries{},
	}
}

// SetSlack sets this host's part of the slack.
func (l *RetryLimiter) SetSlack(slack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slack = slack
}

// Request counts the first send of a request.
func (l *RetryLimiter) Request(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.pool(pool)
	w.requests = append(w.requests, l.clock.Now())
}

// Retry reports whether a request may be sent once more, and counts that.
func (l *RetryLimiter) Retry(pool string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.pool(pool)
	if float64(len(w.retries))+1 > l.ratio*float64(len(w.requests))+l.slack {
		return false
	}
	w.retries = append(w.retries, l.clock.Now())
	return true
}

// pool returns the window of a pool without what is over.
func (l *RetryLimiter) pool(name string) *poolRetries {
	w, ok := l.pools[name]
	if !ok {
		w = &poolRetries{}
		l.pools[name] = w
	}
	since := l.clock.Now() - l.window
	w.requests = after(w.requests, since)
	w.retries = after(w.retries, since)
	return w
}

func after(instants []basilmoor.Millis, since basilmoor.Millis) []basilmoor.Millis {
	n := 0
	for n < len(instants) && instants[n] <= since {
		n++
	}
	return instants[n:]
}
