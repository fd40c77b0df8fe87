// Package bmstore is an HTTP client for the platform's key-value service.
//
// A write is sent at most once. Every call is counted under its purpose before
// it is sent. If an error leaves it unknown whether a write took effect, it is
// a *basilmoor.UnavailableError.
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

	// Timeout limits one call, including the wait for the call budget. The
	// wait of a watch is added to it. 0 selects DefaultTimeout.
	Timeout basilmoor.Millis

	// ReadsPerSecond and WritesPerSecond limit the rate of calls of this
	// client together with the clients derived from it by WithPurpose. The
	// burst size is the number of calls of one second. 0 selects the default.
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
