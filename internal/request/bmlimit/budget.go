package bmlimit

import "sync"

// Defaults of the retry budget: one retry for five requests, and some at once
// when a target fails after a quiet time.
const (
	DefaultRetryPercent = 20
	DefaultRetryBurst   = 100
)

// RetryBudget bounds retries to a share of the requests, so that retries don't
// multiply the load while targets fail. It is safe for concurrent use.
type RetryBudget struct {
	percent int
	bound   int // hundredths of retries

	mu      sync.Mutex
	balance int // hundredths of retries
}

// NewRetryBudget returns a budget that allows percent retries for 100 requests
// and burst retries at once.
func NewRetryBudget(percent, burst int) *RetryBudget {
	return &RetryBudget{
		percent: percent,
		bound:   burst * 100,
		balance: burst * 100,
	}
}

// Deposit counts a request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.percent, b.bound)
}

// Withdraw reports whether a retry may be made, and counts it.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 100 {
		return false
	}
	b.balance -= 100
	return true
}
