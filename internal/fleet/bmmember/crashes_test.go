package bmmember

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
)

// TestEveryChangeOfACrashIsSentAtOnce checks that a new death or a lift is sent
// with the next heartbeat, instead of being resent after 10 s. A registry
// reports each death of a digest separately, so tracking what was sent by
// digest alone misses the later ones. TestRequestThatCrashesTargets covers the
// same failure.
func TestEveryChangeOfACrashIsSentAtOnce(t *testing.T) {
	clock := bmclock.NewManual(0)
	registry := bmcrash.New(clock)
	s := NewState(0, basilmoor.Member{
		Host: "entry-1",
	}, registry)
	p := s.peer("entry-2")
	steps := []struct {
		name   string
		change func()
		sent   int
	}{
		{
			name:   "first death",
			change: func() { registry.RecordCrash(7, "engine-1") },
			sent:   1,
		},
		{
			name:   "second death",
			change: func() { registry.RecordCrash(7, "engine-2") },
			sent:   1,
		},
		{
			name:   "nothing new",
			change: func() {},
			sent:   0,
		},
		{
			name:   "lift",
			change: func() { registry.Lift(7) },
			sent:   1,
		},
	}
	for _, step := range steps {
		clock.Advance(basilmoor.Second)
		step.change()
		require.Len(t, s.unsentCrashes(clock.Now(), p), step.sent, step.name)
	}
}
