package bmclock

import (
	"context"
	"sort"
	"sync"

	"basilmoor.example/basilmoor"
)

// Manual is a clock for tests that advances only when Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu     sync.Mutex
	cond   *sync.Cond
	now    basilmoor.Millis
	timers []*manualTimer
}

var _ basilmoor.Clock = (*Manual)(nil)

// NewManual returns a clock whose current time is start.
func NewManual(start basilmoor.Millis) *Manual {
	c := &Manual{
		now: start,
	}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// Now returns the instant set by the last Advance.
func (c *Manual) Now() basilmoor.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// NewTimer returns a timer that fires when Advance reaches now + d.
func (c *Manual) NewTimer(d basilmoor.Millis) basilmoor.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{
		clock: c,
		due:   c.now + max(d, 0),
		ch:    make(chan basilmoor.Millis, 1),
	}
	if d <= 0 {
		t.ch <- c.now
		return t
	}
	c.timers = append(c.timers, t)
	c.cond.Broadcast()
	return t
}

// Sleep waits until Advance reaches now + d or ctx ends.
func (c *Manual) Sleep(ctx context.Context, d basilmoor.Millis) error {
	return sleep(ctx, c, d)
}

// Advance moves the clock forward by d and fires the timers that are due, in
// order of their due times.
func (c *Manual) Advance(d basilmoor.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += max(d, 0)
	sort.SliceStable(c.timers, func(i, j int) bool { return c.timers[i].due < c.timers[j].due })
	n := 0
	for n < len(c.timers) && c.timers[n].due <= c.now {
		c.timers[n].ch <- c.timers[n].due
		n++
	}
	c.timers = append([]*manualTimer(nil), c.timers[n:]...)
}

// WaitTimers blocks until at least n timers are pending, so that a test can
// advance the clock only after the code under test has started to wait.
func (c *Manual) WaitTimers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.timers) < n {
		c.cond.Wait()
	}
}

func (c *Manual) remove(t *manualTimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.timers {
		if o == t {
			c.timers = append(c.timers[:i:i], c.timers[i+1:]...)
			return
		}
	}
}

type manualTimer struct {
	clock *Manual
	due   basilmoor.Millis
	ch    chan basilmoor.Millis
}

func (t *manualTimer) C() <-chan basilmoor.Millis { return t.ch }

func (t *manualTimer) Stop() { t.clock.remove(t) }
