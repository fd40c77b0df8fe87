package bmadmin

import (
	"context"

	"basilmoor.example/basilmoor"
)

// HostStatus is the state of one host as known to the node.
type HostStatus struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	DataCentre    string `json:"data-centre"`
	ConfigVersion int64  `json:"config-version"`
	ConfigNote    string `json:"config-note"`
	Load          int    `json:"load"`
	Leaving       bool   `json:"leaving"`
}

// TargetStatus describes a target in the configuration. Leaving is taken from
// the platform's host list.
type TargetStatus struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data-centre"`
	Leaving    bool   `json:"leaving"`
}

// Status is the state of the node, and of the fleet as seen by the node.
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
	// Lagging lists the hosts whose configuration is older than this node's.
	Lagging []string `json:"lagging"`
}

// AcceptResult is the result of submitting a release note.
type AcceptResult struct {
	Version int64  `json:"version"`
	Note    string `json:"note"`
	// Already is set if the same note had been accepted before.
	Already bool   `json:"already,omitempty"`
	Rebased bool   `json:"rebased,omitempty"`
	Plan    string `json:"plan"`
}

// RestoreResult is the result of restoring the store. Version is the configuration
// version that the store now holds.
type RestoreResult struct {
	Version int64 `json:"version"`
}

// Problem is the body of an error response, in the format
// application/problem+json.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Faults lists all faults of a release note.
	Faults []string `json:"faults,omitempty"`
}

// ProblemError is an error that determines the HTTP response of a call.
type ProblemError struct {
	Problem Problem
}

func (e *ProblemError) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return e.Problem.Title + ": " + e.Problem.Detail
}

// Backend is the node served by the API. A *ProblemError determines the
// response; any other error is reported as an internal error.
type Backend interface {
	Status() Status
	Counters() map[string]int64

	// CheckNote returns the plan for applying a release note to the catalog in
	// effect.
	CheckNote(ctx context.Context, note []byte) (plan string, err error)

	// AcceptNote makes the note the next configuration version.
	AcceptNote(ctx context.Context, note []byte, author string) (AcceptResult, error)

	// RestoreStore writes the configuration version that this host holds to a
	// store that has fallen back to an earlier version. It returns that
	// version.
	RestoreStore(ctx context.Context) (int64, error)

	// Crashes returns the requests that crashed targets.
	Crashes() []basilmoor.Crash

	// LiftCrash allows a request that is held back to run again. It returns
	// false if the digest is unknown.
	LiftCrash(digest uint64) bool
}
