package bmdispatch

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Guards against a connection that goes silent inside a response and is given
// up only after the longer bound for the first byte, because that wait had
// begun before the first byte arrived. TestSilentConnections then took 62 s and
// found the stream gone at the engine.
func TestBoundShrinksWithTheFirstByte(t *testing.T) {
	clock := bmclock.NewManual(0)
	settings := DefaultSettings()
	settings.FirstByte = basilmoor.Minute
	settings.BetweenBytes = 10 * basilmoor.Second
	e := newExchange(clock, settings, openGate{}, 0, func() {})
	e.conn = &conn{
		reading: true,
	}
	e.writing = true
	abandoned := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.loop(ctx, func(err error) { abandoned <- err })

	clock.WaitTimers(1)
	clock.Advance(5 * basilmoor.Second)
	require.True(t, e.received())
	clock.Advance(5 * basilmoor.Second)
	clock.WaitTimers(1)
	require.Empty(t, abandoned, "not yet silent for 10 s")
	clock.Advance(5 * basilmoor.Second)
	require.ErrorIs(t, <-abandoned, errSilent)
}
