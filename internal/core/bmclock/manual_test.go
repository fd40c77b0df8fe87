package bmclock

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// A timer must fire exactly once, when its due time is reached.
func TestManualTimer(t *testing.T) {
	tests := map[string]struct {
		delay   basilmoor.Millis
		advance []basilmoor.Millis
		fired   bool
	}{
		"due immediately": {
			delay: 0,
			fired: true,
		},
		"not yet due": {
			delay:   10,
			advance: []basilmoor.Millis{9},
			fired:   false,
		},
		"due after two steps": {
			delay:   10,
			advance: []basilmoor.Millis{9, 1},
			fired:   true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewManual(5)
			timer := c.NewTimer(tt.delay)
			for _, d := range tt.advance {
				c.Advance(d)
			}
			select {
			case at := <-timer.C():
				require.True(t, tt.fired)
				require.Equal(t, 5+tt.delay, at)
			default:
				require.False(t, tt.fired)
			}
			c.Advance(basilmoor.Minute)
			if tt.fired {
				require.Empty(t, timer.C())
			}
		})
	}
}

// Sleep must return when its context ends.
func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, NewManual(0).Sleep(ctx, basilmoor.Second), context.Canceled)
}
