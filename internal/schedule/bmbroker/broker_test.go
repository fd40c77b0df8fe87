package bmbroker

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmqueue"
)

func engine(name string, slots int) basilmoor.Target {
	return basilmoor.Target{
		Name:   name,
		Type:   basilmoor.EngineTarget,
		Models: []string{"m"},
		Slots:  slots,
	}
}

func demand(id string, tier int) basilmoor.Demand {
	return basilmoor.Demand{
		Request:      basilmoor.RequestID(id),
		Host:         "h1",
		Workspace:    "w",
		Weight:       1,
		Tier:         tier,
		Model:        "m",
		PromptTokens: 100,
		OutputTokens: 10,
		Deadline:     basilmoor.Second,
	}
}

func describe(decisions []basilmoor.Decision) []string {
	var texts []string
	for _, d := range decisions {
		if d.Grant != nil {
			texts = append(texts, fmt.Sprintf("%s->%s", d.Grant.Request, d.Grant.Target.Name))
			continue
		}
		texts = append(texts, fmt.Sprintf("%s:%s", d.Refusal.Request, d.Refusal.Reason))
	}
	return texts
}

func observe(id, target string, stage basilmoor.Stage) basilmoor.Observation {
	return basilmoor.Observation{
		Request: basilmoor.RequestID(id),
		Target:  target,
		Stage:   stage,
	}
}

// Guards against granting a freed slot to a lower tier or to a demand whose
// deadline has passed.
func TestSlotGoesToHighestTierInTime(t *testing.T) {
	b := New(Config{})
	b.SetTargets(0, []basilmoor.Target{engine("t1", 1)})
	require.Equal(t, []string{"a->t1"}, describe(b.Submit(0, demand("a", 2))))
	require.Empty(t, b.Submit(1, demand("b", 2)))
	require.Empty(t, b.Submit(2, demand("c", 1)))
	require.Empty(t, b.Observe(3, observe("a", "t1", basilmoor.StageDispatched)))
	require.Equal(t, []string{"c->t1"}, describe(b.Observe(9, observe("a", "t1", basilmoor.StageFinished))))
	require.Empty(t, b.Observe(9, observe("a", "t1", basilmoor.StageFinished)), "a duplicate final report frees no capacity")
	require.Equal(t, []string{"b:deadline"}, describe(b.Tick(1001)))
	require.Zero(t, b.Stats().Inversions)
}

// Guards against leaking capacity when a grant expires, is returned or cancelled,
// or its host fails.
func TestUnusedCapacityIsFreed(t *testing.T) {
	steps := map[string]func(b *Broker) []basilmoor.Decision{
		"expired":   func(b *Broker) []basilmoor.Decision { return b.Tick(1500) },
		"returned":  func(b *Broker) []basilmoor.Decision { return b.Observe(5, observe("a", "t1", basilmoor.StageReturned)) },
		"cancelled": func(b *Broker) []basilmoor.Decision { return b.Cancel(5, "a") },
		"host died": func(b *Broker) []basilmoor.Decision { return b.DropHost(5, "h1") },
	}
	for name, free := range steps {
		t.Run(name, func(t *testing.T) {
			b := New(Config{})
			b.SetTargets(0, []basilmoor.Target{engine("t1", 1)})
			require.Len(t, b.Submit(0, demand("a", 0)), 1)
			waiting := demand("b", 0)
			waiting.Host = "h2"
			waiting.Deadline = 10 * basilmoor.Second
			require.Empty(t, b.Submit(1, waiting))
			require.Equal(t, []string{"b->t1"}, describe(free(b)))
		})
	}
}

// Guards against ignoring a dispatch that is reported after its grant has expired:
// the request is running and must count against the target's slots.
func TestLateDispatchCountsAgain(t *testing.T) {
	b := New(Config{})
	b.SetTargets(0, []basilmoor.Target{engine("t1", 1)})
	b.Submit(0, demand("a", 0))
	b.Tick(1500)
	require.Zero(t, b.Stats().InFlight)
	b.Observe(1600, observe("a", "t1", basilmoor.StageDispatched))
	require.Equal(t, 1, b.Stats().InFlight)
	b.Observe(1700, observe("a", "t1", basilmoor.StageFinished))
	b.Observe(1701, observe("a", "t1", basilmoor.StageDispatched))
	require.Zero(t, b.Stats().InFlight)
}

// Guards against refusing a demand because the queue is full while a demand of a
// lower tier waits.
func TestFullQueueDisplacesLowestTier(t *testing.T) {
	b := New(Config{
		Queue: bmqueue.Config{
			MaxCount: 2,
			MaxBytes: 1000,
		},
	})
	b.SetTargets(0, []basilmoor.Target{engine("t1", 1)})
	b.Submit(0, demand("running", 0))
	b.Submit(1, demand("a", 1))
	b.Submit(2, demand("b", 2))
	require.Equal(t, []string{"c:queue-full"}, describe(b.Submit(3, demand("c", 2))))
	require.Equal(t, []string{"b:displaced"}, describe(b.Submit(4, demand("d", 0))))
	require.Zero(t, b.Stats().Inversions)
}

// Guards against a new broker granting slots before it knows the open dispatches.
func TestWarmUpLearnsOpenDispatches(t *testing.T) {
	b := New(Config{
		WarmUp: basilmoor.Second,
	})
	b.SetTargets(0, []basilmoor.Target{engine("t1", 1)})
	require.Empty(t, b.Submit(0, demand("b", 0).WithAge(500, 5000)))
	open := observe("a", "t1", basilmoor.StageProgress)
	d := demand("a", 0)
	open.Demand = &d
	require.Empty(t, b.Observe(10, open))
	require.Empty(t, b.Tick(1000))
	require.Equal(t, []string{"b->t1"}, describe(b.Observe(1100, observe("a", "t1", basilmoor.StageFinished))))
}

// Guards against queueing a demand that no listed target can serve.
func TestNoTargetIsRefusedAtOnce(t *testing.T) {
	b := New(Config{})
	b.SetTargets(0, []basilmoor.Target{engine("t1", 1)})
	other := demand("a", 0)
	other.Model = "unknown"
	require.Equal(t, []string{"a:no-target"}, describe(b.Submit(0, other)))
	excluded := demand("b", 0)
	excluded.Excluded = []string{"t1"}
	require.Equal(t, []string{"b:no-target"}, describe(b.Submit(0, excluded)))
}
