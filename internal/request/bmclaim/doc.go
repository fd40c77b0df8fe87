// Package bmclaim makes idempotency claims durable in the platform's store.
//
// Keys hash to 16 slots. A slot is a log of segments claims/<slot>/<sequence>.
// A committer appends a segment with a compare-and-swap that demands that the
// key does not exist, so that of two committers one loses, reads what it lost
// to, and decides again.
//
// The store's writes are bounded by a constant: a slot appends at most
// writeBurst segments at once and one per writeInterval in the long run, and
// deletes at most trimBatch per trimPeriod. The bound is per committer of a
// slot, so it is the fleet's as long as the owners are reached; each part of a
// divided fleet has its own.
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
//   - all committers distribute keys over the same number of slots, so that it
//     can't change while hosts of both numbers run;
//   - ages count from the moment at which a committer first saw a segment, so
//     that a claim expires late rather than early.
package bmclaim

import "basilmoor.example/basilmoor"

// Slots is the number of logs that keys are distributed over. Fewer slots make
// fuller batches and shorter waits under the same write budget; more slots
// spread the memory and the traffic over more owners.
const Slots = 16

const (
	// window is how long a batch collects claims if the slot may write.
	window = 2 * basilmoor.Millis(1)
	// recordWindow is how long a record waits for a claim to be written with.
	// With writeInterval and a write it stays below ownerBound.
	recordWindow = 500 * basilmoor.Millis(1)
	// writeInterval is the least time between two appends of a slot in the
	// long run. 16 slots make 89 appends a second, and as many deletions.
	writeInterval = 180 * basilmoor.Millis(1)
	// writeBurst is the number of appends that a slot may make at once after
	// it has been quiet, so that a claim rarely waits at low rates.
	writeBurst = 4
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
	// trimPeriod and trimBatch bound the deletions of a slot to 6 a second. That
	// is more than its appends, so that a backlog shrinks.
	trimPeriod = basilmoor.Second
	trimBatch  = 6
	// idleAge is the time without a commit after which another committer is
	// expected to use the slot, and idleGrace is the time that it is given to
	// delete a segment first.
	idleAge   = basilmoor.Minute
	idleGrace = basilmoor.Minute

	maxBatchEntries = 256
	maxBatchBytes   = 384 << 10
	maxEntryBytes   = 32 << 10
	maxAnswerBytes  = 16 << 10
	maxQueued       = 4096
	// appendTries bounds the attempts to learn whether a segment was written.
	appendTries = 4
	appendPause = 50 * basilmoor.Millis(1)
	// decideTries bounds how often a batch loses against other committers.
	decideTries = 16
)
