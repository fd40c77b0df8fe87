package bmgateway

import (
	"context"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

const (
	// maxPendingRecords bounds what is kept while the store is unavailable; at
	// 16 KiB each, 32 MiB.
	maxPendingRecords = 2048
	recordPause       = 500 * basilmoor.Millis(1)
	// recordFor ends the attempts when the claim has expired anyway.
	recordFor = 15 * basilmoor.Minute
)

// recorder makes the ends of claims durable after their callers got their
// responses. Records are made concurrently, so that they share group commits.
type recorder struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	closed  bool
	pending int
	waiting []chan struct{} // closed when nothing is pending
	wg      sync.WaitGroup
}

func newRecorder(cfg Config) *recorder {
	r := &recorder{
		cfg: cfg,
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// add records c in the background. When too many are pending it is dropped:
// repeats then see the claim as running until it expires.
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
	defer r.ended()
	until := r.cfg.Clock.Now() + recordFor
	for r.cfg.Clock.Now() < until {
		if r.once(c) == nil {
			return
		}
		r.cfg.Metrics.Add("claims.record-retries", 1)
		if r.cfg.Clock.Sleep(r.ctx, recordPause) != nil {
			return
		}
	}
}

func (r *recorder) once(c basilmoor.ClaimRecord) error {
	ctx, cancel := bmclock.WithTimeout(r.ctx, r.cfg.Clock, claimBound)
	defer cancel()
	return r.cfg.Claimer.Record(ctx, c)
}

func (r *recorder) ended() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	if r.pending > 0 {
		return
	}
	for _, ch := range r.waiting {
		close(ch)
	}
	r.waiting = nil
}

// flush waits until nothing is pending.
func (r *recorder) flush(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.settled():
		return nil
	}
}

func (r *recorder) settled() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := make(chan struct{})
	if r.pending == 0 {
		close(ch)
		return ch
	}
	r.waiting = append(r.waiting, ch)
	return ch
}

func (r *recorder) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
}
