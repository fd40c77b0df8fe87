package bmcommand

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// Action is the kind of a command.
type Action string

// Actions that bring a target to its desired state.
const (
	LoadModel   Action = "load-model"
	LoadAdapter Action = "load-adapter"
	LoadVersion Action = "load-version"
	ChangeRole  Action = "change-role"
)

// requiresDrain reports whether the action interrupts running work, so that the
// target must be drained first.
func (a Action) requiresDrain() bool { return a == LoadVersion || a == ChangeRole }

// readsWeights reports whether the action reads from the weight store.
func (a Action) readsWeights() bool { return a != ChangeRole }

// Command asks a target to carry out one action.
type Command struct {
	ID            int64
	Target        basilmoor.Target
	Action        Action
	Value         string // model, adapter, version or role
	FencingNumber int64  // fencing number, which increases with each holder of the lease
}

// Report is the state that a target reports.
type Report struct {
	Models   []string
	Adapters []string
	Version  string
	Role     string
	Running  int              // requests in progress
	Age      basilmoor.Millis // time since the target measured its state
}

// nextAction returns the action that resolves the first difference between the
// reported and the desired state, and its value. Models and adapters that a
// target has loaded in addition are kept.
func nextAction(t basilmoor.Target, r Report) (Action, string, bool) {
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
