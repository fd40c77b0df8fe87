// Package bmclaim makes idempotency claims durable in the platform's store.
//
// Keys hash to 16 slots. Each slot is an append-only log of segments, stored
// under claims/<slot>/<sequence>. A committer appends a segment with a
// compare-and-swap that requires the key to be absent. If two committers
// append at once, one fails, reads the other's segment, and evaluates its
// batch again.
//
// The rate of store writes has a constant upper bound: a slot appends bursts
// of at most writeBurst segments and sustains one per writeInterval, and
// deletes at most trimBatch segments per trimPeriod. The bound holds per
// committer of a slot. It holds for the whole fleet while all hosts reach the
// slot owners; after a network partition, each side has its own bound.
//
// The store may come back from a copy that lacks the latest segments. Therefore two
// hosts know of each claim: its committer, which checks every second that the store still
// has what it knows of, and the host that ranks highest among the others for the slot,
// which it tells of each segment. A host that finds the log set back appends the claims
// that it knows and the log lacks. A committer that ranks first for a slot asks the others
// once before it relies on the log, any other asks before each commit. Not covered:
//   - The loss of both hosts together with a restoration.
//   - A change of the second host, or a message to it that is lost: each segment is sent
//     once, so that only the committer knows of its claims.
//   - A write that the store carries out after its restoration, which can hide claims
//     from a host that knows none of them.
//
// Invariants:
//   - A claim is granted only after its segment is part of the log.
//   - Each segment of a log names the batch of its predecessor, and follows it without
//     a gap unless the log was set back in between: then it goes on after the highest
//     sequence number that its writer knows of. A segment that a delayed writer stores
//     at the sequence number of a trimmed segment is therefore not part of the log.
//   - The last segment of a log is never deleted, so sequence numbers are
//     never reused while the store keeps what it has acknowledged.
//   - A committer that has not confirmed the end of the log for
//     viewTrustPeriod reads the log again before it relies on its own write.
//   - All committers use the same number of slots. The number can't change
//     while hosts with the old and the new number run together.
//   - Ages count from the time at which a committer first read or wrote a
//     segment, so claims may expire late but never early. A claim that is written
//     again carries its age.
package bmclaim

import "basilmoor.example/basilmoor"

// Slots is the number of logs over which keys are hashed. Fewer slots give
// fuller batches and shorter waits at the same write rate; more slots spread
// memory and traffic over more owners.
const Slots = 16

const (
	// claimWindow is how long a batch collects claims. The pacer may delay the
	// append further.
	claimWindow = 2 * basilmoor.Millis(1)
	// recordWindow is how long a record waits for a claim to share its batch.
	// Together with writeInterval and one store write it must stay below
	// ownerTimeout.
	recordWindow = 500 * basilmoor.Millis(1)
	// writeInterval is the sustained interval between appends to a slot. The
	// 16 slots together make 89 appends per second, and as many deletions.
	writeInterval = 180 * basilmoor.Millis(1)
	// writeBurst is the number of appends that an idle slot may make without
	// delay, so that claims rarely wait at low rates.
	writeBurst = 4
	// claimExpiry is the age at which a claim no longer protects its key.
	claimExpiry = 15 * basilmoor.Minute
	// trimAge is the age at which a segment is deleted. It exceeds
	// claimExpiry, so that no committer that still trusts its view misses a
	// segment.
	trimAge = claimExpiry + basilmoor.Minute
	// viewTrustPeriod bounds how long a committer may assume that its view
	// ends where the log ends. It is less than trimAge, so no segment appended
	// within the period can already have been deleted.
	viewTrustPeriod = 10 * basilmoor.Minute
	// maxRunningViewAge bounds the age of a view that reports a claim as
	// running, because another committer may have recorded the claim's end.
	maxRunningViewAge = basilmoor.Second
	// holderLivenessGrace is the minimum age of a claim whose holder may be
	// considered dead, because membership can lag behind a new host.
	holderLivenessGrace = 10 * basilmoor.Second
	// trimPeriod and trimBatch limit a slot to 6 deletions per second. This
	// exceeds its append rate, so that a backlog shrinks.
	trimPeriod = basilmoor.Second
	trimBatch  = 6
	// slotIdleAge is the time without a commit after which the slot is assumed
	// to be in use by another committer. idleTrimDelay is the extra age that a
	// segment must then have, so that the other committer deletes it first.
	slotIdleAge   = basilmoor.Minute
	idleTrimDelay = basilmoor.Minute

	maxBatchEntries     = 256
	maxBatchBytes       = 384 << 10
	maxEntryBytes       = 32 << 10
	maxAnswerBytes      = 16 << 10
	maxQueuedOperations = 4096
	// maxAppendAttempts bounds the attempts to write a segment whose outcome
	// the store does not report.
	maxAppendAttempts = 4
	appendRetryDelay  = 50 * basilmoor.Millis(1)
	// maxCommitAttempts bounds how often a batch is evaluated. Each conflict
	// with another committer uses up an attempt.
	maxCommitAttempts = 16
)
