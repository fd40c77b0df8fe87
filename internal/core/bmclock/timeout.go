package bmclock

import (
	"context"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// ErrTimeout is the cause of a context whose time limit by WithTimeout has
// passed.
var ErrTimeout = errors.New("time limit exceeded")

// WithTimeout returns a context that is cancelled with the cause ErrTimeout after
// d has passed on clock. The caller must call the returned function to release
// the timer.
func WithTimeout(ctx context.Context, clock basilmoor.Clock, d basilmoor.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &timeout{
		timer:  clock.NewTimer(d),
		cancel: cancel,
	}
	go t.run(ctx)
	return ctx, func() {
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

type timeout struct {
	timer  basilmoor.Timer
	cancel context.CancelCauseFunc
}

func (t *timeout) run(ctx context.Context) {
	select {
	case <-t.timer.C():
		t.cancel(ErrTimeout)
	case <-ctx.Done():
	}
}
