package bmrollout

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
)

// AllowsNew reports whether a request may be granted a target of the new version. In
// the canary stage, retried requests go only to old targets.
func (r *Rollout) AllowsNew(now basilmoor.Millis, retried bool) bool {
	if r.recorded.Stage == StageCompleted || r.alone && r.stage != StageRolledBack {
		return true
	}
	if !r.Owned(now) {
		return false
	}
	switch r.stage {
	case StageCanary:
		return !retried && r.canaryBatchOpen()
	case StageShifting:
		// Until the stage is stored, a next owner would not know of the requests
		// beyond those reserved.
		return r.recorded.Stage == StageShifting && float64(r.shiftNew) <= r.plan.shareAt(now-r.began)*float64(r.shiftAll)
	case StageDraining, StageCompleted:
		return true
	}
	return false
}

// AllowsOld reports whether a request may be granted an old target.
func (r *Rollout) AllowsOld(now basilmoor.Millis) bool {
	switch r.stage {
	case StageDraining:
		return !r.Owned(now) || r.recorded.Stage != StageDraining
	case StageCompleted:
		return !r.Owned(now) && r.recorded.Stage != StageCompleted
	}
	return true
}

// usesAllNew reports whether requests may go to all targets of the new version, not only
// to the canaries.
func (r *Rollout) usesAllNew() bool {
	return r.stage == StageShifting || r.stage == StageDraining || r.stage == StageCompleted
}

// canaries returns how many targets of the new version get the requests of the canary
// stage.
func (r *Rollout) canaries(targets int) int {
	return max(minCanaries, int(r.bounds.ExposedShare*float64(targets)/2+0.5))
}

// canaryBatchOpen reports whether the canary targets may get requests: from when a full
// batch is within the limit until the limit is reached.
func (r *Rollout) canaryBatchOpen() bool {
	left := min(r.canaryLimit(0), r.recorded.Reserved) - r.exposed
	switch {
	case left <= 0:
		r.batchOpen = false
	case left >= canaryBatch:
		r.batchOpen = true
	}
	return r.batchOpen
}

// canaryLimit returns the number of requests that may go to the new version in the canary
// stage if the pool gets some more requests.
func (r *Rollout) canaryLimit(more int) int {
	return int(canaryBudget * (r.bounds.ExposedShare*float64(r.total+more) + r.bounds.ExposedSlack))
}

// Compare returns a negative number if a request is better granted a than b, both of which
// are allowed, a positive one if it is the reverse, and 0 if the versions don't matter.
// The new version comes first, since the number of its requests is bounded. In the canary
// stage they fill one target after the other: some versions are bad under load only.
func (r *Rollout) Compare(a, b basilmoor.Target, runningOnA, runningOnB int) int {
	newA, newB := r.IsNew(a), r.IsNew(b)
	switch {
	case newA != newB && newA:
		return -1
	case newA != newB:
		return 1
	case !newA || r.stage != StageCanary:
		return 0
	}
	return cmp.Or(cmp.Compare(runningOnB, runningOnA), cmp.Compare(r.granted[a.Name], r.granted[b.Name]))
}

// Granted counts a request that was granted a target.
func (r *Rollout) Granted(t basilmoor.Target) {
	toNew := r.IsNew(t)
	r.total++
	if toNew {
		r.exposed++
		r.granted[t.Name]++
	}
	if r.stage == StageShifting {
		r.shiftAll++
		if toNew {
			r.shiftNew++
		}
	}
}

// IsNew reports whether a target is of the new version.
func (r *Rollout) IsNew(t basilmoor.Target) bool {
	return t.Version == r.order.Version
}

// Usable returns the targets of a pool; those that get no requests in this stage have no
// slots, so that they don't count as capacity. Without an old target the new ones get all
// requests: nothing else can serve them.
func (r *Rollout) Usable(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Target {
	usable := slices.Clone(targets)
	fresh := 0
	for _, t := range targets {
		if r.IsNew(t) {
			fresh++
		}
	}
	r.alone = fresh == len(targets)
	if r.alone && r.stage != StageRolledBack {
		return usable
	}
	canaries := r.canaries(fresh)
	for i, t := range usable {
		switch {
		case !r.IsNew(t):
			if !r.AllowsOld(now) {
				usable[i].Slots = 0
			}
		case r.stage == StageRolledBack, !r.Owned(now) && r.recorded.Stage != StageCompleted:
			usable[i].Slots = 0
		case !r.usesAllNew() && !t.Leaving:
			if canaries == 0 {
				usable[i].Slots = 0
				continue
			}
			canaries--
		}
	}
	return usable
}
