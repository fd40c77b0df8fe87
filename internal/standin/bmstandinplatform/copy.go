package bmstandinplatform

import (
	"maps"
	"slices"
)

// Copy is the state of a store at one time.
type Copy struct {
	revision          int64
	items             map[string]item
	events            []item
	compactedRevision int64
	leases            map[int64]bool
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		revision:          s.revision,
		items:             maps.Clone(s.items),
		events:            slices.Clone(s.events),
		compactedRevision: s.compactedRevision,
		leases:            maps.Clone(s.leases),
	}
}

// Restore replaces the store by a copy: what was written since is lost, revisions and
// leases are given out again, waiting watches are cut, and the era rises by one.
// Operators and replicas have to write again what they had written.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = c.revision
	s.items = maps.Clone(c.items)
	s.events = slices.Clone(c.events)
	s.compactedRevision = c.compactedRevision
	s.leases = maps.Clone(c.leases)
	s.notifyWatches()
}
