package bmclaim

import (
	"context"
	"crypto/rand"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

var (
	errConflict = errors.New("another committer wrote the segment")
	errBusy     = errors.New("too many claims are waiting")
)

// slot commits the claims of one log. Its queue is shared; the other fields
// belong to the goroutine that commits.
type slot struct {
	committer *Committer
	number    int

	mu      sync.Mutex
	queue   []*operation
	due     basilmoor.Millis // when the queue is to be committed; without meaning while it is empty
	running bool
	earlier chan struct{} // receives when due has moved to an earlier instant

	pace pacer // of the appends

	work  sync.Mutex // held while committing or trimming
	view  *view
	known bool // the view was read from the store
	// used is the last instant at which a batch was committed.
	used basilmoor.Millis
	// trusted is an instant at which the view ended where the log ended.
	trusted basilmoor.Millis
	// checked is the last instant at which the end of the log was looked for.
	checked basilmoor.Millis
	// dirty means that a write may still be under way. The next segment is
	// written even if it is empty, so that the late write fails.
	dirty bool
}

func newSlot(c *Committer, number int) *slot {
	return &slot{
		committer: c,
		number:    number,
		earlier:   make(chan struct{}, 1),
		view:      newView(number),
		pace: pacer{
			next: c.cfg.Clock.Now() - writeBurst*writeInterval,
		},
	}
}

// submit queues o and starts the slot's goroutine if it does not run.
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

// enqueue queues o, which arrived at an instant, and wakes the goroutine if the
// next batch is due earlier now. The caller holds mu.
func (s *slot) enqueue(o *operation, at basilmoor.Millis) error {
	if len(s.queue) >= maxQueued {
		return errBusy
	}
	due := at + window
	if o.record != nil {
		due = at + recordWindow
	}
	if len(s.queue) > 0 {
		due = min(due, s.due)
	}
	o.arrived = at
	s.queue = append(s.queue, o)
	if len(s.queue) >= maxBatchEntries {
		due = min(due, at)
	}
	if due < s.due || len(s.queue) == 1 {
		select {
		case s.earlier <- struct{}{}:
		default:
		}
	}
	s.due = due
	return nil
}

// run commits batches until the queue is empty.
func (s *slot) run() {
	defer s.committer.wg.Done()
	for {
		s.collect()
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		s.work.Lock()
		s.commit(s.committer.ctx, batch)
		s.work.Unlock()
	}
}

// collect waits until the next batch is due.
func (s *slot) collect() {
	for {
		d := s.startAt() - s.now()
		if d <= 0 || !s.pause(d) {
			return
		}
	}
}

// startAt returns the instant at which the next batch is due and the slot may
// write. An empty queue is due at once, so that the goroutine ends.
func (s *slot) startAt() basilmoor.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return s.now()
	}
	return max(s.due, s.pace.next)
}

// pause waits for d or until the next batch is due earlier; false when the
// committer is closed.
func (s *slot) pause(d basilmoor.Millis) bool {
	t := s.committer.cfg.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-s.earlier:
	case <-s.committer.ctx.Done():
		return false
	}
	return true
}

// take removes the next batch from the queue. An empty batch ends the
// goroutine.
func (s *slot) take() []*operation {
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
			o.finish(basilmoor.Claim{}, o.ctx.Err())
			continue
		}
		size += o.size
		batch = append(batch, o)
	}
	// What is left did not fit into the batch and has waited long enough.
	s.due = s.now()
	s.running = len(batch) > 0
	return batch
}

// commit settles the operations: from the view where that is possible, else by
// a segment.
func (s *slot) commit(ctx context.Context, batch []*operation) {
	s.used = s.now()
	looked := false // for segments of other committers, in this commit
	for range decideTries {
		if err := s.refresh(ctx); err != nil {
			fail(batch, err)
			return
		}
		d := decide(s.view, batch, s.committer.cfg.Live, s.now())
		old := (d.weak && s.now()-s.checked >= freshMillis) || (d.unseen && !looked)
		if old {
			if err := s.catchUp(ctx); err != nil {
				fail(batch, err)
				return
			}
			looked = true
			continue
		}
		d.answer()
		batch = d.pending
		if len(d.entries) == 0 && !s.dirty {
			d.commit()
			return
		}
		err := s.append(ctx, d.entries)
		if err == nil {
			d.commit()
			return
		}
		if !errors.Is(err, errConflict) {
			fail(batch, err)
			return
		}
	}
	fail(batch, errors.New("lost against other committers"))
}

