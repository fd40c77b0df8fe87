package bmcommand

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// Action is what a command does.
type Action string

// Actions.
const (
	LoadModel   Action = "load-model"
	LoadAdapter Action = "load-adapter"
	LoadVersion Action = "load-version"
	ChangeRole  Action = "change-role"
)

// disturbs reports whether an action breaks off running work, so that the
// target must be drained before.
func (a Action) disturbs() bool { return a == LoadVersion || a == ChangeRole }

// loads reports whether an action reads from the weight store.
func (a Action) loads() bool { return a != ChangeRole }

// Command is one call to a target.
type Command struct {
	ID     int64
	Target basilmoor.Target
	Action Action
	Value  string // model, adapter, version or role
	Fence  int64  // increases with each holder of the lease
}

// Report is what a target says of itself.
type Report struct {
	Models   []string
	Adapters []string
	Version  string
	Role     string
	Running  int              // requests in progress
	Age      basilmoor.Millis // time since the target took the measurement
}

// next returns the first difference between a report and the desired state.
// What a target has loaded beyond it stays.
func next(t basilmoor.Target, r Report) (Action, string, bool) {
	for _, m := range t.Models {
		if !slices.Contains(r.Models, m) {
			return LoadModel, m, true
		}
	}
	for _, a := range t.Adapters {
		if !slices.Contains(r.Adapters, a) {
			return LoadAdapter, a, true
		}
	}
	if t.Version != "" && t.Version != r.Version {
		return LoadVersion, t.Version, true
	}
	if t.Role != "" && t.Role != r.Role {
		return ChangeRole, t.Role, true
	}
	return "", "", false
}
