// Package bmdispatch sends one request to one target over HTTP/1.1 and streams
// the response back.
//
// The package maintains these invariants:
//   - The bytes of a request are written to at most one connection.
//   - The outcome "not run" is reported only if no byte was written to a
//     connection or if the target said so in a response that names the request, or
//     that is the first one on its connection.
//   - An interrupted engine stream is resumed on the same target. The request
//     itself is never sent again.
//   - A connection that delivers no byte within its time limit is closed.
//
// net/http retries a request by itself if a reused connection breaks before
// the first byte of the response and the request is replayable: it has no body
// or a GetBody function, and an idempotent method or an idempotency key
// header. Each request sent by this package therefore has a body that can be
// read only once, no GetBody and no such header, and bmrequest.Request rejects
// writes as soon as the attempt is over.
package bmdispatch

import "basilmoor.example/basilmoor"

// Settings holds the time limits and retry limits of an exchange.
type Settings struct {
	// ConnectTimeout limits the time to obtain a connection.
	ConnectTimeout basilmoor.Millis

	// FirstByteTimeout limits the time from the last byte sent to the first byte
	// received.
	FirstByteTimeout basilmoor.Millis

	// FirstByteNonStreamingTimeout replaces FirstByteTimeout for non-streaming
	// responses, which an engine sends only after it has generated all of the
	// output.
	FirstByteNonStreamingTimeout basilmoor.Millis

	// ReadIdleTimeout limits the time without a byte within a response. Engines
	// send keepalives more often than this.
	ReadIdleTimeout basilmoor.Millis

	// ResumeAttempts limits how often one stream is resumed.
	ResumeAttempts int

	// ResumeDelay is the pause before the second attempt to resume a stream.
	// It increases by the same amount with each further attempt. The first
	// attempt has no delay.
	ResumeDelay basilmoor.Millis
}

// DefaultSettings returns the limits used in production.
func DefaultSettings() Settings {
	return Settings{
		ConnectTimeout:               2 * basilmoor.Second,
		FirstByteTimeout:             30 * basilmoor.Second,
		FirstByteNonStreamingTimeout: 10 * basilmoor.Minute,
		ReadIdleTimeout:              15 * basilmoor.Second,
		ResumeAttempts:               3,
		ResumeDelay:                  200,
	}
}
