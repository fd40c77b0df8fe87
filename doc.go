// Package basilmoor declares the interfaces and immutable value types shared by
// the components of the request scheduler.
//
// Implementations are in internal/. This package holds no state, starts no
// goroutines and imports only the standard library.
//
// All durations and instants are in milliseconds, see [Millis]. Values are
// immutable: methods named With... return a modified copy, and a slice shared
// between the two is never written to.
package basilmoor
