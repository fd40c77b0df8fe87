package bmclock

import (
	"context"
	"sync"
	"time"

	"basilmoor.example/basilmoor"
)

// System is the operating system's monotonic clock. Its origin is the start of
// the process.
type System struct {
	origin time.Time
}

var _ basilmoor.Clock = (*System)(nil)

// NewSystem returns a clock whose origin is now.
func NewSystem() *System {
	return &System{
		origin: time.Now(),
	}
}

// Now returns the milliseconds since the clock was made.
func (c *System) Now() basilmoor.Millis {
	return basilmoor.FromDuration(time.Since(c.origin))
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
