package bmclock

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// The context must end at the time limit and not before, with the cause
// ErrTimeout, and cancelling it must remove its timer from the clock.
func TestWithTimeout(t *testing.T) {
	c := NewManual(0)
	ctx, cancel := WithTimeout(context.Background(), c, basilmoor.Second)
	defer cancel()
	c.Advance(basilmoor.Second - 1)
	require.NoError(t, ctx.Err())
	c.Advance(1)
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), ErrTimeout)

	cancelled, cancelEarly := WithTimeout(context.Background(), c, basilmoor.Second)
	cancelEarly()
	require.ErrorIs(t, context.Cause(cancelled), context.Canceled)
	require.Empty(t, c.timers)
}
