package bmgateway

import (
	"context"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

const (
	// maxPendingRecords limits the records kept in memory while the store is
	// unavailable: 32 MiB at 16 KiB each.
	maxPendingRecords   = 2048
	recordRetryInterval = 500 * basilmoor.Millis(1)
	// recordTimeout is the time after which the claim has expired and recording
	// its result is pointless.
	recordTimeout = 15 * basilmoor.Minute
)

// recorder records the results of claims in the background, so that callers
// don't wait for the store. It runs the calls concurrently, so that they share
// group commits.
type recorder struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	closed       bool
	pending      int
	flushWaiters []chan struct{} // closed when no record is pending
	wg           sync.WaitGroup
}

func newRecorder(cfg Config) *recorder {
	r := &recorder{
		cfg: cfg,
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// add records c in the background. It drops c if maxPendingRecords are pending or
// the recorder is closed: repeats then see the claim as running until it expires.
func (r *recorder) add(c basilmoor.ClaimRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.pending >= maxPendingRecords {
		r.cfg.Metrics.Add("claims.records-dropped", 1)
		return
	}
	r.pending++
	r.wg.Add(1)
	go r.run(c)
}

func (r *recorder) run(c basilmoor.ClaimRecord) {
	defer r.wg.Done()
	defer r.recordFinished()
	until := r.cfg.Clock.Now() + recordTimeout
	for r.cfg.Clock.Now() < until {
		if r.recordOnce(c) == nil {
			return
		}
		r.cfg.Metrics.Add("claims.record-retries", 1)
		if r.cfg.Clock.Sleep(r.ctx, recordRetryInterval) != nil {
			return
		}
	}
}

func (r *recorder) recordOnce(c basilmoor.ClaimRecord) error {
	ctx, cancel := bmclock.WithTimeout(r.ctx, r.cfg.Clock, claimTimeout)
	defer cancel()
	return r.cfg.Claimer.Record(ctx, c)
}

func (r *recorder) recordFinished() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	if r.pending > 0 {
		return
	}
	for _, ch := range r.flushWaiters {
		close(ch)
	}
	r.flushWaiters = nil
}

// flush waits until no record is pending or ctx is done.
func (r *recorder) flush(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.drained():
		return nil
	}
}

// drained returns a channel that is closed when no record is pending.
func (r *recorder) drained() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := make(chan struct{})
	if r.pending == 0 {
		close(ch)
		return ch
	}
	r.flushWaiters = append(r.flushWaiters, ch)
	return ch
}

func (r *recorder) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
}
