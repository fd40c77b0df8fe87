package bmstandin

import (
	"sync"

	"basilmoor.example/basilmoor"
)

// Delayed reports a recorded value with a delay. It is safe for concurrent use.
type Delayed[T any] struct {
	clock basilmoor.Clock

	mu      sync.Mutex
	lag     basilmoor.Millis
	samples []timedValue[T] // ordered by time; the first is the one to report
}

// timedValue is a value and the time at which it was recorded.
type timedValue[T any] struct {
	at    basilmoor.Millis
	value T
}

// NewDelayed returns a Delayed that reports first until a recorded value has
// reached the age lag.
func NewDelayed[T any](clock basilmoor.Clock, lag basilmoor.Millis, first T) *Delayed[T] {
	return &Delayed[T]{
		clock: clock,
		lag:   max(lag, 0),
		samples: []timedValue[T]{
			{
				at:    clock.Now(),
				value: first,
			},
		},
	}
}

// Record sets the current value, which is reported once lag has passed.
func (l *Delayed[T]) Record(value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.discardOutdated(now)
	// The first value is already being reported and must not change.
	if last := &l.samples[len(l.samples)-1]; len(l.samples) > 1 && last.at == now {
		last.value = value
		return
	}
	l.samples = append(l.samples, timedValue[T]{
		at:    now,
		value: value,
	})
}

// Report returns the value that was current lag milliseconds ago, or the oldest
// known one if there is none that old, and the age of the reported information.
func (l *Delayed[T]) Report() (T, basilmoor.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.discardOutdated(now)
	first := l.samples[0]
	return first.value, max(min(l.lag, now-first.at), 0)
}

// SetLag changes the lag. A value that was replaced by a newer one in reports
// is not reported again.
func (l *Delayed[T]) SetLag(lag basilmoor.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discardOutdated(l.clock.Now())
	l.lag = max(lag, 0)
}

// discardOutdated removes the values that no later report can return.
func (l *Delayed[T]) discardOutdated(now basilmoor.Millis) {
	n := 0
	for n+1 < len(l.samples) && l.samples[n+1].at <= now-l.lag {
		n++
	}
	l.samples = l.samples[n:]
}
