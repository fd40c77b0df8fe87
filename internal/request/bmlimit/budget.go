package bmlimit

import "sync"

// Defaults of the retry budget: one retry per five requests, and a burst for
// when a target fails after a period of low load.
const (
	DefaultRetryPercent = 20
	DefaultRetryBurst   = 100
)

// RetryBudget limits retries to a percentage of the requests, so that they do
// not multiply the load while targets fail. It is safe for concurrent use.
type RetryBudget struct {
	percent    int
	maxBalance int // hundredths of retries

	mu      sync.Mutex
	balance int // hundredths of retries
}

// NewRetryBudget returns a full budget that allows percent retries per 100
// requests, and bursts of up to burst retries.
func NewRetryBudget(percent, burst int) *RetryBudget {
	return &RetryBudget{
		percent:    percent,
		maxBalance: burst * 100,
		balance:    burst * 100,
	}
}

// Deposit adds the share of one request to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.percent, b.maxBalance)
}

// Withdraw reports whether the budget allows a retry, and if so takes it from
// the budget.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 100 {
		return false
	}
	b.balance -= 100
	return true
}
