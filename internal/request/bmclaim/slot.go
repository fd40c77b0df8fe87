package bmclaim

import (
	"context"
	"crypto/rand"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

var (
	errConflict  = errors.New("segment was written by another committer")
	errQueueFull = errors.New("claim queue is full")
)

// slot queues the operations of one log and commits them in batches. The queue
// is shared; the remaining fields belong to the committing goroutine.
type slot struct {
	committer *Committer
	number    int

	mu         sync.Mutex
	queue      []*operation
	dueAt      basilmoor.Millis // when to commit the queue; undefined while the queue is empty
	running    bool
	dueEarlier chan struct{} // signaled when dueAt moves to an earlier time

	pacer pacer // limits the append rate

	commitMu   sync.Mutex // held while committing or trimming
	view       *view
	viewLoaded bool // whether view was read from the store
	// lastCommitAt is when the last commit started.
	lastCommitAt basilmoor.Millis
	// endConfirmedAt is a time at which the view is known to have ended where
	// the log ended.
	endConfirmedAt basilmoor.Millis
	// endCheckedAt is when the store was last checked for segments after the
	// view.
	endCheckedAt basilmoor.Millis
	// writeUncertain is set while an earlier write may still take effect. The
	// next segment is then written even if it is empty, so that the delayed
	// write fails.
	writeUncertain bool

	// memory holds claims that are not, or not yet known to be, in the view. It is
	// not guarded by commitMu.
	memory *memory
	// unverified holds the segments to look for in the next check of the log: the last
	// one that the check before has found, and those added to the view since.
	unverified segmentRefs
	// highestAtRead is the highest sequence number of which this host had heard when
	// the log was last read.
	highestAtRead int64
	// claimsLost is set while the log lacks claims that memory holds.
	claimsLost bool
	// consulted is set once the other hosts were asked what they remember, while
	// this host ranks first for the slot.
	consulted bool
}

func newSlot(c *Committer, number int) *slot {
	return &slot{
		committer:  c,
		number:     number,
		dueEarlier: make(chan struct{}, 1),
		view:       newView(number),
		memory:     newMemory(number),
		pacer: pacer{
			nextAppendAt: c.cfg.Clock.Now() - writeBurst*writeInterval,
		},
	}
}

// submit queues o and starts the slot's goroutine if it is not running.
func (s *slot) submit(o *operation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enqueue(o, s.now()); err != nil {
		return err
	}
	if s.running {
		return nil
	}
	if !s.committer.start(s) {
		s.queue = nil
		return errors.New("committer is closed")
	}
	s.running = true
	return nil
}

// enqueue adds o, which arrived at the given time, to the queue. It wakes the
// goroutine if o makes the next batch due earlier. The caller must hold mu.
func (s *slot) enqueue(o *operation, at basilmoor.Millis) error {
	if len(s.queue) >= maxQueuedOperations {
		return errQueueFull
	}
	due := at + claimWindow
	if o.record != nil {
		due = at + recordWindow
	}
	if len(s.queue) > 0 {
		due = min(due, s.dueAt)
	}
	o.queuedAt = at
	s.queue = append(s.queue, o)
	if len(s.queue) >= maxBatchEntries {
		due = min(due, at)
	}
	if due < s.dueAt || len(s.queue) == 1 {
		select {
		case s.dueEarlier <- struct{}{}:
		default:
		}
	}
	s.dueAt = due
	return nil
}

// run commits batches until the queue is empty.
func (s *slot) run() {
	defer s.committer.wg.Done()
	for {
		s.waitUntilDue()
		batch := s.takeBatch()
		if len(batch) == 0 {
			return
		}
		s.commitMu.Lock()
		s.commit(s.committer.ctx, batch)
		s.commitMu.Unlock()
	}
}

// waitUntilDue waits until the next batch is due and may be written, or until
// the committer is closed.
func (s *slot) waitUntilDue() {
	for {
		d := s.nextBatchAt() - s.now()
		if d <= 0 || !s.waitOrReschedule(d) {
			return
		}
	}
}

// nextBatchAt returns the earliest time at which the next batch is due and the
// pacer allows an append. For an empty queue it returns the current time, so
// that the slot's goroutine exits.
func (s *slot) nextBatchAt() basilmoor.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return s.now()
	}
	return max(s.dueAt, s.pacer.nextAppendAt)
}

// waitOrReschedule waits for d or until dueAt moves to an earlier time. It
// returns false if the committer is closed.
func (s *slot) waitOrReschedule(d basilmoor.Millis) bool {
	t := s.committer.cfg.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-s.dueEarlier:
	case <-s.committer.ctx.Done():
		return false
	}
	return true
}

