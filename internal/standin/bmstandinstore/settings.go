// Package bmstandinstore simulates the platform's key-value service for tests and
// the demo.
//
// Invariants:
//   - The revision increases by one with each change of a key. Only restoring a
//     backup decreases it.
//   - A watch returns every change after the given revision, or reports that
//     the history has been compacted.
//   - An expired lease and its keys are never visible to a call.
package bmstandinstore

import "basilmoor.example/basilmoor"

// DefaultHistoryLimit is the default number of changes kept for watches.
const DefaultHistoryLimit = 4096

// Settings configures a Store.
type Settings struct {
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means no limit.
	// Lease calls count as writes, and each watch counts as one read. The
	// burst size is the number of calls allowed in one second.
	ReadsPerSecond  int
	WritesPerSecond int

	// HistoryLimit is the number of changes kept for watches and for restoring
	// an older revision. 0 selects DefaultHistoryLimit.
	HistoryLimit int
}

// Faults is the body of POST /v1/faults, which injects faults. Absent fields
// leave the corresponding faults unchanged.
type Faults struct {
	// Outage closes the connection of every call, including pending watches,
	// without a response. Calls have no effect.
	Outage *bool `json:"outage,omitempty"`

	// SlownessMillis delays each call before it takes effect. The call takes
	// effect even if the client disconnects during the delay.
	SlownessMillis *basilmoor.Millis `json:"slowness-ms,omitempty"`

	// DropNextResponses is the number of upcoming writes that take effect but
	// whose connection is then closed without a response.
	DropNextResponses *int `json:"lose-next-answers,omitempty"`

	// RestoreToRevision resets the store to its state at an older revision, as
	// restoring a backup does. Pending watches are not notified.
	RestoreToRevision *int64 `json:"restore-to-revision,omitempty"`

	// StopResponding permanently discards all responses on the connections
	// that are open, except the connection of this call. Calls on them still
	// take effect. New connections work normally.
	StopResponding bool `json:"stop-responding,omitempty"`
}
