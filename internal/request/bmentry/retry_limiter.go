package bmentry

import (
	"sync"

	"basilmoor.example/basilmoor"
)

// RetryLimiter bounds the retries that this host sends to each pool within a
// sliding window: a fixed ratio of the requests in the window plus this host's
// share of a slack that all hosts divide among them. It is safe for concurrent
// use.
type RetryLimiter struct {
	clock  basilmoor.Clock
	ratio  float64
	window basilmoor.Millis

	mu    sync.Mutex
	slack float64
	pools map[string]*poolWindow
}

// poolWindow holds the times of a pool's requests and retries in the window.
type poolWindow struct {
	requests []basilmoor.Millis
	retries  []basilmoor.Millis
}

// NewRetryLimiter returns a limiter that allows ratio retries per request in a
// window, with no slack.
func NewRetryLimiter(clock basilmoor.Clock, ratio float64, window basilmoor.Millis) *RetryLimiter {
	return &RetryLimiter{
		clock:  clock,
		ratio:  ratio,
		window: window,
		pools:  map[string]*poolWindow{},
	}
}

// SetSlack sets this host's share of the slack, in retries per window and pool.
func (l *RetryLimiter) SetSlack(slack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slack = slack
}

// RecordRequest records the first send of a request to a pool.
func (l *RetryLimiter) RecordRequest(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.currentWindow(pool)
	w.requests = append(w.requests, l.clock.Now())
}

// AllowRetry reports whether the budget of the pool allows one more retry, and
// if so records it.
func (l *RetryLimiter) AllowRetry(pool string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.currentWindow(pool)
	if float64(len(w.retries))+1 > l.ratio*float64(len(w.requests))+l.slack {
		return false
	}
	w.retries = append(w.retries, l.clock.Now())
	return true
}

// currentWindow returns the window of a pool after removing expired entries.
// The caller holds l.mu.
func (l *RetryLimiter) currentWindow(name string) *poolWindow {
	w, ok := l.pools[name]
	if !ok {
		w = &poolWindow{}
		l.pools[name] = w
	}
	start := l.clock.Now() - l.window
	w.requests = laterThan(w.requests, start)
	w.retries = laterThan(w.retries, start)
	return w
}

// laterThan returns the part of the sorted times that is later than since.
func laterThan(times []basilmoor.Millis, since basilmoor.Millis) []basilmoor.Millis {
	n := 0
	for n < len(times) && times[n] <= since {
		n++
	}
	return times[n:]
}
