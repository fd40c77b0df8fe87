// Package bmdispatch sends one request to one target over HTTP/1.1 and streams
// the response back.
//
// Invariants: the bytes of a request are handed to at most one connection;
// "not run" is reported only when no byte was handed to a connection or when
// the target stated it; a broken engine stream is resumed on the same target
// and never dispatched again; a connection that delivers no byte within its
// bound is abandoned.
//
// net/http resends a request on its own when a reused connection breaks before
// the first byte of the response and the request is replayable: it has no body
// or a GetBody function, and an idempotent method or an idempotency key
// header. Each request here therefore has a body that can be read once, no
// GetBody and no such header, and writes are refused by the aggregate as soon
// as the attempt is over.
package bmdispatch

import "basilmoor.example/basilmoor"

// Settings bound the parts of an exchange.
type Settings struct {
	// Connect bounds the time until a connection is there.
	Connect basilmoor.Millis

	// FirstByte bounds the time without a byte between the last byte sent and
	// the first byte received.
	FirstByte basilmoor.Millis

	// FirstByteWhole takes the place of FirstByte for a response that an
	// engine sends only when it has generated all of it.
	FirstByteWhole basilmoor.Millis

	// BetweenBytes bounds the time without a byte inside a response. Engines
	// send keepalives more often than this.
	BetweenBytes basilmoor.Millis

	// ResumeAttempts bounds the resumptions of one stream.
	ResumeAttempts int

	// ResumeDelay is the pause before the second resumption; it grows with
	// each further one.
	ResumeDelay basilmoor.Millis
}

// DefaultSettings returns the bounds used in production.
func DefaultSettings() Settings {
	return Settings{
		Connect:        2 * basilmoor.Second,
		FirstByte:      30 * basilmoor.Second,
		FirstByteWhole: 10 * basilmoor.Minute,
		BetweenBytes:   15 * basilmoor.Second,
		ResumeAttempts: 3,
		ResumeDelay:    200,
	}
}