// takeBatch removes the next batch from the queue. An empty batch tells the
// slot's goroutine to exit.
func (s *slot) takeBatch() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*operation
	size := 0
	for len(s.queue) > 0 && len(batch) < maxBatchEntries {
		o := s.queue[0]
		if len(batch) > 0 && size+o.size > maxBatchBytes {
			break
		}
		s.queue = s.queue[1:]
		if o.ctx.Err() != nil {
			o.reply(basilmoor.Claim{}, o.ctx.Err())
			continue
		}
		size += o.size
		batch = append(batch, o)
	}
	// The remaining operations did not fit into the batch and are due now.
	s.dueAt = s.now()
	s.running = len(batch) > 0
	return batch
}

// commit decides the operations of a batch and replies to them. It replies from
// the view where possible and appends a segment for the rest.
func (s *slot) commit(ctx context.Context, batch []*operation) {
	s.lastCommitAt = s.now()
	if err := s.consultPeers(ctx); err != nil {
		failBatch(batch, err)
		return
	}
	caughtUp := false // whether this commit has read other committers' segments
	for range maxCommitAttempts {
		if err := s.refreshView(ctx); err != nil {
			failBatch(batch, err)
			return
		}
		d := decide(s.view, s.memory, batch, s.committer.cfg.Live, s.now())
		stale := (d.needsFreshView && s.now()-s.endCheckedAt >= maxRunningViewAge) || (!caughtUp && (d.claimNotInView || s.mayLagBehind()))
		if stale {
			if err := s.catchUp(ctx); err != nil {
				failBatch(batch, err)
				return
			}
			caughtUp = true
			continue
		}
		if len(d.lost) > 0 {
			if err := s.appendSegment(ctx, fitSegment(d.lost)); err != nil && !errors.Is(err, errConflict) {
				failBatch(batch, err)
				return
			}
			continue
		}
		d.replySettled()
		batch = d.pending
		if len(d.entries) == 0 && !s.writeUncertain {
			d.replyPending()
			return
		}
		err := s.appendSegment(ctx, d.entries)
		if err == nil {
			d.replyPending()
			return
		}
		if !errors.Is(err, errConflict) {
			failBatch(batch, err)
			return
		}
	}
	failBatch(batch, errors.New("too many conflicts with other committers"))
}

// mayLagBehind reports whether the log may have segments after the view: this host has
// heard of one since it read the log.
func (s *slot) mayLagBehind() bool {
	highest := s.memory.highestSequence()
	return highest >= s.view.nextSequence() && highest > s.highestAtRead
}

func (s *slot) now() basilmoor.Millis {
	return s.committer.cfg.Clock.Now()
}

// refreshView reads the log again if the view is too old to be trusted.
func (s *slot) refreshView(ctx context.Context) error {
	if s.viewLoaded && s.now()-s.endConfirmedAt < viewTrustPeriod {
		return nil
	}
	return s.readLog(ctx)
}

// readLog lists the whole log and replaces the view.
func (s *slot) readLog(ctx context.Context) error {
	since := s.now()
	highest := s.memory.highestSequence()
	entries, err := s.committer.cfg.Store.List(ctx, slotPrefix(s.number))
	if err != nil {
		return err
	}
	v, err := buildView(s.number, entries, s.view, s.now())
	if err != nil {
		return err
	}
	s.adoptView(v)
	s.highestAtRead = highest
	s.endConfirmedAt = since
	s.endCheckedAt = since
	return nil
}

// catchUp applies the segments that other committers appended after the view.
func (s *slot) catchUp(ctx context.Context) error {
	for {
		since := s.now()
		err := s.applyNextSegment(ctx, s.view.nextSequence(), "")
		var missing *basilmoor.NotFoundError
		if errors.As(err, &missing) && s.mayLagBehind() {
			// The log may go on after a gap that a restoration has left.
			return s.readLog(ctx)
		}
		if errors.As(err, &missing) {
			s.confirmEnd(since)
			s.endCheckedAt = since
			return nil
		}
		if !errors.Is(err, errConflict) {
			return err
		}
		if !s.viewLoaded {
			return nil // the next refreshView reads the whole log
		}
	}
}

// confirmEnd records that the view ended where the log ended at the given time.
// It has no effect once the view is no longer trusted: a missing segment may
// then have been appended and already trimmed.
func (s *slot) confirmEnd(at basilmoor.Millis) {
	if s.now()-s.endConfirmedAt < viewTrustPeriod {
		s.endConfirmedAt = max(s.endConfirmedAt, at)
	}
}

