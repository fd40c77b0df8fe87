package bmentry

import (
	"sync"

	"basilmoor.example/basilmoor"
)

// RetryBudget bounds the requests that this host sends more than once, by
// pool: a share of the requests of a sliding window, and this host's part of
// the slack that all hosts have together. It is safe for concurrent use.
type RetryBudget struct {
	clock  basilmoor.Clock
	ratio  float64
	window basilmoor.Millis

	mu    sync.Mutex
	slack float64
	pools map[string]*retryWindow
}

// retryWindow holds the instants of the last window.
type retryWindow struct {
	requests []basilmoor.Millis
	retries  []basilmoor.Millis
}

// NewRetryBudget returns a budget that allows ratio retries for each request
// of a window.
func NewRetryBudget(clock basilmoor.Clock, ratio float64, window basilmoor.Millis) *RetryBudget {
	return &RetryBudget{
		clock:  clock,
		ratio:  ratio,
		window: window,
		pools:  map[string]*retryWindow{},
	}
}

// SetSlack sets this host's part of the slack.
func (b *RetryBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// Request counts the first send of a request.
func (b *RetryBudget) Request(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pool(pool)
	w.requests = append(w.requests, b.clock.Now())
}

// Retry reports whether a request may be sent once more, and counts that.
func (b *RetryBudget) Retry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pool(pool)
	if float64(len(w.retries))+1 > b.ratio*float64(len(w.requests))+b.slack {
		return false
	}
	w.retries = append(w.retries, b.clock.Now())
	return true
}

// pool returns the window of a pool without what is over.
func (b *RetryBudget) pool(name string) *retryWindow {
	w, ok := b.pools[name]
	if !ok {
		w = &retryWindow{}
		b.pools[name] = w
	}
	since := b.clock.Now() - b.window
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
