package bmdispatch

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Guards against a connection that goes silent within a response and is closed
// only after the longer limit for the first byte, because loop went to sleep
// before the first byte arrived. This made TestSilentConnections take 62 s, by
// which time the engine had discarded the stream.
func TestTimeoutShortensAfterFirstByte(t *testing.T) {
	clock := bmclock.NewManual(0)
	settings := DefaultSettings()
	settings.FirstByteTimeout = basilmoor.Minute
	settings.ReadIdleTimeout = 10 * basilmoor.Second
	e := newExchange(clock, settings, controlGate{}, 0, func() {})
	e.conn = &conn{
		reading: true,
	}
	e.writeStarted = true
	cancelled := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.loop(ctx, func(err error) { cancelled <- err })

	clock.WaitTimers(1)
	clock.Advance(5 * basilmoor.Second)
	require.True(t, e.recordRead())
	clock.Advance(5 * basilmoor.Second)
	clock.WaitTimers(1)
	require.Empty(t, cancelled, "cancelled before 10 s of silence")
	clock.Advance(5 * basilmoor.Second)
	require.ErrorIs(t, <-cancelled, errReadTimeout)
}
