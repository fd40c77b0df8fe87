package bmstandin

import (
	"sync"

	"basilmoor.example/basilmoor"
)

// Delayed reports a recorded value with a delay. It is safe for concurrent use.
type Delayed[T any] struct {
	clock basilmoor.Clock

	mu      sync.Mutex
	delay   basilmoor.Millis
	samples []timedValue[T] // ordered by time; the first is the one to report
}

// timedValue is a value and the time at which it was recorded.
type timedValue[T any] struct {
	at    basilmoor.Millis
	value T
}

// NewDelayed returns a Delayed that reports first until delay has passed since a
// value was recorded.
func NewDelayed[T any](clock basilmoor.Clock, delay basilmoor.Millis, first T) *Delayed[T] {
	return &Delayed[T]{
		clock: clock,
		delay: max(delay, 0),
		samples: []timedValue[T]{
			{
				at:    clock.Now(),
				value: first,
			},
		},
	}
}

// Record sets the current value, which is reported once delay has passed.
func (d *Delayed[T]) Record(value T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.discardOutdated(now)
	// The first value is already being reported and must not change.
	if last := &d.samples[len(d.samples)-1]; len(d.samples) > 1 && last.at == now {
		last.value = value
		return
	}
	d.samples = append(d.samples, timedValue[T]{
		at:    now,
		value: value,
	})
}

// Report returns the value that was current delay milliseconds ago, or the
// oldest known one if there is none that old, and the age of the reported
// information.
func (d *Delayed[T]) Report() (T, basilmoor.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.discardOutdated(now)
	first := d.samples[0]
	return first.value, max(min(d.delay, now-first.at), 0)
}

// SetDelay changes the delay. A value that was replaced by a newer one in
// reports is not reported again.
func (d *Delayed[T]) SetDelay(delay basilmoor.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.discardOutdated(d.clock.Now())
	d.delay = max(delay, 0)
}

// discardOutdated removes the values that no later report can return.
func (d *Delayed[T]) discardOutdated(now basilmoor.Millis) {
	n := 0
	for n+1 < len(d.samples) && d.samples[n+1].at <= now-d.delay {
		n++
	}
	d.samples = d.samples[n:]
}
