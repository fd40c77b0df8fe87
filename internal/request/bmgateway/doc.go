// Package bmgateway is the HTTP listener for callers: it admits requests, waits
// for permission to dispatch them, and streams the responses back.
//
// Invariants: bad input never reaches the scheduler; every response carries
// Basilmoor-Request-Id and, as header or trailer, Basilmoor-Outcome; the
// outcome is the one of the request aggregate; a response that broke off never
// ends cleanly; a claimed request is dispatched only while its claim is fresh,
// and the end of each granted claim is recorded.
package bmgateway

import "basilmoor.example/basilmoor"

// Headers between callers and the gateway.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "Basilmoor-Non-Idempotent"
	HeaderTier           = "Basilmoor-Tier"
	HeaderReplayed       = "Basilmoor-Replayed"
)

// ChatPath is the path of requests to model engines.
const ChatPath = "/v1/chat/completions"

// ReasonNotRecorded refuses to repeat a request that is done but whose
// response was too large to be recorded.
const ReasonNotRecorded basilmoor.Reason = "answer-not-recorded"

// Bounds of requests.
const (
	MaxBodyBytes   = 4 << 20
	MaxHeaderBytes = 64 << 10
	// MaxAnswerBytes bounds a recorded response.
	MaxAnswerBytes = 16 << 10

	maxKeyBytes      = 255
	maxBufferedBytes = 256 << 10
	maxAttempts      = 3
	// maxPrefixDigests bounds what a demand tells of a long prompt; 128 blocks
	// are 8,192 tokens and 1 KiB on the wire.
	maxPrefixDigests = 128
	// defaultOutputTokens is assumed when neither request nor kind tell.
	defaultOutputTokens = 256

	defaultDeadline = 30 * basilmoor.Second
	// claimFresh bounds the time between claim and dispatch. It is well below
	// the 15 minutes after which the key may be claimed again.
	claimFresh = 5 * basilmoor.Minute
	// keyWait bounds how long a repeat waits for the request in progress.
	keyWait     = 10 * basilmoor.Second
	keyPoll     = 250 * basilmoor.Millis(1)
	readTimeout = 30 * basilmoor.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 30 * basilmoor.Second
)
