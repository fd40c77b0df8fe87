package bmfollower

import (
	"fmt"
	"maps"
	"slices"

	"basilmoor.example/basilmoor"
)

// Mode classifies the state of a host's configuration.
type Mode string

// Modes, in descending order of severity.
const (
	ModeIsolated         Mode = "isolated"
	ModeDiverged         Mode = "diverged"
	ModeStoreBehind      Mode = "store-behind"
	ModeStoreUnavailable Mode = "store-unavailable"
	ModeLagging          Mode = "lagging"
	ModeCurrent          Mode = "current"
)

// Condition is a mode that currently applies, with the reason.
type Condition struct {
	Mode   Mode   `json:"mode"`
	Reason string `json:"reason"`
}

// Status describes a host's configuration.
type Status struct {
	Mode    Mode   `json:"mode"` // the most severe one that applies
	Version int64  `json:"version"`
	Note    string `json:"note"`
	Known   int64  `json:"known-version"` // highest that is held or that a peer reported
	Serving bool   `json:"serving"`

	// Conditions lists all modes that apply, the most severe first. It is empty
	// if the configuration is current.
	Conditions []Condition `json:"conditions"`

	// Counts holds totals since the process started.
	Counts map[string]int64 `json:"counts"`
}

// Keys of Status.Counts.
const (
	countTaken       = "taken"
	countPeerOlder   = "peer-older"
	countFetchFailed = "fetch-failed"
	countStoreFailed = "store-failed"
	countRejected    = "rejected." // prefix of a rejectReason
)

// rejectReason classifies why a head was not applied.
type rejectReason string

const (
	rejectOlder     rejectReason = "older"
	rejectDiverged  rejectReason = "diverged"
	rejectDigest    rejectReason = "digest"
	rejectMalformed rejectReason = "malformed"
)

// sourceTracker holds, for the store and each peer, the last fault until the
// source delivers or reports something acceptable. It also keeps the counts of
// the core.
type sourceTracker struct {
	faults map[string]sourceFault
	counts map[string]int64
}

type sourceFault struct {
	rejectReason rejectReason
	detail       string
}

func newSourceTracker() sourceTracker {
	return sourceTracker{
		faults: make(map[string]sourceFault),
		counts: make(map[string]int64),
	}
}

func (s *sourceTracker) count(name string) { s.counts[name]++ }

func (s *sourceTracker) reject(source string, r rejectReason, detail string) {
	s.count(countRejected + string(r))
	s.faults[source] = sourceFault{
		rejectReason: r,
		detail:       detail,
	}
}

func (s *sourceTracker) hasFault(source string) bool {
	_, ok := s.faults[source]
	return ok
}

func (s *sourceTracker) clear(source string) { delete(s.faults, source) }

func (s *sourceTracker) forget(source string) { delete(s.faults, source) }

// Status returns the state of the host's configuration.
func (c *Core) Status(now basilmoor.Millis) Status {
	s := Status{
		Mode:       ModeCurrent,
		Version:    c.snapshot.Version(),
		Note:       c.snapshot.NoteID(),
		Known:      c.HighestKnownVersion(),
		Serving:    c.serving,
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
	sources := slices.Sorted(maps.Keys(c.sources.faults))
	for _, source := range sources {
		if f := c.sources.faults[source]; f.rejectReason != rejectOlder {
			add(ModeDiverged, fmt.Sprintf("%s: %s: %s", source, f.rejectReason, f.detail))
		}
	}
	if f, ok := c.sources.faults[storeSource]; ok && f.rejectReason == rejectOlder {
		add(ModeStoreBehind, f.detail)
	}
	if c.store.unavailable {
		add(ModeStoreUnavailable, c.store.lastError)
	}
	if c.lagging {
		add(ModeLagging, fmt.Sprintf("version %d is known, version %d is held", c.HighestKnownVersion(), c.snapshot.Version()))
	}
	if c.store.missingPart != "" {
		add(ModeLagging, "the store's head lists a part that the store does not hold: "+c.store.missingPart)
	}
	return list
}
