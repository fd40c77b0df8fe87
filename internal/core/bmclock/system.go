package bmclock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
)

// System reads CLOCK_BOOTTIME. Unlike the monotonic clock behind time.Since, it
// continues while the host is suspended, so that the age of a host's view
// includes that time. Its origin is the call of NewSystem.
type System struct {
	origin time.Duration
}

var _ basilmoor.Clock = (*System)(nil)

// NewSystem returns a clock that starts at 0.
func NewSystem() *System {
	return &System{
		origin: timeSinceBoot(),
	}
}

func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Now returns the milliseconds since the clock was created.
func (c *System) Now() basilmoor.Millis {
	return basilmoor.FromDuration(timeSinceBoot() - c.origin)
}

// NewTimer returns a timer that fires after d.
func (c *System) NewTimer(d basilmoor.Millis) basilmoor.Timer {
	t := &systemTimer{
		ch: make(chan basilmoor.Millis, 1),
	}
	t.timer = time.AfterFunc(max(d, 0).Duration(), func() {
		t.once.Do(func() { t.ch <- c.Now() })
	})
	return t
}

// Sleep waits for d or until ctx ends.
func (c *System) Sleep(ctx context.Context, d basilmoor.Millis) error {
	return sleep(ctx, c, d)
}

type systemTimer struct {
	timer *time.Timer
	once  sync.Once
	ch    chan basilmoor.Millis
}

func (t *systemTimer) C() <-chan basilmoor.Millis { return t.ch }

func (t *systemTimer) Stop() { t.timer.Stop() }

func sleep(ctx context.Context, c basilmoor.Clock, d basilmoor.Millis) error {
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C():
		return nil
	}
}

// NoDeadline is the zero time, which removes the deadline of a connection.
var NoDeadline time.Time

// WallDeadline returns the wall clock time d from now, for use as the deadline
// of a connection.
func WallDeadline(d basilmoor.Millis) time.Time {
	return time.Now().Add(d.Duration())
}

// UnixMillis returns the wall clock time in milliseconds since the Unix epoch.
// The wall clock may jump and may differ between hosts. Use it only for instants
// that other hosts read.
func UnixMillis() int64 {
	return time.Now().UnixMilli()
}