func (s *slot) now() basilmoor.Millis {
	return s.committer.cfg.Clock.Now()
}

// refresh reads the log if the view can't be trusted.
func (s *slot) refresh(ctx context.Context) error {
	if s.known && s.now()-s.trusted < trustMillis {
		return nil
	}
	return s.read(ctx)
}

// read replaces the view by the log as the store lists it.
func (s *slot) read(ctx context.Context) error {
	since := s.now()
	entries, err := s.committer.cfg.Store.List(ctx, slotPrefix(s.number))
	if err != nil {
		return err
	}
	v, err := build(s.number, entries, s.view, s.now())
	if err != nil {
		return err
	}
	s.view = v
	s.known = true
	s.trusted = since
	s.checked = since
	return nil
}

// catchUp reads the segments that other committers appended.
func (s *slot) catchUp(ctx context.Context) error {
	for {
		since := s.now()
		err := s.readNext(ctx, "")
		var missing *basilmoor.NotFoundError
		if errors.As(err, &missing) {
			s.confirm(since)
			s.checked = since
			return nil
		}
		if !errors.Is(err, errConflict) {
			return err
		}
		if !s.known {
			return nil // the next refresh reads the whole log
		}
	}
}

// confirm records that the view ended where the log ended at an instant. It
// does so only while the view is trusted: after that, a missing segment may be
// one that was appended and trimmed.
func (s *slot) confirm(at basilmoor.Millis) {
	if s.now()-s.trusted < trustMillis {
		s.trusted = max(s.trusted, at)
	}
}

// readNext reads the segment after the view and applies it. The error is
// errConflict if it is not the given batch, or a *NotFoundError.
func (s *slot) readNext(ctx context.Context, batch string) error {
	n := s.view.next()
	e, err := s.committer.cfg.Store.Get(ctx, segmentKey(s.number, n))
	if err != nil {
		return err
	}
	seg, err := decodeSegment(e.Value)
	if err != nil {
		return err
	}
	if seg.Previous != s.view.tail() {
		// The view is not a part of the log, or the segment is not.
		s.known = false
		return errConflict
	}
	s.view.apply(n, e.Version, seg, s.now())
	s.dirty = false
	if seg.Batch == batch {
		return nil
	}
	return errConflict
}

// append writes the entries as the next segment. A nil error means that the
// segment is part of the log and of the view; errConflict means that the view
// has changed and the entries must be decided again.
func (s *slot) append(ctx context.Context, entries []entry) error {
	seg := segment{
		Schema:   schema,
		Batch:    rand.Text(),
		Previous: s.view.tail(),
		Entries:  entries,
	}
	value, err := seg.encode()
	if err != nil {
		return err
	}
	since := s.now()
	if err := s.write(ctx, seg, value); err != nil {
		return err
	}
	s.committer.count("claims.segments")
	if s.now()-s.trusted < trustMillis {
		s.trusted = since
		s.checked = since
		return nil
	}
	return s.verify(ctx, seg.Batch)
}

// write writes the segment and settles a lost answer by reading it back. A
// repetition carries the same batch, so that it can't be written twice.
func (s *slot) write(ctx context.Context, seg segment, value []byte) error {
	n := s.view.next()
	store := s.committer.cfg.Store
	var last error
	for try := range appendTries {
		if try > 0 && s.committer.cfg.Clock.Sleep(ctx, appendPause) != nil {
			break
		}
		s.pace.spend(s.now())
		e, err := store.CompareAndSwap(ctx, segmentKey(s.number, n), 0, value, "")
		if err == nil {
			s.view.apply(n, e.Version, seg, s.now())
			s.dirty = false
			return nil
		}
		s.dirty = true
		last = err
		err = s.readNext(ctx, seg.Batch)
		var missing *basilmoor.NotFoundError
		if errors.As(err, &missing) && isConflict(last) {
			// The segment was there and has been trimmed: the view is old.
			s.known = false
			return errConflict
		}
		if err == nil || errors.Is(err, errConflict) {
			return err
		}
	}
	return last
}

func isConflict(err error) bool {
	var conflict *basilmoor.ConflictError
	return errors.As(err, &conflict)
}

// verify reads the log after a write that was made with an old view, for
// example because the process was stopped in between. The segment may be where
// a trimmed one was, and then it is not part of the log.
func (s *slot) verify(ctx context.Context, batch string) error {
	s.known = false
	if err := s.read(ctx); err != nil {
		return err
	}
	if s.view.holds(batch) {
		return nil
	}
	s.committer.count("claims.late-segments")
	return errConflict
}
