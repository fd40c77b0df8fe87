// Package bmstandinengine stands in for a model engine with continuous
// batching.
//
// Invariants: requests are admitted to the batch in the order of their arrival
// and without regard to priority; the batch never exceeds its limit, and the
// tokens reserved by its sequences never exceed the KV cache; each admission is
// logged as one execution; a sequence runs on after its client left, unless the
// settings say otherwise, so that its stream can be resumed.
package bmstandinengine

import (
	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// DefaultOutputTokens is the output length of a request without max_tokens.
const DefaultOutputTokens = 16

// Settings configures an Engine. The model of time is: one step of the batch
// takes StepMillis, plus SequenceMillis for each sequence that decodes, plus
// PrefillMillis for each prompt token that is computed in the step; each
// sequence whose prompt is computed gains one token.
type Settings struct {
	Name string

	BatchLimit    int // sequences in the batch
	CacheTokens   int // KV cache; a sequence reserves its prompt and its output
	ContextTokens int // bound of prompt and output of one request, 0 for none
	QueueLimit    int // waiting requests, 0 for no bound; above it 429
	PrefillChunk  int // prompt tokens that one step computes at most

	// PrefixCacheTokens is the memory of the prefix cache, beside CacheTokens.
	PrefixCacheTokens int

	StepMillis     float64
	SequenceMillis float64
	PrefillMillis  float64

	// TransferMillis is the time to export or import one token of KV cache.
	TransferMillis float64

	// LoadMillis is the time to load a model, an adapter or a version.
	LoadMillis float64

	// TimeScale multiplies the durations above; 0.01 makes the engine a
	// hundred times faster.
	TimeScale float64

	Models   []string // empty serves every model
	Adapters []string
	Version  string
	Role     string

	// CheckFencing rejects commands whose fencing number is lower than the
	// highest one seen.
	CheckFencing bool

	// CancelOnDisconnect cancels a sequence when its client leaves.
	CancelOnDisconnect bool

	LoadLag basilmoor.Millis // age of load reports

	// CacheEventDelay is the age at which cache events become visible.
	// CacheEventHistory is the number of events that are kept. Every
	// CacheEventDropEvery-th event is lost, 0 for none.
	CacheEventDelay     basilmoor.Millis
	CacheEventHistory   int
	CacheEventDropEvery int

	// KeepAlive is the interval of comments on a stream that has no token to
	// send, 0 for none. It is not scaled.
	KeepAlive basilmoor.Millis

	// Retention is how long an ended stream can still be read. It is not
	// scaled.
	Retention basilmoor.Millis
}

// DefaultSettings returns an engine that decodes at about 10 ms between tokens
// when it is idle and at about 23 ms with a full batch.
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
		LoadLag:           2 * basilmoor.Second,
		CacheEventDelay:   basilmoor.Second,
		CacheEventHistory: 1024,
		KeepAlive:         basilmoor.Second,
		Retention:         30 * basilmoor.Second,
	}
}

func (s Settings) validate() error {
	switch {
	case s.BatchLimit < 1:
		return errors.New("batch limit: want at least 1")
	case s.CacheTokens < 1:
		return errors.New("KV cache: want at least 1 token")
	case s.PrefillChunk < 1:
		return errors.New("prefill chunk: want at least 1 token")
	case s.CacheEventHistory < 1:
		return errors.New("cache event history: want at least 1")
	case s.TimeScale <= 0:
		return errors.New("time scale: want more than 0")
	case min(s.StepMillis, s.SequenceMillis, s.PrefillMillis, s.TransferMillis, s.LoadMillis) < 0:
		return errors.New("durations: want at least 0")
	}
	return nil
}
