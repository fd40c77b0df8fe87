package bmstore

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// ErrBudgetExhausted reports that a call was not sent because the call budget
// would not have permitted it within Settings.Timeout.
var ErrBudgetExhausted = errors.New("call budget exhausted")

// tokenBucket is a token bucket that counts in thousandths of a token, so that
// it gains tokensPerSecond units per millisecond.
type tokenBucket struct {
	clock           basilmoor.Clock
	tokensPerSecond int64

	mu      sync.Mutex
	units   int64 // negative while callers wait for reserved tokens
	updated basilmoor.Millis
}

const unitsPerToken = 1000

func newTokenBucket(clock basilmoor.Clock, tokensPerSecond int) *tokenBucket {
	return &tokenBucket{
		clock:           clock,
		tokensPerSecond: int64(tokensPerSecond),
		units:           int64(tokensPerSecond) * unitsPerToken,
		updated:         clock.Now(),
	}
}

// take takes a token and waits until it is available. If the wait would take
// limit milliseconds or longer, it reserves nothing and returns ErrBudgetExhausted
// immediately.
func (b *tokenBucket) take(ctx context.Context, limit basilmoor.Millis) error {
	wait, ok := b.reserve(limit)
	if !ok {
		return ErrBudgetExhausted
	}
	if wait == 0 {
		return nil
	}
	return b.clock.Sleep(ctx, wait)
}

// reserve reserves a token and returns the time until it is available. It
// returns false and reserves nothing if that is limit or longer.
func (b *tokenBucket) reserve(limit basilmoor.Millis) (basilmoor.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	gained := int64(now-b.updated) * b.tokensPerSecond
	b.units = min(b.units+gained, b.tokensPerSecond*unitsPerToken)
	b.updated = now
	remaining := b.units - unitsPerToken
	if remaining >= 0 {
		b.units = remaining
		return 0, true
	}
	wait := basilmoor.Millis((-remaining + b.tokensPerSecond - 1) / b.tokensPerSecond)
	if wait >= limit {
		return 0, false
	}
	b.units = remaining
	return wait, true
}
