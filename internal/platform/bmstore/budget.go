package bmstore

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// ErrBudget tells that a call was not sent because the call budget would not
// have allowed it within the call's time limit.
var ErrBudget = errors.New("call budget exhausted")

// bucket is a token bucket. Its unit is a thousandth of a token, so that it
// gains perSecond units each millisecond.
type bucket struct {
	clock     basilmoor.Clock
	perSecond int64

	mu      sync.Mutex
	units   int64 // negative while callers wait for tokens that they reserved
	updated basilmoor.Millis
}

const unitsPerToken = 1000

func newBucket(clock basilmoor.Clock, perSecond int) *bucket {
	return &bucket{
		clock:     clock,
		perSecond: int64(perSecond),
		units:     int64(perSecond) * unitsPerToken,
		updated:   clock.Now(),
	}
}

// take waits for a token, for at most limit milliseconds. It returns ErrBudget
// at once, and reserves nothing, if the wait would be longer.
func (b *bucket) take(ctx context.Context, limit basilmoor.Millis) error {
	wait, ok := b.reserve(limit)
	if !ok {
		return ErrBudget
	}
	if wait == 0 {
		return nil
	}
	return b.clock.Sleep(ctx, wait)
}

func (b *bucket) reserve(limit basilmoor.Millis) (basilmoor.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	gained := int64(now-b.updated) * b.perSecond
	b.units = min(b.units+gained, b.perSecond*unitsPerToken)
	b.updated = now
	left := b.units - unitsPerToken
	if left >= 0 {
		b.units = left
		return 0, true
	}
	wait := basilmoor.Millis((-left + b.perSecond - 1) / b.perSecond)
	if wait >= limit {
		return 0, false
	}
	b.units = left
	return wait, true
}
