package bmview

import (
	"sort"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

// View is what a host knows of the platform at one moment. It is immutable;
// its slices must not be changed.
type View struct {
	// Table is the desired state, nil before the first one was read.
	Table *bmrouting.Table

	targets map[string][]basilmoor.Target // by pool, ordered by name
	hosts   []basilmoor.Member            // ordered by name
}

// Targets returns the targets of a pool that are listed, ordered by name.
// Leaving ones are among them.
func (v *View) Targets(pool string) []basilmoor.Target {
	return v.targets[pool]
}

// AllTargets returns the targets of all pools.
func (v *View) AllTargets() []basilmoor.Target {
	var all []basilmoor.Target
	for _, targets := range v.targets {
		all = append(all, targets...)
	}
	return all
}

// Hosts returns the hosts that are registered, ordered by name.
func (v *View) Hosts() []basilmoor.Member {
	return v.hosts
}

// Changes are what one call of a [Feed] brought.
type Changes struct {
	// Table is the desired state if it has changed, else nil.
	Table *bmrouting.Table
	// Targets and Hosts are by name; a nil value is one that is gone.
	Targets map[string]*basilmoor.Target
	Hosts   map[string]*basilmoor.Member
	// Spending is the brokers' record of what workspaces have spent, if it
	// has changed, else nil.
	Spending []byte
}

// state is the mutable form of a view.
type state struct {
	table   *bmrouting.Table
	targets map[string]basilmoor.Target
	hosts   map[string]basilmoor.Member
	// missing are targets whose entry vanished at an outage of the store, by
	// the instant until which they are kept.
	missing map[string]basilmoor.Millis
}

func newState() *state {
	return &state{
		targets: map[string]basilmoor.Target{},
		hosts:   map[string]basilmoor.Member{},
		missing: map[string]basilmoor.Millis{},
	}
}

// apply adds changes. Targets that are gone are kept until keepUntil if that
// is not 0.
func (s *state) apply(c Changes, keepUntil basilmoor.Millis) {
	if c.Table != nil && (s.table == nil || c.Table.Version() > s.table.Version()) {
		s.table = c.Table
	}
	for name, t := range c.Targets {
		if t != nil {
			s.targets[name] = *t
			delete(s.missing, name)
			continue
		}
		s.removeTarget(name, keepUntil)
	}
	for name, h := range c.Hosts {
		if h == nil {
			delete(s.hosts, name)
			continue
		}
		s.hosts[name] = *h
	}
}

// replace takes a complete read: what it does not contain is gone.
func (s *state) replace(c Changes, keepUntil basilmoor.Millis) {
	for name := range s.targets {
		if c.Targets[name] == nil {
			s.removeTarget(name, keepUntil)
		}
	}
	for name := range s.hosts {
		if c.Hosts[name] == nil {
			delete(s.hosts, name)
		}
	}
	s.apply(c, keepUntil)
}

func (s *state) removeTarget(name string, keepUntil basilmoor.Millis) {
	t, known := s.targets[name]
	if !known {
		return
	}
	if keepUntil == 0 || t.Leaving {
		delete(s.targets, name)
		delete(s.missing, name)
		return
	}
	if _, already := s.missing[name]; !already {
		s.missing[name] = keepUntil
	}
}

// expire drops the kept targets whose time is over and reports whether there
// were any.
func (s *state) expire(now basilmoor.Millis) bool {
	dropped := false
	for name, until := range s.missing {
		if now >= until {
			delete(s.missing, name)
			delete(s.targets, name)
			dropped = true
		}
	}
	return dropped
}

func (s *state) view() *View {
	v := &View{
		Table:   s.table,
		targets: map[string][]basilmoor.Target{},
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
