package bmstandin

import (
	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// CrashMarker in a request body crashes the target if the crash-on-marker
// fault is set.
const CrashMarker = "crash-target"

// Faults is the body of a target's POST /v1/faults, which injects faults.
// Absent fields leave the corresponding faults unchanged.
type Faults struct {
	// CrashNow simulates the death of the process: open connections break, new
	// connections are refused, and in-memory state is lost. The execution log
	// is kept.
	CrashNow bool `json:"crash-now,omitempty"`

	// CrashNext crashes the target when it starts the next request.
	CrashNext *bool `json:"crash-next,omitempty"`

	// CrashOnMarker crashes the target whenever it starts a request whose body
	// contains CrashMarker.
	CrashOnMarker *bool `json:"crash-on-marker,omitempty"`

	// Revive restarts a crashed target with empty state. ReviveAfterMillis is
	// the delay after each crash before an automatic restart; 0 disables it.
	Revive            bool              `json:"revive,omitempty"`
	ReviveAfterMillis *basilmoor.Millis `json:"revive-after-ms,omitempty"`

	// SlowFactor multiplies the simulated durations of the target.
	SlowFactor *float64 `json:"slow-factor,omitempty"`

	// StopResponding permanently discards all responses on the connections
	// that are open, except the connection of this call. Requests on them are
	// still executed. New connections work normally.
	StopResponding bool `json:"stop-responding,omitempty"`

	// Refuse rejects requests with status 503 and Basilmoor-Outcome: not-run.
	// Leaving does the same and adds the Basilmoor-Leaving header.
	Refuse  *bool `json:"refuse,omitempty"`
	Leaving *bool `json:"leaving,omitempty"`

	// DropNextResponses is the number of upcoming requests that run to
	// completion but whose connection is then closed before any byte of the
	// response is sent.
	DropNextResponses *int `json:"lose-next-answers,omitempty"`
}

func (f Faults) validate() error {
	if f.SlowFactor != nil && *f.SlowFactor <= 0 {
		return errors.New("slow-factor: want more than 0")
	}
	if f.DropNextResponses != nil && *f.DropNextResponses < 0 {
		return errors.New("lose-next-answers: want at least 0")
	}
	return nil
}

// faultState holds the faults that are in effect.
type faultState struct {
	crashed         bool
	crashNext       bool
	crashOnMarker   bool
	reviveAfter     basilmoor.Millis
	slowFactor      float64
	refuse          bool
	leaving         bool
	responsesToDrop int
}

func (s *faultState) update(f Faults) {
	setIfPresent(&s.crashNext, f.CrashNext)
	setIfPresent(&s.crashOnMarker, f.CrashOnMarker)
	setIfPresent(&s.reviveAfter, f.ReviveAfterMillis)
	setIfPresent(&s.slowFactor, f.SlowFactor)
	setIfPresent(&s.refuse, f.Refuse)
	setIfPresent(&s.leaving, f.Leaving)
	setIfPresent(&s.responsesToDrop, f.DropNextResponses)
}

// setIfPresent assigns *value to *target unless value is nil.
func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}
