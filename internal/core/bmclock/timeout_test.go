package bmclock

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a limit that ends early or without its cause, and against one
// whose timer stays on the clock after its call has ended.
func TestWithTimeout(t *testing.T) {
	c := NewManual(0)
	ctx, cancel := WithTimeout(context.Background(), c, basilmoor.Second)
	defer cancel()
	c.Advance(basilmoor.Second - 1)
	require.NoError(t, ctx.Err())
	c.Advance(1)
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), ErrTimeout)

	ended, end := WithTimeout(context.Background(), c, basilmoor.Second)
	end()
	require.ErrorIs(t, context.Cause(ended), context.Canceled)
	require.Empty(t, c.timers)
}
