package bmbaseline

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

func targets() []basilmoor.Target {
	return []basilmoor.Target{
		{
			Name:  "t0",
			Slots: 4,
		},
		{
			Name:  "t1",
			Slots: 13,
		},
	}
}

// Guards against an unfair comparison in which the slot shares of all hosts do not
// add up to the slots of the targets.
func TestHostSharesAddUpToTheSlots(t *testing.T) {
	for _, hosts := range []int{1, 3, 4} {
		sums := make([]int, 2)
		for host := range hosts {
			p := NewPerHostQueue(host, hosts)
			for i, target := range targets() {
				sums[i] += p.slotShare(i, target)
			}
		}
		require.Equal(t, []int{4, 13}, sums, "%d hosts", hosts)
	}
}

// Guards against a baseline that ignores load reports or the host's own requests
// since the last report.
func TestLeastLoadCorrectsReports(t *testing.T) {
	p := NewLeastLoad(1)
	p.SetTargets(0, targets())
	p.Report(2000, basilmoor.LoadReport{
		Target:  "t1",
		Running: 12,
		Age:     2000,
	})
	submit := func(id string) string {
		return p.Submit(2001, basilmoor.Demand{
			Request:  basilmoor.RequestID(id),
			Deadline: 1,
		})[0].Grant.Target.Name
	}
	require.Equal(t, "t0", submit("a"))
	for _, id := range []string{"b", "c", "d"} {
		require.Equal(t, "t0", submit(id))
	}
	require.Equal(t, "t1", submit("e"), "the host now has four requests of its own on t0")
}

// Guards against a per-host queue that serves tiers out of order or grants a demand
// after its deadline.
func TestPerHostQueueOrder(t *testing.T) {
	p := NewPerHostQueue(0, 1)
	p.SetTargets(0, targets()[:1])
	submit := func(id string, tier int, deadline basilmoor.Millis) []basilmoor.Decision {
		return p.Submit(0, basilmoor.Demand{
			Request:  basilmoor.RequestID(id),
			Tier:     tier,
			Deadline: deadline,
		})
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		require.Len(t, submit(id, 2, 9), 1)
	}
	require.Empty(t, submit("late", 0, 5))
	require.Empty(t, submit("low", 1, 90))
	require.Empty(t, submit("high", 0, 90))
	refused := p.Tick(5)
	require.Equal(t, basilmoor.ReasonDeadline, refused[0].Refusal.Reason)
	granted := p.Observe(6, basilmoor.Observation{
		Request: "a",
		Target:  "t0",
		Stage:   basilmoor.StageFinished,
	})
	require.Equal(t, basilmoor.RequestID("high"), granted[0].Grant.Request)
}
