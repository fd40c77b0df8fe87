// Package bmcrash records which requests, and which parts of prompts, crash
// targets, so that they are not sent to further targets.
//
// A request is identified by its digest, a part of prompts by its key. Both are
// called digests below. Who records a death decides what it proves: `basilmoor node`
// records each death under a request, `basilmoor entry` those under a key that a pool
// has convicted.
//
// Invariants: a digest is held back only after two different targets died
// while running a request with it; memory is bounded; merging the records of
// other hosts is commutative and idempotent, so that heartbeats may arrive in
// any order and more than once.
//
// A registry is a set of events, each with the time of its latest occurrence.
// An event is the death of one target while it ran one request, or the lifting
// of the hold on one request by an operator or an answer. Merging keeps the later
// time.
package bmcrash

import (
	"cmp"
	"slices"
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// HoldDuration is how long a request is held back after the latest death,
	// and the longest time between two deaths that make a request suspect.
	HoldDuration = 10 * basilmoor.Minute
	// eventRetention is how long an event can matter: a second death up to
	// HoldDuration later holds the request back for HoldDuration.
	eventRetention = 2 * HoldDuration

	// sameEventTolerance is the difference up to which two times of an event
	// mean the same occurrence. They differ because each path through the
	// fleet adds its delay to the age.
	sameEventTolerance = basilmoor.Second

	maxEvents = 8192
	// maxRecentEvents bounds the size of a heartbeat: 32 events are about
	// 1 KiB.
	maxRecentEvents = 32

	// maxHeld and maxHeldTargets bound what Held returns. Two targets are enough to
	// hold a digest back elsewhere; a third tells an operator more.
	maxHeld        = 64
	maxHeldTargets = 3
)

// eventKey identifies the death of target while it ran the request with this
// digest, or the lifting of the hold on the request if target is empty.
type eventKey struct {
	digest uint64
	target string
}

// event is an event with its latest time.
type event struct {
	eventKey
	at basilmoor.Millis
}

// Registry implements basilmoor.CrashRegistry.
type Registry struct {
	clock basilmoor.Clock

	mu         sync.Mutex
	lastEvents map[uint64]map[string]basilmoor.Millis // time by digest and target
	count      int                                    // of events in lastEvents
}

var _ basilmoor.CrashRegistry = (*Registry)(nil)

// New returns an empty registry.
func New(clock basilmoor.Clock) *Registry {
	return &Registry{
		clock:      clock,
		lastEvents: make(map[uint64]map[string]basilmoor.Millis),
	}
}

// RecordCrash records that target died while it ran the request with this digest.
func (r *Registry) RecordCrash(digest uint64, target string) {
	r.recordNow(eventKey{
		digest: digest,
		target: target,
	})
}

// Lift allows the request again until two targets die while running it.
func (r *Registry) Lift(digest uint64) {
	r.recordNow(eventKey{
		digest: digest,
	})
}

// recordNow records that an event happened now.
func (r *Registry) recordNow(key eventKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepLatest(event{
		eventKey: key,
		at:       r.clock.Now(),
	})
	r.prune()
}

// Suspect reports whether the request is held back: at least two targets died
// since it was last lifted, the two latest deaths are at most HoldDuration
// apart, and the latest is less than HoldDuration ago.
func (r *Registry) Suspect(digest uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return isHeld(r.clock.Now(), r.deathsSinceLift(digest))
}

// deathsSinceLift returns the deaths under a digest after its latest lift, the latest
// first.
func (r *Registry) deathsSinceLift(digest uint64) []event {
	times := r.lastEvents[digest]
	lifted, wasLifted := times[""]
	var deaths []event
	for target, at := range times {
		if target == "" || (wasLifted && at <= lifted) {
			continue
		}
		deaths = append(deaths, event{
			eventKey: eventKey{
				digest: digest,
				target: target,
			},
			at: at,
		})
	}
	slices.SortFunc(deaths, compareEvents)
	return deaths
}

// isHeld reports whether a digest with these deaths, the latest first, is held back.
func isHeld(now basilmoor.Millis, deaths []event) bool {
	return len(deaths) >= 2 && deaths[0].at-deaths[1].at <= HoldDuration && now-deaths[0].at < HoldDuration
}

