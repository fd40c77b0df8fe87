package bmbroker

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against sending every waiting demand to a failed target because all its
// slots are free: in the demo, 8 of 241 requests were refused as
// target-unreachable because their retries went to the failed engine. Also guards
// against leaving a recovered target idle.
func TestUnreachableTargetIsTriedByOneRequestAtATime(t *testing.T) {
	b := New(Config{})
	b.SetTargets(0, []basilmoor.Target{
		{
			Name:  "dead",
			Slots: 4,
		},
	})
	granted := func(decisions []basilmoor.Decision) []basilmoor.RequestID {
		var ids []basilmoor.RequestID
		for _, d := range decisions {
			if d.Grant != nil {
				ids = append(ids, d.Grant.Request)
			}
		}
		return ids
	}
	submit := func(now basilmoor.Millis, id basilmoor.RequestID) []basilmoor.RequestID {
		return granted(b.Submit(now, basilmoor.Demand{
			Request:   id,
			Workspace: "w",
			Weight:    1,
			Deadline:  basilmoor.Minute,
		}))
	}
	observe := func(now basilmoor.Millis, id basilmoor.RequestID, stage basilmoor.Stage) []basilmoor.RequestID {
		return granted(b.Observe(now, basilmoor.Observation{
			Request: id,
			Target:  "dead",
			Stage:   stage,
		}))
	}
	require.Len(t, submit(0, "a"), 1)
	require.Empty(t, observe(1, "a", basilmoor.StageUnreachable))
	require.Empty(t, submit(2, "b"), "no attempt before the first retry delay has passed")
	require.Empty(t, submit(2, "c"))
	require.Equal(t, []basilmoor.RequestID{"b"}, granted(b.Tick(101)), "a single request probes the target")
	require.Empty(t, observe(102, "b", basilmoor.StageUnreachable))
	require.Empty(t, granted(b.Tick(250)), "the retry delay doubles")
	require.Equal(t, []basilmoor.RequestID{"c"}, granted(b.Tick(302)))
	require.Empty(t, submit(303, "d"))
	require.Equal(t, []basilmoor.RequestID{"d"}, observe(304, "c", basilmoor.StageDispatched), "a successful dispatch makes all slots available")
}
