package basilmoor

import (
	"context"
	"time"
)

// Millis is a duration in milliseconds, or an instant in milliseconds since an
// arbitrary origin that is fixed for the lifetime of the process.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to milliseconds, truncating towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is a monotonic clock in milliseconds. It also advances while the
// process is suspended, so that a lease holder that was paused sees on
// resumption that its lease has expired.
type Clock interface {
	// Now returns the current instant.
	Now() Millis

	// NewTimer returns a timer that fires once, d milliseconds from now. A
	// non-positive d fires immediately.
	NewTimer(d Millis) Timer

	// Sleep waits for d milliseconds or until ctx is done, and then returns
	// ctx.Err().
	Sleep(ctx context.Context, d Millis) error
}

// Timer is a one-shot timer created by a Clock.
type Timer interface {
	// C delivers the instant at which the timer fired.
	C() <-chan Millis

	// Stop cancels the timer. It does not close the channel.
	Stop()
}