// Held implements basilmoor.CrashRegistry.
func (r *Registry) Held() []basilmoor.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var held []basilmoor.Crash
	for digest := range r.lastEvents {
		deaths := r.deathsSinceLift(digest)
		if !isHeld(now, deaths) {
			continue
		}
		c := basilmoor.Crash{
			Digest: digest,
			Age:    now - deaths[0].at,
		}
		for _, d := range deaths[:min(len(deaths), maxHeldTargets)] {
			c.Targets = append(c.Targets, d.target)
		}
		held = append(held, c)
	}
	slices.SortFunc(held, func(a, b basilmoor.Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Digest, b.Digest))
	})
	return held[:min(len(held), maxHeld)]
}

// Recent returns events as one Crash each, at most 32. A Crash that is a lift has no
// target. The two deaths that hold a digest back come before all others, so that a
// host that joins holds back the same 16 digests at least; beyond these, the holds
// with the earliest deaths are lost to it, and of the other events the earliest.
func (r *Registry) Recent() []basilmoor.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune()
	now := r.clock.Now()
	events := r.recentEvents(now)
	crashes := make([]basilmoor.Crash, 0, len(events))
	for _, e := range events {
		c := basilmoor.Crash{
			Digest: e.digest,
			Age:    now - e.at,
			Lifted: e.target == "",
		}
		if e.target != "" {
			c.Targets = []string{e.target}
		}
		crashes = append(crashes, c)
	}
	return crashes
}

// recentEvents returns the deaths of the latest holds and then the latest of the
// other events, at most maxRecentEvents.
func (r *Registry) recentEvents(now basilmoor.Millis) []event {
	all := r.latestFirst()
	recent := make([]event, 0, min(len(all), maxRecentEvents))
	included := make(map[eventKey]bool, maxRecentEvents)
	add := func(e event) {
		if len(recent) < maxRecentEvents && !included[e.eventKey] {
			included[e.eventKey] = true
			recent = append(recent, e)
		}
	}
	checked := make(map[uint64]bool, len(r.lastEvents))
	for _, e := range all {
		if checked[e.digest] {
			continue
		}
		checked[e.digest] = true
		if deaths := r.deathsSinceLift(e.digest); isHeld(now, deaths) {
			add(deaths[0])
			add(deaths[1])
		}
	}
	for _, e := range all {
		add(e)
	}
	return recent
}

// Merge adds events from another host and returns those that were new.
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
	r.prune()
	return fresh
}

// merge adds the events of a crash and reports whether any of them was new.
func (r *Registry) merge(now basilmoor.Millis, c basilmoor.Crash) bool {
	at := now - max(c.Age, 0)
	if c.Lifted {
		return r.keepLatest(event{
			eventKey: eventKey{
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
		added := r.keepLatest(event{
			eventKey: eventKey{
				digest: c.Digest,
				target: t,
			},
			at: at,
		})
		fresh = fresh || added
	}
	return fresh
}

// keepLatest records e unless a later occurrence is known, and reports whether
// e is a new occurrence rather than one already recorded.
func (r *Registry) keepLatest(e event) bool {
	times := r.lastEvents[e.digest]
	if times == nil {
		times = make(map[string]basilmoor.Millis)
		r.lastEvents[e.digest] = times
	}
	at, ok := times[e.target]
	if !ok {
		r.count++
	}
	if !ok || e.at > at {
		times[e.target] = e.at
	}
	return !ok || e.at > at+sameEventTolerance
}

// prune removes events past their retention, and the oldest ones beyond
// maxEvents.
func (r *Registry) prune() {
	now := r.clock.Now()
	for digest, times := range r.lastEvents {
		for target, at := range times {
			if now-at >= eventRetention {
				r.remove(digest, target)
			}
		}
	}
	if r.count <= maxEvents {
		return
	}
	for _, e := range r.latestFirst()[maxEvents:] {
		r.remove(e.digest, e.target)
	}
}

func (r *Registry) remove(digest uint64, target string) {
	delete(r.lastEvents[digest], target)
	r.count--
	if len(r.lastEvents[digest]) == 0 {
		delete(r.lastEvents, digest)
	}
}

// latestFirst returns all events, the latest first. The order does not depend on
// the order in which they were recorded.
func (r *Registry) latestFirst() []event {
	all := make([]event, 0, r.count)
	for digest, times := range r.lastEvents {
		for target, at := range times {
			all = append(all, event{
				eventKey: eventKey{
					digest: digest,
					target: target,
				},
				at: at,
			})
		}
	}
	slices.SortFunc(all, compareEvents)
	return all
}

// compareEvents orders events, the latest first.
func compareEvents(a, b event) int {
	return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.digest, b.digest), cmp.Compare(a.target, b.target))
}
