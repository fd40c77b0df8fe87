package bmadmin

import (
	"context"

	"basilmoor.example/basilmoor"
)

// HostStatus is what the node knows of one host.
type HostStatus struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	DataCentre    string `json:"data-centre"`
	ConfigVersion int64  `json:"config-version"`
	ConfigNote    string `json:"config-note"`
	Load          int    `json:"load"`
	Leaving       bool   `json:"leaving"`
}

// TargetStatus is one target as configured and as the host list marks it.
type TargetStatus struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving"`
}

// Status is the state of the node and of the fleet as the node sees it.
type Status struct {
	Host          string         `json:"host"`
	Ready         bool           `json:"ready"`
	ConfigVersion int64          `json:"config-version"`
	ConfigNote    string         `json:"config-note"`
	ConfigMode    string         `json:"config-mode"`
	ConfigReasons []string       `json:"config-reasons,omitempty"`
	InProgress    int            `json:"in-progress"`
	Hosts         []HostStatus   `json:"hosts"`
	Targets       []TargetStatus `json:"targets"`
	// Lagging names hosts whose configuration is older than this node's.
	Lagging []string `json:"lagging"`
}

// Acceptance is the result of a release note that was sent.
type Acceptance struct {
	Version int64  `json:"version"`
	Note    string `json:"note"`
	// Already is set when the same note had been accepted before.
	Already bool   `json:"already,omitempty"`
	Rebased bool   `json:"rebased,omitempty"`
	Plan    string `json:"plan"`
}

// Restored is the result of bringing a store forward that was set back.
type Restored struct {
	Version int64 `json:"version"`
}

// Problem is the body of an error response.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Faults lists every fault of a release note.
	Faults []string `json:"faults,omitempty"`
}

// ProblemError makes a backend's error an HTTP response.
type ProblemError struct {
	Problem Problem
}

func (e *ProblemError) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return e.Problem.Title + ": " + e.Problem.Detail
}

// Backend is the node behind the API. Errors that are a *ProblemError choose
// the response; all others are internal errors.
type Backend interface {
	Status() Status
	Counters() map[string]int64

	// CheckNote returns the plan of a release note against the catalog in
	// effect.
	CheckNote(ctx context.Context, note []byte) (plan string, err error)

	// AcceptNote makes the note the next version.
	AcceptNote(ctx context.Context, note []byte, author string) (Acceptance, error)

	// RestoreStore brings a store that was set back forward to the version
	// that this host holds, and returns that version.
	RestoreStore(ctx context.Context) (int64, error)

	// Crashes lists requests that crashed targets.
	Crashes() []basilmoor.Crash

	// LiftCrash allows a held-back request again, false if it is not known.
	LiftCrash(digest uint64) bool
}
