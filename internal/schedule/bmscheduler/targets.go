package bmscheduler

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// targetSource returns the targets of a pool and whether they differ from those
// of the last call.
type targetSource struct {
	pool    string
	catalog basilmoor.CatalogSource
	leaving func(target string) bool
	limit   func([]basilmoor.Target) []basilmoor.Target // nil for none

	last []basilmoor.Target
	seen bool
}

func (s *targetSource) targets() ([]basilmoor.Target, bool) {
	c, ok := s.catalog.Catalog()
	if !ok {
		return nil, false
	}
	targets := slices.Clone(c.Targets(s.pool))
	for i, t := range targets {
		if s.leaving != nil && s.leaving(t.Name) {
			targets[i] = t.WithLeaving(true)
		}
	}
	if s.limit != nil {
		targets = s.limit(targets)
	}
	if s.seen && slices.EqualFunc(targets, s.last, equalTargets) {
		return nil, false
	}
	s.last = targets
	s.seen = true
	return targets, true
}

func equalTargets(a, b basilmoor.Target) bool {
	return a.Name == b.Name &&
		a.Pool == b.Pool &&
		a.Type == b.Type &&
		a.Address == b.Address &&
		a.DataCentre == b.DataCentre &&
		a.Generation == b.Generation &&
		a.Version == b.Version &&
		a.Role == b.Role &&
		a.Slots == b.Slots &&
		a.CacheTokens == b.CacheTokens &&
		a.ContextTokens == b.ContextTokens &&
		a.ChecksFencing == b.ChecksFencing &&
		a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models) &&
		slices.Equal(a.Adapters, b.Adapters)
}

// limitTargets gives one of several hosts, none of which reaches a broker, its
// share of each target. Where the share is below one slot, the host gets one
// slot on each of its nearest targets, so that it can serve at all.
func limitTargets(targets []basilmoor.Target, self basilmoor.Member, live []basilmoor.Member) []basilmoor.Target {
	n := max(len(live), 1)
	near := nearest(targets, self, live)
	var limited []basilmoor.Target
	for _, t := range targets {
		share := t.Slots / n
		if share == 0 && near(t) {
			share = 1
		}
		if share == 0 {
			continue
		}
		t.Slots = share
		t.CacheTokens /= n
		limited = append(limited, t)
	}
	return limited
}

// nearest tells the targets of the host's data centre, else of its region, else
// all.
func nearest(targets []basilmoor.Target, self basilmoor.Member, live []basilmoor.Member) func(basilmoor.Target) bool {
	inDataCentre := func(t basilmoor.Target) bool { return t.DataCentre == self.DataCentre }
	if slices.ContainsFunc(targets, inDataCentre) {
		return inDataCentre
	}
	region := make(map[string]bool)
	for _, m := range live {
		if m.Region == self.Region {
			region[m.DataCentre] = true
		}
	}
	inRegion := func(t basilmoor.Target) bool { return region[t.DataCentre] }
	if slices.ContainsFunc(targets, inRegion) {
		return inRegion
	}
	return func(basilmoor.Target) bool { return true }
}
