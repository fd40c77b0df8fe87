package bmscheduler

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// targetSource reads the targets of a pool from the catalog and detects changes.
type targetSource struct {
	pool     string
	catalog  basilmoor.CatalogSource
	leaving  func(target string) bool
	restrict func([]basilmoor.Target) []basilmoor.Target // nil if not restricted

	last        []basilmoor.Target
	initialized bool
}

// targets returns the current targets, or false if they are the same as in the
// last call or there is no catalog yet.
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
	if s.restrict != nil {
		targets = s.restrict(targets)
	}
	if s.initialized && slices.EqualFunc(targets, s.last, equalTargets) {
		return nil, false
	}
	s.last = targets
	s.initialized = true
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

// limitTargets returns the targets with this host's share of their slots, for
// use while no broker is reachable and every live host schedules on its own.
// Where the share rounds down to zero, the host still gets one slot on each of
// its nearest targets, so that it can serve requests at all.
func limitTargets(targets []basilmoor.Target, self basilmoor.Member, live []basilmoor.Member) []basilmoor.Target {
	n := max(len(live), 1)
	isNearest := nearestTargets(targets, self, live)
	var limited []basilmoor.Target
	for _, t := range targets {
		share := t.Slots / n
		if share == 0 && isNearest(t) {
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

// nearestTargets returns a predicate for the targets in the host's data centre;
// if there are none, for those in its region, and otherwise for all targets.
func nearestTargets(targets []basilmoor.Target, self basilmoor.Member, live []basilmoor.Member) func(basilmoor.Target) bool {
	inDataCentre := func(t basilmoor.Target) bool { return t.DataCentre == self.DataCentre }
	if slices.ContainsFunc(targets, inDataCentre) {
		return inDataCentre
	}
	regionDataCentres := make(map[string]bool)
	for _, m := range live {
		if m.Region == self.Region {
			regionDataCentres[m.DataCentre] = true
		}
	}
	inRegion := func(t basilmoor.Target) bool { return regionDataCentres[t.DataCentre] }
	if slices.ContainsFunc(targets, inRegion) {
		return inRegion
	}
	return func(basilmoor.Target) bool { return true }
}
