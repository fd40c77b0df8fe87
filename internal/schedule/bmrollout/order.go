package bmrollout

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
)

// Order is the operator's request to move a pool to a version.
type Order struct {
	Pool     string
	Version  string
	Duration basilmoor.Millis   // from the write of the order to its time limit
	At       basilmoor.Position // of the write; identifies the order
}

// State is the state of a rollout that the operator sees.
type State string

// States.
const (
	StateServing    State = "serving"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled-back"
)

// Status is the stored result of an order, which the operator reads.
type Status struct {
	Pool    string
	Version string
	State   State
	At      basilmoor.Position // of the write
}

// Bounds limit what a bad version may do. The zero value means that orders are not
// followed.
type Bounds struct {
	// ExposedShare and ExposedSlack limit the requests to a bad version to a share
	// of the pool's requests before the time limit plus a number.
	ExposedShare float64
	ExposedSlack float64
	// RollbackTime is the time from the 50th bad answer of a version until it must
	// get no more requests.
	RollbackTime basilmoor.Millis
}

// Enabled reports whether orders are followed.
func (b Bounds) Enabled() bool {
	return b.ExposedShare > 0 || b.ExposedSlack > 0
}

// View is what a host knows of the latest order for a pool.
type View struct {
	Order     Order
	LearnedAt basilmoor.Millis
	Status    Status // the latest one, possibly of an earlier order
	// StatusLearnedAt is when this host learned the status.
	StatusLearnedAt basilmoor.Millis
}

// oldExclusionTime is how long after a completion targets of other versions get no requests.
// The old targets have left the store by then; a target of another version that is still
// listed may be used.
const oldExclusionTime = 15 * basilmoor.Second

// StoredState returns the state in the status of the order, or "" if no status of it is
// stored.
func (v View) StoredState() State {
	if v.Status.Version == v.Order.Version && v.Order.At.Before(v.Status.At) {
		return v.Status.State
	}
	return ""
}

// State returns the state of the order.
func (v View) State() State {
	return cmp.Or(v.StoredState(), StateServing)
}

// WithoutDecided returns the targets of a pool, of which those that the decided order
// leaves without requests count as leaving. If no target of a completed version takes
// requests, or the completion was learned oldExclusionTime ago, the others stay in use.
func (v View) WithoutDecided(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Target {
	switch v.State() {
	case StateRolledBack:
		return withLeaving(targets, func(t basilmoor.Target) bool { return t.Version == v.Order.Version })
	case StateCompleted:
		if now-v.StatusLearnedAt >= oldExclusionTime {
			return targets
		}
		for _, t := range targets {
			if t.Version == v.Order.Version && !t.Leaving {
				return withLeaving(targets, func(t basilmoor.Target) bool { return t.Version != v.Order.Version })
			}
		}
	}
	return targets
}

// WithoutNew returns the targets of a pool as WithoutDecided does; those of the new
// version count as leaving until the order has completed, unless there are no others.
func (v View) WithoutNew(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Target {
	isNew := func(t basilmoor.Target) bool { return t.Version == v.Order.Version }
	isOld := func(t basilmoor.Target) bool { return !isNew(t) }
	if v.State() != StateServing || !slices.ContainsFunc(targets, isOld) {
		return v.WithoutDecided(now, targets)
	}
	return withLeaving(targets, isNew)
}

// withLeaving returns the targets, of which those that match count as leaving.
func withLeaving(targets []basilmoor.Target, match func(basilmoor.Target) bool) []basilmoor.Target {
	marked := make([]basilmoor.Target, 0, len(targets))
	for _, t := range targets {
		t.Leaving = t.Leaving || match(t)
		marked = append(marked, t)
	}
	return marked
}
