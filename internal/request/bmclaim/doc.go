// Package bmclaim makes idempotency claims durable in the platform's store.
//
// Keys hash to 64 slots. A slot is a log of segments claims/<slot>/<sequence>.
// A committer appends a segment with a compare-and-swap that demands that the
// key does not exist, so that of two committers one loses, reads what it lost
// to, and decides again.
//
// Invariants:
//   - a claim is granted only when its segment is part of the log;
//   - the segments of the log are contiguous and each names the batch before
//     it, so that a segment that a late writer put where a trimmed one was is
//     not part of the log;
//   - the last segment of a log is never deleted, so that sequence numbers are
//     never used again;
//   - a committer that has not seen the end of the log for trustMillis reads it
//     again before it believes its own write;
//   - ages count from the moment at which a committer first saw a segment, so
//     that a claim expires late rather than early.
package bmclaim

import "basilmoor.example/basilmoor"

// Slots is the number of logs that keys are distributed over.
const Slots = 64

const (
	// window is how long a batch collects claims.
	window = 5 * basilmoor.Millis(1)
	// expiry is the age at which a claim no longer protects its key.
	expiry = 15 * basilmoor.Minute
	// trimAge is the age at which a segment is deleted. It exceeds expiry, so
	// that no committer that still trusts its view misses a segment.
	trimAge = expiry + basilmoor.Minute
	// trustMillis bounds how long a committer may believe that it knows the
	// end of the log. It is below trimAge: within it, no segment that was
	// appended since can have been deleted again.
	trustMillis = 10 * basilmoor.Minute
	// freshMillis bounds the age of a view that says "running": another
	// committer may have recorded the end of the claim.
	freshMillis = basilmoor.Second
	// holderGrace is the least age of a claim whose holder may count as dead,
	// because the membership can lag behind a new host.
	holderGrace = 10 * basilmoor.Second
	// trimPeriod is the time between two deletions of old segments.
	trimPeriod = basilmoor.Minute

	maxBatchEntries = 256
	maxBatchBytes   = 256 << 10
	maxEntryBytes   = 32 << 10
	maxAnswerBytes  = 16 << 10
	maxQueued       = 4096
	// appendTries bounds the attempts to learn whether a segment was written.
	appendTries = 4
	appendPause = 50 * basilmoor.Millis(1)
	// decideTries bounds how often a batch loses against other committers.
	decideTries = 16
)
