// Package bmstandinengine simulates a model engine with continuous batching for
// tests and the demo.
//
// Invariants:
//   - Requests are admitted to the batch in order of arrival, regardless of
//     priority.
//   - The batch never exceeds BatchLimit, and the tokens reserved by its
//     sequences never exceed CacheTokens.
//   - Each admission is logged as one execution.
//   - A sequence keeps running after its client disconnects, so that its stream
//     can be resumed, unless CancelOnDisconnect is set.
package bmstandinengine

import (
	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// DefaultOutputTokens is the output length of a request without max_tokens.
const DefaultOutputTokens = 16

// Settings configures an Engine. A step of the batch takes StepMillis, plus
// SequenceMillis for each decoding sequence, plus PrefillMillis for each prompt
// token computed in the step. Each step generates one output token for each
// sequence whose prompt is completely computed.
type Settings struct {
	Name string

	BatchLimit    int // maximum number of sequences in the batch
	CacheTokens   int // size of the KV cache; a sequence reserves its prompt and output tokens
	ContextTokens int // limit of prompt plus output tokens per request, 0 for none
	QueueLimit    int // limit of waiting requests, above which requests get 429; 0 for none
	PrefillChunk  int // maximum number of prompt tokens computed per step

	// PrefixCacheTokens is the size of the prefix cache, which is separate from
	// the KV cache of CacheTokens.
	PrefixCacheTokens int

	StepMillis     float64
	SequenceMillis float64
	PrefillMillis  float64

	// TransferMillis is the time to export or import one token of KV cache.
	TransferMillis float64

	// LoadMillis is the time to load a model, an adapter or a version.
	LoadMillis float64

	// TimeScale multiplies the durations above; 0.01 makes the engine 100
	// times faster.
	TimeScale float64

	Models   []string // if empty, the engine serves every model
	Adapters []string
	Version  string
	Role     string

	// CheckFencing rejects commands whose fencing number is lower than the
	// highest one seen.
	CheckFencing bool

	// CancelOnDisconnect cancels a sequence when its client disconnects.
	CancelOnDisconnect bool

	LoadReportDelay basilmoor.Millis // age of load reports

	// CacheEventDelay is the delay before cache events become visible.
	// CacheEventHistory is the number of events kept. Every
	// CacheEventDropEvery-th event is dropped; 0 drops none.
	CacheEventDelay     basilmoor.Millis
	CacheEventHistory   int
	CacheEventDropEvery int

	// KeepAlive is the interval of keep-alive comments on a stream that has no
	// token to send; 0 disables them. It is not scaled by TimeScale.
	KeepAlive basilmoor.Millis

	// Retention is how long an ended stream can still be read. It is not scaled
	// by TimeScale.
	Retention basilmoor.Millis
}

// DefaultSettings returns the settings of an engine that generates a token per
// sequence about every 10 ms when idle and about every 23 ms with a full batch.
func DefaultSettings() Settings {
	return Settings{
		Name:              "engine",
		BatchLimit:        32,
		CacheTokens:       65536,
		PrefillChunk:      512,
		PrefixCacheTokens: 32768,
		StepMillis:        10,
		SequenceMillis:    0.4,
		PrefillMillis:     0.05,
		TransferMillis:    0.005,
		LoadMillis:        2000,
		TimeScale:         1,
		Role:              "mixed",
		LoadReportDelay:   2 * basilmoor.Second,
		CacheEventDelay:   basilmoor.Second,
		CacheEventHistory: 1024,
		KeepAlive:         basilmoor.Second,
		Retention:         30 * basilmoor.Second,
	}
}

func (s Settings) validate() error {
	switch {
	case s.BatchLimit < 1:
		return errors.New("BatchLimit must be at least 1")
	case s.CacheTokens < 1:
		return errors.New("CacheTokens must be at least 1")
	case s.PrefillChunk < 1:
		return errors.New("PrefillChunk must be at least 1")
	case s.CacheEventHistory < 1:
		return errors.New("CacheEventHistory must be at least 1")
	case s.TimeScale <= 0:
		return errors.New("TimeScale must be greater than 0")
	case min(s.StepMillis, s.SequenceMillis, s.PrefillMillis, s.TransferMillis, s.LoadMillis) < 0:
		return errors.New("step, sequence, prefill, transfer and load durations must not be negative")
	}
	return nil
}
