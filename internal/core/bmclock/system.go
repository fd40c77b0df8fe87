package bmclock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
)

// System is the operating system's clock since boot. It goes on while the host
// is suspended, unlike the clock behind time.Since, so that the age of a proof
// counts that time. Its origin is the start of the process.
type System struct {
	origin time.Duration
}

var _ basilmoor.Clock = (*System)(nil)

// NewSystem returns a clock whose origin is now.
func NewSystem() *System {
	return &System{
		origin: sinceBoot(),
	}
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock since boot: " + err.Error()) // Linux has it since 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Now returns the milliseconds since the clock was made.
func (c *System) Now() basilmoor.Millis {
	return basilmoor.FromDuration(sinceBoot() - c.origin)
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

// NoDeadline removes the deadline of a connection.
var NoDeadline time.Time

// WallAfter returns the deadline of a connection that ends d from now.
func WallAfter(d basilmoor.Millis) time.Time {
	return time.Now().Add(d.Duration())
}

// WallMillis returns the time of day in milliseconds of the Unix epoch. It may
// jump and differ between hosts: it serves only for instants that other hosts
// read.
func WallMillis() int64 {
	return time.Now().UnixMilli()
}
