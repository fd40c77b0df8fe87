// Package bmstore is the HTTP client of the platform's key-value service.
//
// Invariants: a write is sent at most once; every call is counted by purpose
// before it is sent; an error that leaves the effect of a write unknown is an
// *basilmoor.UnavailableError.
package bmstore

import "basilmoor.example/basilmoor"

// Default values of Settings.
const (
	DefaultTimeout         = 2 * basilmoor.Second
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 10
	DefaultPurpose         = "other"
)

// Settings configures a Client.
type Settings struct {
	// BaseURL is the service's URL without a path, for example
	// "http://10.0.0.1:2400".
	BaseURL string

	// Timeout bounds one call, including the wait for the call budget. A
	// watch has its waiting time in addition. 0 selects DefaultTimeout.
	Timeout basilmoor.Millis

	// ReadsPerSecond and WritesPerSecond bound the calls of this client and
	// all its views. The burst is the allowance of one second. 0 selects the
	// default.
	ReadsPerSecond  int
	WritesPerSecond int
}

func (s Settings) withDefaults() Settings {
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	if s.ReadsPerSecond <= 0 {
		s.ReadsPerSecond = DefaultReadsPerSecond
	}
	if s.WritesPerSecond <= 0 {
		s.WritesPerSecond = DefaultWritesPerSecond
	}
	return s
}
