// Package bmquarantine finds what the requests that crash targets have in common,
// and limits what runs of it until that is proven.
//
// A request has keys, the narrowest first: its digest, then the parts of its
// prompt that other requests share. When a target dies, the keys of the requests
// that it ran and that had not answered yet become suspect. An answer clears the
// keys of its request. A key under which targets go on dying, each run granted
// after the last death, is convicted, unless keys that were answered longer ago
// explain the deaths.
//
// Invariants:
//
//   - Deaths in one generation, such as those of a rack that fails at once, convict
//     nothing: each counted generation begins with a run granted after a death.
//   - From the second death on, a suspect key runs on a target without other
//     suspect keys, so the third death tells it from those that died beside it.
//   - Memory is bounded.
//
// The state is soft and owned by a pool of the broker or of a host. If the owner
// dies, suspicion of shared parts begins anew. Each host keeps the deaths under
// digests in its [History] and tells them to the next owner, and convictions in its
// crash registry.
package bmquarantine

import (
	"slices"

	"basilmoor.example/basilmoor"
)

const (
	// establishedPeriod is the longest time since the last answer under a key for
	// which one death does not limit it.
	establishedPeriod = basilmoor.Minute

	// maxOverlapping is the number of deaths that limit an established key though they
	// overlap, counted from the first run that was granted after a death. Those of a
	// rack that fails at once are not counted, but for a request that is sent again to
	// the same rack.
	maxOverlapping = 2

	// retention is the time after the last death for which a key is suspect.
	retention = 10 * basilmoor.Minute

	// minTargets and minGenerations convict a key. In a pool of two targets that
	// return under the same names, and do not tell when they started, more generations
	// replace the third name.
	minTargets          = 3
	minGenerations      = 3
	minGenerationsOfTwo = 5

	// minExplained is the least number of deaths that a part explains, and
	// maxExplanations the largest number of parts that explain those under one key.
	minExplained    = 2
	maxExplanations = 2

	// The bounds of the memory. Keys beyond maxSuspicions are not blamed.
	maxSuspicions           = 8192
	maxTargetsPerSuspicion  = 16
	maxDeathsPerSuspicion   = 16
	maxSurvivalsPerInterval = 4096
)

// Level tells how a request is limited by the most suspect of its keys.
type Level int

// Levels.
const (
	// Clear does not limit a request.
	Clear Level = iota
	// Suspected keeps a request from the targets of isolated ones.
	Suspected
	// Limited admits one request with the key at a time.
	Limited
	// Isolated, in addition, keeps the request from targets that run other
	// suspect ones.
	Isolated
)

// Run is a request that a target ran when it died.
type Run struct {
	Keys      []uint64
	GrantedAt basilmoor.Millis

	// OnTrial is set if the request was limited when it was granted.
	OnTrial bool
}

// Hold is a convicted key with the incarnations of targets that died under it.
type Hold struct {
	Key     uint64
	Targets []string
}

// suspicion is what is known of a key since the last answer under it.
type suspicion struct {
	digest      bool // the key is that of whole requests
	generation  int
	firstDeath  basilmoor.Millis
	lastDeath   basilmoor.Millis
	overlapping int // deaths under runs granted after the first death and before the last
	targets     []string
	deaths      []fatality       // the latest
	established bool             // answered in the minute before the first death
	answeredAt  basilmoor.Millis // of the last answer, as far as known; neverAnswered for none
}

func (s *suspicion) level() Level {
	switch {
	case s.established && s.generation < 2 && s.overlapping < maxOverlapping:
		return Suspected
	case len(s.targets) < 2 && s.generation < 2:
		return Limited
	}
	return Isolated
}

// Quarantine is the state of the keys of one pool. It is not safe for concurrent
// use.
type Quarantine struct {
	unsettled  map[uint64]int // requests in progress without an answer, by key
	suspicions map[uint64]*suspicion
	survivals  survivals
	cleared    int
}

// New returns a quarantine without suspicion.
func New() *Quarantine {
	return &Quarantine{
		unsettled:  map[uint64]int{},
		suspicions: map[uint64]*suspicion{},
		survivals:  newSurvivals(),
	}
}

// Active reports whether any key is suspect.
func (q *Quarantine) Active() bool {
	return len(q.suspicions) > 0
}

// Begin adds a request in progress.
func (q *Quarantine) Begin(keys []uint64) {
	for _, k := range keys {
		q.unsettled[k]++
	}
}

// End removes a request in progress that has answered, ended or died.
func (q *Quarantine) End(keys []uint64) {
	for _, k := range keys {
		if q.unsettled[k]--; q.unsettled[k] <= 0 {
			delete(q.unsettled, k)
		}
	}
}

// Level returns the highest level of the keys.
func (q *Quarantine) Level(keys []uint64) Level {
	level := Clear
	if !q.Active() {
		return level
	}
	for _, k := range keys {
		if s, ok := q.suspicions[k]; ok {
			level = max(level, s.level())
		}
	}
	return level
}

