// Package basilmoor declares the interfaces and immutable values that the
// parts of the request scheduler share.
//
// Implementations live below internal/. This package holds no state, starts no
// goroutine and imports only the standard library.
//
// All durations and instants are in milliseconds, see [Millis]. Values are
// immutable: With methods return a changed copy and never share a slice with
// the original for writing.
package basilmoor
