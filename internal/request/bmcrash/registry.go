// Package bmcrash knows which requests crash targets and holds them back.
//
// Invariants: a request is held back only after two different targets died
// while they ran it; memory is bounded; merging what other hosts know is
// commutative and idempotent, so that heartbeats may arrive in any order and
// more than once.
//
// What a registry knows is a set of marks. A mark is the latest death of one
// target under one request, or the latest time an operator lifted the request.
// Merging keeps the later one of two marks of the same name.
package bmcrash

import (
	"cmp"
	"slices"
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// Hold is the time for which a request is held back after the death that
	// made it suspect, and the longest time between two deaths that count
	// together.
	Hold = 10 * basilmoor.Minute
	// retention keeps a death for as long as it can count together with a
	// later one that still holds the request back.
	retention = 2 * Hold

	// sameMark is the difference up to which two instants of a mark are those
	// of one event: each way that a mark takes adds its delay to its age.
	sameMark = basilmoor.Second

	maxMarks = 8192
	// maxRecent bounds what one heartbeat carries; 32 marks are about 1 KiB.
	maxRecent = 32
)

// mark names a death, or a lift if target is empty.
type mark struct {
	digest uint64
	target string
}

// dated is a mark with its instant.
type dated struct {
	mark
	at basilmoor.Millis
}

// Registry implements basilmoor.CrashRegistry.
type Registry struct {
	clock basilmoor.Clock

	mu    sync.Mutex
	marks map[uint64]map[string]basilmoor.Millis // by digest and target
	count int
}

var _ basilmoor.CrashRegistry = (*Registry)(nil)

// New returns an empty registry.
func New(clock basilmoor.Clock) *Registry {
	return &Registry{
		clock: clock,
		marks: make(map[uint64]map[string]basilmoor.Millis),
	}
}

// Died records that a target died while it ran the request.
func (r *Registry) Died(digest uint64, target string) {
	r.set(mark{
		digest: digest,
		target: target,
	})
}

// Lift allows the request again until two more targets die under it.
func (r *Registry) Lift(digest uint64) {
	r.set(mark{
		digest: digest,
	})
}

func (r *Registry) set(m mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(dated{
		mark: m,
		at:   r.clock.Now(),
	})
	r.trim()
}

// Suspect reports whether the request is held back.
func (r *Registry) Suspect(digest uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	marks := r.marks[digest]
	lifted, wasLifted := marks[""]
	var last, before basilmoor.Millis
	deaths := 0
	for target, at := range marks {
		if target == "" || (wasLifted && at <= lifted) {
			continue
		}
		deaths++
		switch {
		case deaths == 1 || at > last:
			before = last
			last = at
		case deaths == 2 || at > before:
			before = at
		}
	}
	if deaths < 2 || last-before > Hold {
		return false
	}
	return r.clock.Now()-last < Hold
}

// Recent returns the latest marks, one Crash for each. A lift names no target.
func (r *Registry) Recent() []basilmoor.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trim()
	now := r.clock.Now()
	all := r.sorted()
	crashes := make([]basilmoor.Crash, 0, min(len(all), maxRecent))
	for _, d := range all[:min(len(all), maxRecent)] {
		c := basilmoor.Crash{
			Digest: d.digest,
			Age:    now - d.at,
			Lifted: d.target == "",
		}
		if d.target != "" {
			c.Targets = []string{d.target}
		}
		crashes = append(crashes, c)
	}
	return crashes
}

// Merge adds what another host knows, and returns the part that was new.
func (r *Registry) Merge(crashes []basilmoor.Crash) []basilmoor.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var fresh []basilmoor.Crash
	for _, c := range crashes {
		if r.merge(now, c) {
			fresh = append(fresh, c)
		}
	}
	r.trim()
	return fresh
}

// merge adds one crash and reports whether any of it was new.
func (r *Registry) merge(now basilmoor.Millis, c basilmoor.Crash) bool {
	at := now - max(c.Age, 0)
	if c.Lifted {
		return r.put(dated{
			mark: mark{
				digest: c.Digest,
			},
			at: at,
		})
	}
	fresh := false
	for _, t := range c.Targets {
		if t == "" {
			continue
		}
		added := r.put(dated{
			mark: mark{
				digest: c.Digest,
				target: t,
			},
			at: at,
		})
		fresh = fresh || added
	}
	return fresh
}

// put keeps the later one of d and the mark that is known, and reports whether
// d is another event.
func (r *Registry) put(d dated) bool {
	marks := r.marks[d.digest]
	if marks == nil {
		marks = make(map[string]basilmoor.Millis)
		r.marks[d.digest] = marks
	}
	at, ok := marks[d.target]
	if !ok {
		r.count++
	}
	if !ok || d.at > at {
		marks[d.target] = d.at
	}
	return !ok || d.at > at+sameMark
}

// trim forgets marks that no longer matter and, beyond the bound, the oldest.
func (r *Registry) trim() {
	now := r.clock.Now()
	for digest, marks := range r.marks {
		for target, at := range marks {
			if now-at >= retention {
				r.remove(digest, target)
			}
		}
	}
	if r.count <= maxMarks {
		return
	}
	for _, d := range r.sorted()[maxMarks:] {
		r.remove(d.digest, d.target)
	}
}

func (r *Registry) remove(digest uint64, target string) {
	delete(r.marks[digest], target)
	r.count--
	if len(r.marks[digest]) == 0 {
		delete(r.marks, digest)
	}
}

// sorted returns all marks, the latest first. The order does not depend on the
// order in which marks became known.
func (r *Registry) sorted() []dated {
	all := make([]dated, 0, r.count)
	for digest, marks := range r.marks {
		for target, at := range marks {
			all = append(all, dated{
				mark: mark{
					digest: digest,
					target: target,
				},
				at: at,
			})
		}
	}
	slices.SortFunc(all, func(a, b dated) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.digest, b.digest), cmp.Compare(a.target, b.target))
	})
	return all
}
