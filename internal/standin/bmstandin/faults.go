package bmstandin

import (
	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// CrashMarker is the text in a request body that crashes a target when the
// fault crash-on-marker is set.
const CrashMarker = "crash-target"

// Faults is the body of POST /v1/faults of a target. Fields that are absent
// stay as they are.
type Faults struct {
	// CrashNow ends the process: connections break, attempts to connect are
	// refused, and what the process held in memory is lost. The log of
	// executions stays.
	CrashNow bool `json:"crash-now,omitempty"`

	// CrashNext crashes the target when it starts the next request.
	CrashNext *bool `json:"crash-next,omitempty"`

	// CrashOnMarker crashes the target whenever it starts a request whose body
	// holds CrashMarker.
	CrashOnMarker *bool `json:"crash-on-marker,omitempty"`

	// Revive starts a crashed target afresh. ReviveAfterMillis does so on its
	// own that long after each crash, 0 for never.
	Revive            bool              `json:"revive,omitempty"`
	ReviveAfterMillis *basilmoor.Millis `json:"revive-after-ms,omitempty"`

	// SlowFactor multiplies the durations of the target.
	SlowFactor *float64 `json:"slow-factor,omitempty"`

	// StopResponding makes the open connections, except the one of this call,
	// silent for good: requests on them still run. New connections work.
	StopResponding bool `json:"stop-responding,omitempty"`

	// Refuse answers requests with 503 and the statement not-run. Leaving does
	// so too and adds the header Basilmoor-Leaving.
	Refuse  *bool `json:"refuse,omitempty"`
	Leaving *bool `json:"leaving,omitempty"`

	// LoseNextAnswers is the number of further requests that run in full and
	// whose connection is then closed without any byte of a response.
	LoseNextAnswers *int `json:"lose-next-answers,omitempty"`
}

func (f Faults) validate() error {
	if f.SlowFactor != nil && *f.SlowFactor <= 0 {
		return errors.New("slow-factor: want more than 0")
	}
	if f.LoseNextAnswers != nil && *f.LoseNextAnswers < 0 {
		return errors.New("lose-next-answers: want at least 0")
	}
	return nil
}

// faultState is what Faults changes.
type faultState struct {
	crashed       bool
	crashNext     bool
	crashOnMarker bool
	reviveAfter   basilmoor.Millis
	slow          float64
	refuse        bool
	leaving       bool
	lose          int
}

func (s *faultState) update(f Faults) {
	set(&s.crashNext, f.CrashNext)
	set(&s.crashOnMarker, f.CrashOnMarker)
	set(&s.reviveAfter, f.ReviveAfterMillis)
	set(&s.slow, f.SlowFactor)
	set(&s.refuse, f.Refuse)
	set(&s.leaving, f.Leaving)
	set(&s.lose, f.LoseNextAnswers)
}

func set[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}
