package bmview

import (
	"maps"
	"slices"
	"sort"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

// View is a snapshot of the platform's state as known to a host. It is
// immutable; callers must not modify its slices.
type View struct {
	// Table is the desired state, nil until the first one has been read.
	Table *bmrouting.Table

	targets map[string][]basilmoor.Target // by pool, sorted by name
	hosts   []basilmoor.Member            // sorted by name

	rollouts map[string]bmrollout.View // by pool
}

// Rollout returns the latest order to move a pool to another version, and false if there
// was none.
func (v *View) Rollout(pool string) (bmrollout.View, bool) {
	r := v.rollouts[pool]
	return r, r.Order.Version != ""
}

// Targets returns the targets of a pool sorted by name, including those that
// are leaving.
func (v *View) Targets(pool string) []basilmoor.Target {
	return v.targets[pool]
}

// Pools returns the names of the pools that have targets, in no particular order.
func (v *View) Pools() []string {
	return slices.Collect(maps.Keys(v.targets))
}

// AllTargets returns the targets of all pools in no particular order.
func (v *View) AllTargets() []basilmoor.Target {
	var all []basilmoor.Target
	for _, targets := range v.targets {
		all = append(all, targets...)
	}
	return all
}

// Hosts returns the registered hosts sorted by name.
func (v *View) Hosts() []basilmoor.Member {
	return v.hosts
}

// Changes holds the decoded events of one call of a [Feed].
type Changes struct {
	// Table is the new desired state, nil if it has not changed.
	Table *bmrouting.Table
	// Targets and Hosts are keyed by name; nil values stand for removed ones.
	Targets map[string]*basilmoor.Target
	Hosts   map[string]*basilmoor.Member
	// Spending is the new record of the workspaces' spending, nil if it has
	// not changed.
	Spending []byte
	// SettledEra is the era of the store that a host has recorded as settled, 0 if
	// that has not changed.
	SettledEra int64
	// Orders and Statuses are the new orders to move pools to another version, and the
	// new states of such orders, by pool. Their positions name no era.
	Orders   map[string]bmrollout.Order
	Statuses map[string]bmrollout.Status
}

// isView reports whether the changes are part of the view.
func (c Changes) isView() bool {
	return len(c.Targets) > 0 || len(c.Hosts) > 0 || c.Table != nil || len(c.Orders) > 0 || len(c.Statuses) > 0
}

// state is the mutable state from which views are built.
type state struct {
	table   *bmrouting.Table
	targets map[string]basilmoor.Target
	hosts   map[string]basilmoor.Member
	// retained maps targets whose entry disappeared after an outage of the
	// store to the instant at which they are removed.
	retained map[string]basilmoor.Millis
	// retainedHosts maps hosts whose registration was lost with a restoration of
	// the store to the instant at which they are removed.
	retainedHosts map[string]basilmoor.Millis
	rollouts      map[string]bmrollout.View
}

func newState() *state {
	return &state{
		targets:       map[string]basilmoor.Target{},
		hosts:         map[string]basilmoor.Member{},
		retained:      map[string]basilmoor.Millis{},
		retainedHosts: map[string]basilmoor.Millis{},
		rollouts:      map[string]bmrollout.View{},
	}
}

// isOlder reports whether a desired state is older than the current one.
func (s *state) isOlder(t *bmrouting.Table) bool {
	return t != nil && s.table != nil && t.Version() < s.table.Version()
}

// isNewer reports whether a desired state is newer than the current one.
func (s *state) isNewer(t *bmrouting.Table) bool {
	return t != nil && (s.table == nil || t.Version() > s.table.Version())
}

// apply merges changes into the state. Removed targets are retained until
// retainTargets, and removed hosts until retainHosts, unless that is 0. An older
// desired state is ignored.
func (s *state) apply(c Changes, retainTargets, retainHosts basilmoor.Millis) {
	if s.isNewer(c.Table) {
		s.table = c.Table
	}
	for name, t := range c.Targets {
		if t != nil {
			s.targets[name] = *t
			delete(s.retained, name)
			continue
		}
		s.removeTarget(name, retainTargets)
	}
	for name, h := range c.Hosts {
		if h != nil {
			s.hosts[name] = *h
			delete(s.retainedHosts, name)
			continue
		}
		s.removeHost(name, retainHosts)
	}
}

// removeHost removes a host, or retains it until retainUntil.
func (s *state) removeHost(name string, retainUntil basilmoor.Millis) {
	if _, known := s.hosts[name]; !known {
		return
	}
	if retainUntil == 0 {
		delete(s.hosts, name)
		delete(s.retainedHosts, name)
		return
	}
	if _, already := s.retainedHosts[name]; !already {
		s.retainedHosts[name] = retainUntil
	}
}

// removeTarget removes a target, or retains it until retainUntil. Targets that
// are leaving are never retained.
func (s *state) removeTarget(name string, retainUntil basilmoor.Millis) {
	t, known := s.targets[name]
	if !known {
		return
	}
	if retainUntil == 0 || t.Leaving {
		delete(s.targets, name)
		delete(s.retained, name)
		return
	}
	if _, already := s.retained[name]; !already {
		s.retained[name] = retainUntil
	}
}

// removeExpired removes the retained targets and hosts whose retention has ended and
// reports whether there were any.
func (s *state) removeExpired(now basilmoor.Millis) bool {
	removed := false
	for name, until := range s.retained {
		if now >= until {
			delete(s.retained, name)
			delete(s.targets, name)
			removed = true
		}
	}
	for name, until := range s.retainedHosts {
		if now >= until {
			delete(s.retainedHosts, name)
			delete(s.hosts, name)
			removed = true
		}
	}
	return removed
}

// view builds a view of the current state.
func (s *state) view() *View {
	v := &View{
		Table:   s.table,
		targets: map[string][]basilmoor.Target{},

		rollouts: maps.Clone(s.rollouts),
	}
	for _, t := range s.targets {
		v.targets[t.Pool] = append(v.targets[t.Pool], t)
	}
	for _, targets := range v.targets {
		sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
	}
	for _, h := range s.hosts {
		v.hosts = append(v.hosts, h)
	}
	sort.Slice(v.hosts, func(i, j int) bool { return v.hosts[i].Host < v.hosts[j].Host })
	return v
}
