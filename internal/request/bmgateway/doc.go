// Package bmgateway implements the HTTP handler for callers: it validates and
// admits requests, acquires a permit from the scheduler, dispatches each request
// to a target and forwards the response.
//
// Invariants: invalid requests never reach the scheduler; every response carries
// Basilmoor-Request-Id and, as header or trailer, Basilmoor-Outcome; the outcome
// is that of the bmrequest.Request; a caller can always tell a truncated
// response from a complete one; a request that needs a claim is dispatched only
// within maxClaimAge of its claim, and the result of each granted claim is
// recorded.
package bmgateway

import "basilmoor.example/basilmoor"

// HTTP headers exchanged with callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "Basilmoor-Non-Idempotent"
	HeaderTier           = "Basilmoor-Tier"
	HeaderReplayed       = "Basilmoor-Replayed"
)

// ChatPath is the URL path of chat requests, which model engines serve.
const ChatPath = "/v1/chat/completions"

// ReasonResponseNotRecorded answers the repeat of a request that is done but whose
// response was too large to be recorded.
const ReasonResponseNotRecorded basilmoor.Reason = "answer-not-recorded"

// Limits on the size and duration of requests.
const (
	MaxBodyBytes   = 4 << 20
	MaxHeaderBytes = 64 << 10
	// MaxRecordedResponseBytes limits the body of a recorded response.
	MaxRecordedResponseBytes = 16 << 10

	maxIdempotencyKeyBytes = 255
	// maxBufferedBytes limits a response that is buffered rather than streamed.
	maxBufferedBytes    = 256 << 10
	maxDispatchAttempts = 3
	// maxPrefixDigests limits the prefix digests in a demand; 128 blocks cover
	// 8,192 tokens and take 1 KiB on the wire.
	maxPrefixDigests = 128
	// defaultOutputTokens is assumed when neither the request nor its kind gives
	// a number.
	defaultOutputTokens = 256

	defaultDeadline = 30 * basilmoor.Second
	// maxClaimAge limits the time between claim and dispatch. It is well below
	// the 15 minutes after which another request may claim the key.
	maxClaimAge = 5 * basilmoor.Minute
	// keyInProgressTimeout limits how long a repeat waits for the request that
	// holds the key.
	keyInProgressTimeout = 10 * basilmoor.Second
	keyPollInterval      = 250 * basilmoor.Millis(1)
	readTimeout          = 30 * basilmoor.Second
	// writeTimeout limits one write to a caller that does not read.
	writeTimeout = 30 * basilmoor.Second
)
