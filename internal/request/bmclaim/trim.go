package bmclaim

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// trim deletes up to trimBatch old segments, oldest first, and never the last
// one. It releases commitMu between deletions, so that commits can proceed.
func (s *slot) trim(ctx context.Context) {
	for range trimBatch {
		if !s.trimOne(ctx) {
			return
		}
	}
}

// trimOne deletes the oldest segment if it is old enough. It returns false if
// trimming should stop.
func (s *slot) trimOne(ctx context.Context) bool {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if len(s.view.segments) < 2 {
		return false
	}
	idle := s.now()-s.lastCommitAt >= slotIdleAge
	age := trimAge
	if idle {
		age += idleTrimDelay
	}
	first := s.view.segments[0]
	if s.now()-first.firstSeen < age {
		return false
	}
	err := s.committer.cfg.Store.Delete(ctx, segmentKey(s.number, first.sequence), first.version)
	var missing *basilmoor.NotFoundError
	gone := errors.As(err, &missing)
	if err != nil && !gone {
		return false
	}
	if gone && idle {
		s.discardView()
		return false
	}
	s.view.dropOldest()
	if gone {
		s.skipDeletedSegments(ctx, age)
	}
	return true
}

// skipDeletedSegments drops from the view the old segments that another
// committer has deleted. Segments are deleted in order, so a binary search finds
// the first remaining one with few reads, instead of one delete call for each.
func (s *slot) skipDeletedSegments(ctx context.Context, age basilmoor.Millis) {
	oldCount := 0
	for oldCount < len(s.view.segments)-1 && s.now()-s.view.segments[oldCount].firstSeen >= age {
		oldCount++
	}
	deleted := sort.Search(oldCount, func(i int) bool {
		_, err := s.committer.cfg.Store.Get(ctx, segmentKey(s.number, s.view.segments[i].sequence))
		var missing *basilmoor.NotFoundError
		return !errors.As(err, &missing)
	})
	for range deleted {
		s.view.dropOldest()
	}
}

// discardView discards the view of a slot that another committer uses, so that
// this committer does not repeat the other's deletions. The next commit reads
// the log again, as after a restart.
func (s *slot) discardView() {
	empty := newView(s.number)
	s.memory.addMissing(s.view, empty, s.now())
	s.view = empty
	s.viewLoaded = false
}
