package basilmoor

import (
	"context"
	"time"
)

// Millis is a duration, or an instant as milliseconds since an arbitrary
// origin that is fixed for the life of the process.
type Millis int64

// Named durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration converts m to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is a monotonic clock in milliseconds. It is never set back and keeps
// running while the process is stopped, so that a paused holder of a lease
// sees after its resumption that the lease has expired.
type Clock interface {
	// Now returns the current instant.
	Now() Millis

	// NewTimer returns a timer that fires once, d milliseconds from now. A
	// non-positive d fires at once.
	NewTimer(d Millis) Timer

	// Sleep waits for d milliseconds or until ctx ends, and then returns the
	// error of ctx.
	Sleep(ctx context.Context, d Millis) error
}

// Timer fires once on the clock that made it.
type Timer interface {
	// C delivers the instant at which the timer fired.
	C() <-chan Millis

	// Stop releases the timer. It does not close the channel.
	Stop()
}
