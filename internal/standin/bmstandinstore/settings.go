// Package bmstandinstore stands in for the platform's key-value service.
//
// Invariants: the revision grows by one with each change of a key, except that
// a restoration sets it back; a watch returns every change after the given
// revision or reports that the history is gone; a lapsed lease and its keys
// are never visible to a call.
package bmstandinstore

import "basilmoor.example/basilmoor"

// DefaultHistory is the number of changes that watches can go back by default.
const DefaultHistory = 4096

// Settings configures a Store.
type Settings struct {
	// ReadsPerSecond and WritesPerSecond limit the calls; 0 is no limit.
	// Leases count as writes, watches as one read each. The burst is the
	// allowance of one second.
	ReadsPerSecond  int
	WritesPerSecond int

	// History is the number of changes that are kept for watches and for
	// restorations. 0 selects DefaultHistory.
	History int
}

// Faults is the body of POST /v1/faults. Fields that are absent stay as they
// are.
type Faults struct {
	// Outage closes the connection of every call, and of the pending watches,
	// without an answer. Nothing takes effect.
	Outage *bool `json:"outage,omitempty"`

	// SlownessMillis delays each call before it takes effect. The call takes
	// effect even if the client has left meanwhile.
	SlownessMillis *basilmoor.Millis `json:"slowness-ms,omitempty"`

	// LoseNextAnswers is the number of further writes that take effect and
	// whose connection is then closed without an answer.
	LoseNextAnswers *int `json:"lose-next-answers,omitempty"`

	// RestoreToRevision sets the store back to an older state, as the
	// restoration of a backup does. Pending watches are not told.
	RestoreToRevision *int64 `json:"restore-to-revision,omitempty"`

	// StopResponding makes the open connections, except the one of this call,
	// silent for good: calls on them still take effect. New connections work.
	StopResponding bool `json:"stop-responding,omitempty"`
}
