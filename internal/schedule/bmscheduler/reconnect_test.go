package bmscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmbroker"
)

// grantRecorder is a session that records the grants that a broker delivers.
type grantRecorder struct {
	granted []basilmoor.RequestID
}

func (s *grantRecorder) deliver(d basilmoor.Decision) bool {
	if d.Grant != nil {
		s.granted = append(s.granted, d.Grant.Request)
	}
	return true
}

func (s *grantRecorder) sendKeepalive() {}
func (s *grantRecorder) close()         {}

// Guards against a slot that a broker never frees: a dispatch ends while its host
// is connected to another broker, so the host doesn't resubmit it when it
// reconnects. In TestKilledHost, this kept the last host from granting anything
// for 20 s.
func TestDispatchThatEndedElsewhereIsFreed(t *testing.T) {
	b := newBroker("models", bmbroker.New(bmbroker.Config{}), false, nil)
	b.setTargets(0, []basilmoor.Target{
		{
			Name:  "engine-1",
			Pool:  "models",
			Slots: 1,
		},
	})
	first := &grantRecorder{}
	b.attach(0, "entry-1", "bole", first)
	b.submit(0, "entry-1", first, demandWithTokens("a"))
	require.Equal(t, []basilmoor.RequestID{"a"}, first.granted)
	b.observe(1, "entry-1", first, basilmoor.Observation{
		Request: "a",
		Target:  "engine-1",
		Stage:   basilmoor.StageDispatched,
	})
	b.detach(2, "entry-1", first)

	second := &grantRecorder{}
	b.attach(3, "entry-1", "bole", second)
	b.submit(3, "entry-1", second, demandWithTokens("b"))
	require.Empty(t, second.granted, "the slot is still in use")
	b.endResubmission(4, "entry-1", second)
	b.tick(5)
	require.Equal(t, []basilmoor.RequestID{"b"}, second.granted)
}

func demandWithTokens(id basilmoor.RequestID) basilmoor.Demand {
	return basilmoor.Demand{
		Request:      id,
		Workspace:    "w",
		Weight:       1,
		PromptTokens: 10,
		OutputTokens: 10,
		Deadline:     basilmoor.Minute,
	}
}

// Guards against a host that was dropped during a pause and then reconnects: its
// running request must count against the target's slots again, and its waiting
// demands must be granted the free ones.
func TestHostReturnsAfterItWasDropped(t *testing.T) {
	b := newBroker("models", bmbroker.New(bmbroker.Config{}), false, nil)
	b.setTargets(0, []basilmoor.Target{
		{
			Name:  "engine-1",
			Pool:  "models",
			Slots: 2,
		},
	})
	first := &grantRecorder{}
	b.attach(0, "entry-1", "bole", first)
	b.submit(0, "entry-1", first, demandWithTokens("running"))
	b.submit(0, "entry-1", first, demandWithTokens("undelivered"))
	b.observe(1, "entry-1", first, basilmoor.Observation{
		Request: "running",
		Target:  "engine-1",
		Stage:   basilmoor.StageDispatched,
	})
	b.tick(silenceTimeout + 1)
	require.True(t, b.idle())

	now := silenceTimeout + 2
	second := &grantRecorder{}
	b.attach(now, "entry-1", "bole", second)
	running := demandWithTokens("running")
	b.observe(now, "entry-1", second, basilmoor.Observation{
		Request: "running",
		Target:  "engine-1",
		Stage:   basilmoor.StageProgress,
		Tokens:  5,
		Elapsed: silenceTimeout,
		Demand:  &running,
	})
	b.submit(now, "entry-1", second, demandWithTokens("undelivered"))
	b.submit(now, "entry-1", second, demandWithTokens("third"))
	b.endResubmission(now, "entry-1", second)
	require.Equal(t, []basilmoor.RequestID{"undelivered"}, second.granted, "one slot is free besides the running request")
}
