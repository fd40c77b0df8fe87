package bmstandin

import (
	"sync"

	"basilmoor.example/basilmoor"
)

// Lagging holds a value that is reported as it was some time ago. It is safe
// for concurrent use.
type Lagging[T any] struct {
	clock basilmoor.Clock

	mu      sync.Mutex
	lag     basilmoor.Millis
	samples []sample[T] // in order; the first is the one to report
}

type sample[T any] struct {
	at    basilmoor.Millis
	value T
}

// NewLagging returns a holder whose first value is reported at once.
func NewLagging[T any](clock basilmoor.Clock, lag basilmoor.Millis, first T) *Lagging[T] {
	return &Lagging[T]{
		clock: clock,
		lag:   max(lag, 0),
		samples: []sample[T]{
			{
				at:    clock.Now(),
				value: first,
			},
		},
	}
}

// Record sets the present value.
func (l *Lagging[T]) Record(value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.trim(now)
	// The first sample is already reported and must not change.
	if last := &l.samples[len(l.samples)-1]; len(l.samples) > 1 && last.at == now {
		last.value = value
		return
	}
	l.samples = append(l.samples, sample[T]{
		at:    now,
		value: value,
	})
}

// Report returns the value of lag milliseconds ago, or the first one if the
// holder is younger, and the age of what it tells.
func (l *Lagging[T]) Report() (T, basilmoor.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.trim(now)
	first := l.samples[0]
	return first.value, max(min(l.lag, now-first.at), 0)
}

// SetLag changes the lag. Values that were already reported do not return.
func (l *Lagging[T]) SetLag(lag basilmoor.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(l.clock.Now())
	l.lag = max(lag, 0)
}

// trim drops the samples that no later report can show.
func (l *Lagging[T]) trim(now basilmoor.Millis) {
	n := 0
	for n+1 < len(l.samples) && l.samples[n+1].at <= now-l.lag {
		n++
	}
	l.samples = l.samples[n:]
}
