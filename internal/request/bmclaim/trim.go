package bmclaim

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// trim deletes old segments, the oldest first and never the last one. It
// deletes at most trimBatch, and lets commits go on in between.
func (s *slot) trim(ctx context.Context) {
	for range trimBatch {
		if !s.trimOne(ctx) {
			return
		}
	}
}

// trimOne deletes the oldest segment if it is old; false if there is nothing
// more to delete.
func (s *slot) trimOne(ctx context.Context) bool {
	s.work.Lock()
	defer s.work.Unlock()
	if len(s.view.segments) < 2 {
		return false
	}
	idle := s.now()-s.used >= idleAge
	age := trimAge
	if idle {
		age += idleGrace
	}
	first := s.view.segments[0]
	if s.now()-first.seen < age {
		return false
	}
	err := s.committer.cfg.Store.Delete(ctx, segmentKey(s.number, first.sequence), first.version)
	var missing *basilmoor.NotFoundError
	gone := errors.As(err, &missing)
	if err != nil && !gone {
		return false
	}
	if gone && idle {
		s.forget()
		return false
	}
	s.view.drop()
	if gone {
		s.dropDeleted(ctx, age)
	}
	return true
}

// dropDeleted drops the old segments that another committer has deleted, with
// few reads instead of a deletion for each. Segments are deleted in their
// order, so that the ones that are left are the last ones.
func (s *slot) dropDeleted(ctx context.Context, age basilmoor.Millis) {
	old := 0
	for old < len(s.view.segments)-1 && s.now()-s.view.segments[old].seen >= age {
		old++
	}
	deleted := sort.Search(old, func(i int) bool {
		_, err := s.committer.cfg.Store.Get(ctx, segmentKey(s.number, s.view.segments[i].sequence))
		var missing *basilmoor.NotFoundError
		return !errors.As(err, &missing)
	})
	for range deleted {
		s.view.drop()
	}
}

// forget drops the view of a slot that another committer uses, so that this
// one does not repeat its deletions. The next commit reads the log again, as
// after a restart.
func (s *slot) forget() {
	s.view = newView(s.number)
	s.known = false
}