// Admits reports whether a request with these keys may be granted: none of its
// limited keys is one of a request in progress.
func (q *Quarantine) Admits(keys []uint64) bool {
	for _, k := range keys {
		if s, ok := q.suspicions[k]; ok && s.level() >= Limited && q.unsettled[k] > 0 {
			return false
		}
	}
	return true
}

// Survived clears the keys of a request that a target answered.
func (q *Quarantine) Survived(now basilmoor.Millis, keys []uint64) {
	for i, k := range keys {
		if _, ok := q.suspicions[k]; ok {
			delete(q.suspicions, k)
			q.cleared++
		}
		if i > 0 {
			// The digest of a request is rarely seen again, and would take the
			// place of the shared parts.
			q.survivals.note(now, k)
		}
	}
}

// TakeCleared returns the number of suspicions that answers cleared since the last
// call.
func (q *Quarantine) TakeCleared() int {
	n := q.cleared
	q.cleared = 0
	return n
}

// Prune forgets old suspicion.
func (q *Quarantine) Prune(now basilmoor.Millis) {
	for k, s := range q.suspicions {
		if now-s.lastDeath >= retention {
			delete(q.suspicions, k)
		}
	}
}

// Died records that an incarnation of a target died while it ran requests that had not
// answered. It convicts at most one key, because a death has one cause. The second result is
// false if there is none.
func (q *Quarantine) Died(now basilmoor.Millis, target string, runs []Run) (Hold, bool) {
	q.blame(now, target, runs)
	var best *suspicion
	var key uint64
	for _, r := range runs {
		for _, k := range r.Keys {
			s, ok := q.suspicions[k]
			if !ok || !proven(s.deaths) {
				continue
			}
			if proven(q.unexplained(k, s)) && (best == nil || s.outweighs(best)) {
				best = s
				key = k
			}
		}
	}
	if best == nil {
		return Hold{}, false
	}
	return q.convict(key), true
}

// blame counts a death against the keys of the runs. If one of them was on trial,
// the established keys of the others are spared.
func (q *Quarantine) blame(now basilmoor.Millis, target string, runs []Run) {
	trial := slices.ContainsFunc(runs, func(r Run) bool { return r.OnTrial })
	granted := map[uint64]basilmoor.Millis{} // latest grant by key
	for _, r := range runs {
		for i, k := range r.Keys {
			s, suspect := q.suspicions[k]
			if !suspect || now-s.lastDeath >= retention {
				established := q.survivals.last(k) >= now-establishedPeriod
				if !suspect && len(q.suspicions) >= maxSuspicions || trial && !r.OnTrial && established {
					continue
				}
				s = &suspicion{
					digest:      i == 0,
					lastDeath:   now,
					established: established,
					answeredAt:  q.survivals.last(k),
				}
				q.suspicions[k] = s
			}
			granted[k] = max(granted[k], r.GrantedAt)
		}
	}
	d := &death{
		target: target,
		runs:   runs,
	}
	for k, at := range granted {
		q.suspicions[k].add(fatality{
			death:     d,
			at:        now,
			grantedAt: at,
		})
	}
}

// add counts a death that is later than those before.
func (s *suspicion) add(d fatality) {
	if s.generation == 0 {
		s.firstDeath = d.at
	}
	switch {
	case s.generation == 0 || d.grantedAt >= s.lastDeath:
		s.generation++
	case d.grantedAt >= s.firstDeath:
		s.overlapping++
	}
	s.lastDeath = d.at
	if len(s.targets) < maxTargetsPerSuspicion && !slices.Contains(s.targets, d.target) {
		s.targets = append(s.targets, d.target)
	}
	if len(s.deaths) >= maxDeathsPerSuspicion {
		s.deaths = slices.Delete(s.deaths, 0, 1)
	}
	d.generation = s.generation
	s.deaths = append(s.deaths, d)
}

// convict returns the hold on a key. If it is a key that requests share, it explains
// the deaths under the other keys of its requests. A digest does not: the same request
// again says nothing about its parts. A key also explains the deaths under less likely
// ones of other requests on the targets.
func (q *Quarantine) convict(key uint64) Hold {
	s := q.suspicions[key]
	if s.digest {
		delete(q.suspicions, key)
		return s.hold(key)
	}
	for _, d := range s.deaths {
		for _, r := range d.runs {
			beside := !slices.Contains(r.Keys, key)
			for _, k := range r.Keys {
				if beside {
					q.excuse(k, s, d.death)
				} else {
					delete(q.suspicions, k)
				}
			}
		}
	}
	return s.hold(key)
}

func (s *suspicion) hold(key uint64) Hold {
	return Hold{
		Key:     key,
		Targets: s.targets,
	}
}

// excuse removes a death that a likelier key explains from those under a key.
func (q *Quarantine) excuse(key uint64, likelier *suspicion, d *death) {
	s, suspect := q.suspicions[key]
	if !suspect || likelier.answeredAt >= s.answeredAt {
		return
	}
	s.deaths = slices.DeleteFunc(s.deaths, func(f fatality) bool { return f.death == d })
	if len(s.deaths) == 0 {
		delete(q.suspicions, key)
	}
}
