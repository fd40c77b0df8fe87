package bmfollower

import (
	"fmt"
	"maps"
	"slices"

	"basilmoor.example/basilmoor"
)

// Mode is the state of a host's configuration.
type Mode string

// Modes, the gravest first.
const (
	ModeIsolated         Mode = "isolated"
	ModeDiverged         Mode = "diverged"
	ModeStoreBehind      Mode = "store-behind"
	ModeStoreUnavailable Mode = "store-unavailable"
	ModeLagging          Mode = "lagging"
	ModeCurrent          Mode = "current"
)

// Condition is one mode that holds, with its reason.
type Condition struct {
	Mode   Mode   `json:"mode"`
	Reason string `json:"reason"`
}

// Status describes a host's configuration.
type Status struct {
	Mode    Mode   `json:"mode"` // the gravest
	Version int64  `json:"version"`
	Note    string `json:"note"`
	Known   int64  `json:"known-version"` // highest that was heard of
	Serving bool   `json:"serving"`

	// Conditions are all modes that hold, the gravest first; empty if the
	// configuration is current.
	Conditions []Condition `json:"conditions"`

	// Counts are totals since the start of the process.
	Counts map[string]int64 `json:"counts"`
}

// Names of counts.
const (
	countTaken       = "taken"
	countPeerOlder   = "peer-older"
	countFetchFailed = "fetch-failed"
	countStoreFailed = "store-failed"
	countRejected    = "rejected." // and the reason
)

// rejection is why a head was not taken.
type rejection string

const (
	rejectOlder     rejection = "older"
	rejectDiverged  rejection = "diverged"
	rejectDigest    rejection = "digest"
	rejectMalformed rejection = "malformed"
)

// sources keeps what is wrong with the store and each peer until they offer
// something acceptable again.
type sources struct {
	faults map[string]sourceFault
	counts map[string]int64
}

type sourceFault struct {
	rejection rejection
	reason    string
}

func newSources() sources {
	return sources{
		faults: make(map[string]sourceFault),
		counts: make(map[string]int64),
	}
}

func (s *sources) count(name string) { s.counts[name]++ }

func (s *sources) reject(source string, r rejection, reason string) {
	s.count(countRejected + string(r))
	s.faults[source] = sourceFault{
		rejection: r,
		reason:    reason,
	}
}

func (s *sources) faulty(source string) bool {
	_, ok := s.faults[source]
	return ok
}

func (s *sources) agree(source string) { delete(s.faults, source) }

func (s *sources) forget(source string) { delete(s.faults, source) }

// Status returns the host's state.
func (c *Core) Status(now basilmoor.Millis) Status {
	s := Status{
		Mode:       ModeCurrent,
		Version:    c.snapshot.Version(),
		Note:       c.snapshot.NoteID(),
		Known:      c.Known(),
		Serving:    c.serves,
		Conditions: c.conditions(now),
		Counts:     maps.Clone(c.sources.counts),
	}
	if len(s.Conditions) > 0 {
		s.Mode = s.Conditions[0].Mode
	}
	return s
}

func (c *Core) conditions(now basilmoor.Millis) []Condition {
	list := []Condition{}
	add := func(m Mode, reason string) {
		list = append(list, Condition{
			Mode:   m,
			Reason: reason,
		})
	}
	if c.Isolated(now) {
		add(ModeIsolated, fmt.Sprintf("neither the store nor a peer was reached for %d ms", now-c.lastContact))
	}
	names := slices.Sorted(maps.Keys(c.sources.faults))
	for _, source := range names {
		if f := c.sources.faults[source]; f.rejection != rejectOlder {
			add(ModeDiverged, fmt.Sprintf("%s: %s: %s", source, f.rejection, f.reason))
		}
	}
	if f, ok := c.sources.faults[storeSource]; ok && f.rejection == rejectOlder {
		add(ModeStoreBehind, f.reason)
	}
	if c.store.failing {
		add(ModeStoreUnavailable, c.store.reason)
	}
	if c.lagging {
		add(ModeLagging, fmt.Sprintf("version %d is known, version %d is held", c.Known(), c.snapshot.Version()))
	}
	if c.store.incomplete != "" {
		add(ModeLagging, "the store's head lists a part that the store does not hold: "+c.store.incomplete)
	}
	return list
}