// applyNextSegment reads segment n, which follows the view, and applies it. It
// returns errConflict if the segment is not the given batch, and a
// *NotFoundError if there is no such segment.
func (s *slot) applyNextSegment(ctx context.Context, n int64, batch string) error {
	e, err := s.committer.cfg.Store.Get(ctx, segmentKey(s.number, n))
	if err != nil {
		return err
	}
	seg, err := decodeSegment(e.Value)
	if err != nil {
		return err
	}
	if seg.Previous != s.view.lastBatch() {
		// Either the view or the segment is not part of the log.
		s.viewLoaded = false
		return errConflict
	}
	s.applySegment(n, e.Version, seg)
	if seg.Batch == batch {
		return nil
	}
	return errConflict
}

// applySegment adds the segment that follows the view to it.
func (s *slot) applySegment(sequence, version int64, seg segment) {
	s.view.apply(sequence, version, seg, s.now())
	s.unverified = append(s.unverified, s.lastSegment())
	s.memory.addSequence(sequence)
	s.writeUncertain = false
}

// lastSegment returns the last segment of the view, zero if it is empty.
func (s *slot) lastSegment() segmentRef {
	n := len(s.view.segments)
	if n == 0 {
		return segmentRef{}
	}
	last := s.view.segments[n-1]
	return segmentRef{
		sequence: last.sequence,
		batch:    last.batch,
		since:    s.now(),
	}
}

// appendSegment writes the entries as the next segment. If it returns nil, the
// segment is part of the log and of the view. If it returns errConflict, the
// view has changed or must be read again, and the batch must be evaluated again.
func (s *slot) appendSegment(ctx context.Context, entries []entry) error {
	if s.mayLagBehind() {
		if err := s.readLog(ctx); err != nil {
			return err
		}
		return errConflict
	}
	seg := segment{
		Schema:   segmentSchema,
		Batch:    rand.Text(),
		Previous: s.view.lastBatch(),
		Entries:  entries,
	}
	value, err := seg.encode()
	if err != nil {
		return err
	}
	since := s.now()
	if err := s.writeSegment(ctx, seg, value); err != nil {
		return err
	}
	s.committer.increment("claims.segments")
	if s.now()-s.endConfirmedAt >= viewTrustPeriod {
		return s.verifyAppended(ctx, seg.Batch)
	}
	s.endConfirmedAt = since
	s.endCheckedAt = since
	s.tellPeer(ctx, s.view.nextSequence()-1, seg)
	return nil
}

// writeSegment writes the segment. If the write returns an error, it reads the
// key back to learn the outcome. Retries carry the same batch and key, so the
// segment can't be written twice.
func (s *slot) writeSegment(ctx context.Context, seg segment, value []byte) error {
	n := max(s.view.nextSequence(), s.memory.highestSequence()+1)
	store := s.committer.cfg.Store
	var lastErr error
	for try := range maxAppendAttempts {
		if try > 0 && s.committer.cfg.Clock.Sleep(ctx, appendRetryDelay) != nil {
			break
		}
		s.pacer.countAppend(s.now())
		e, err := store.CompareAndSwap(ctx, segmentKey(s.number, n), 0, value, "")
		if err == nil {
			s.applySegment(n, e.Version, seg)
			return nil
		}
		s.writeUncertain = true
		lastErr = err
		err = s.applyNextSegment(ctx, n, seg.Batch)
		var missing *basilmoor.NotFoundError
		if errors.As(err, &missing) && isConflict(lastErr) {
			// The conflicting segment has since been trimmed, so the view is
			// out of date.
			s.viewLoaded = false
			return errConflict
		}
		if err == nil || errors.Is(err, errConflict) {
			return err
		}
	}
	return lastErr
}

func isConflict(err error) bool {
	var conflict *basilmoor.ConflictError
	return errors.As(err, &conflict)
}

// verifyAppended reads the log after a write that was based on an untrusted
// view, for example because the process was suspended before the write. If the
// segment took the place of a trimmed one, it is not part of the log and
// verifyAppended returns errConflict.
func (s *slot) verifyAppended(ctx context.Context, batch string) error {
	// What the view says of this segment must not be remembered: it may not be true.
	s.view = newView(s.number)
	s.viewLoaded = false
	s.unverified = nil
	if err := s.readLog(ctx); err != nil {
		return err
	}
	if s.view.containsBatch(batch) {
		return nil
	}
	s.committer.increment("claims.late-segments")
	return errConflict
}
